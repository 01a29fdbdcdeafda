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

/// The codecs for packets and for calls to the store.
struct ForwarderProtocol {
  /// Larger datagrams are discarded.
  size_t MaxPacketBytes = 0;
  /// The path of the readiness check.
  std::string ReadyPath;
  /// Decodes the header of a client's packet; false if \p Datagram is not a
  /// packet of a client.
  std::function<bool(std::string_view Datagram, PacketHeader &Out)>
      DecodePacket;
  /// Encodes the datagram that forwards a packet to an upstream.
  std::function<void(std::string_view Packet, UpstreamId Upstream, FlowTag Tag,
                     std::string &Out)>
      EncodeForward;
  /// Encodes a reset of the packet's flow for the client.
  std::function<void(const PacketHeader &Packet, std::string &Out)> EncodeReset;
  StoreProtocol Store;
  ItemDecoder DecodeItem;
};

/// Runs flow steering on an event loop. Provides the sockets, the connection to
/// the store and the timers; FlowSteering makes the forwarding decisions.
class Forwarder {
public:
  using StopHook = std::function<void()>;

  /// \p OnStop is called when a graceful shutdown is complete.
  Forwarder(EventLoop &Loop, ForwarderSettings Settings,
            ForwarderProtocol Protocol, StopHook OnStop);
  ~Forwarder();

  /// Binds the sockets and starts to follow the store. Returns an error
  /// message, or an empty text on success.
  std::string start();

  /// Applies changed settings. Bound sockets keep their addresses.
  void reload(const ForwarderSettings &Settings);

  /// Logs that a settings file was rejected.
  void logRejectedSettings(const std::string &Reason);

  /// Starts a graceful shutdown: fails the readiness check and forwards packets
  /// until the routers stop sending them or the time limit has passed.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
