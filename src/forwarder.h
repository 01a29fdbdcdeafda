#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "forwarder_settings.h"
#include "store_follower.h"
#include "store_update_applier.h"

namespace indigopoint {

class EventLoop;

/// How packets and the store's calls look on the wire.
struct ForwarderProtocol {
  /// A larger datagram is no packet.
  size_t MaxPacketBytes = 0;
  /// The path at which the readiness of the process is asked for.
  std::string ReadyPath;
  /// Reads what a client sent; false if it is no packet of a client.
  std::function<bool(std::string_view Datagram, PacketHeader &Out)>
      DecodePacket;
  /// Makes the datagram that hands a packet to an upstream.
  std::function<void(std::string_view Packet, UpstreamId To, FlowTag Tag,
                     std::string &Out)>
      EncodeForward;
  /// Makes a reset of the packet's flow for its client.
  std::function<void(const PacketHeader &Packet, std::string &Out)> EncodeReset;
  StoreProtocol Store;
  ItemDecoder DecodeItem;
};

/// Runs flow steering on an event loop: the sockets, the store and timers
/// around it, and nothing of its decisions.
class Forwarder {
public:
  using StopHook = std::function<void()>;

  /// \p OnStop is called once a planned stop is done.
  Forwarder(EventLoop &Loop, ForwarderSettings Settings,
            ForwarderProtocol Protocol, StopHook OnStop);
  ~Forwarder();

  /// Binds the sockets and starts to follow the store. Returns what failed;
  /// empty if nothing did.
  std::string start();

  /// Puts changed settings in force; addresses of sockets stay.
  void reload(const ForwarderSettings &Settings);

  /// Logs that a settings file was refused.
  void logRejectedSettings(const std::string &Reason);

  /// Starts a planned stop: reports itself as not ready and forwards until
  /// routers have noticed.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
