#pragma once

#include <functional>
#include <string_view>
#include <system_error>
#include <vector>

#include "event_loop.h"
#include "flow_steering.h"
#include "forwarder.h"
#include "forwarder_log.h"
#include "held_packets.h"
#include "link_load.h"
#include "steady_clock.h"
#include "udp_endpoint.h"

namespace indigopoint {

/// The way of clients' packets through an instance: receives them, steers them,
/// and sends them to their upstreams. Holds packets of flows whose upstream is
/// not known yet.
class PacketPath {
public:
  /// \p OnPacket is called before each packet.
  PacketPath(const ForwarderProtocol &Protocol, FlowSteering &Steering,
             SteeringMetrics &Metrics, ForwarderLog &FlowLog, LinkLoad &Load,
             const EventClock &TimeSource, std::function<void()> OnPacket);

  /// Binds the socket. Packets wait in it until startReceiving, but not for
  /// longer than clients wait.
  std::error_code open(EventLoop &Loop, Endpoint Address);
  void startReceiving();

  /// Steers the packets that have arrived. Does nothing before startReceiving.
  void readPending();

  /// The same, also before startReceiving: the process is about to end.
  void readLast() { Socket.receivePending(); }

  /// Steers the held packets of the flows again.
  void recordPlacements(const std::vector<FlowPlacement> &Placements);

  /// Drops packets that were held for too long.
  void dropExpired();

  /// Queues a reset of the packet's flow for the client.
  void sendReset(const PacketHeader &Packet);

  /// Sends the queued packets.
  void flush() { Socket.flush(); }

  TimePoint lastPacketTime() const { return LastPacketTime; }
  uint64_t invalidDatagrams() const { return InvalidDatagrams; }

private:
  void receive(std::string_view Datagram);
  /// Steers and sends a packet. Returns whether it must be held.
  bool process(const PacketHeader &Packet, std::string_view Datagram);
  void releaseHeld(const FlowAddress &Flow);
  /// Queues the datagram in the socket's buffer.
  void send(Endpoint To);

  const ForwarderProtocol &Protocol;
  FlowSteering &Steering;
  SteeringMetrics &Metrics;
  ForwarderLog &FlowLog;
  LinkLoad &Load;
  const EventClock &TimeSource;
  std::function<void()> OnPacket;
  UdpEndpoint Socket;
  HeldPackets Held;
  LoopEvent HoldTimer;
  bool HasStartedReceiving = false;
  uint64_t InvalidDatagrams = 0;
  TimePoint LastPacketTime{};
};

} // namespace indigopoint
