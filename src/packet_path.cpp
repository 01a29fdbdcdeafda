#include "packet_path.h"

#include <utility>

namespace indigopoint {

namespace {

// Packets that arrive before the first configuration wait this long. Clients
// retransmit after 200 ms, and most give up after 500 ms.
constexpr Duration HoldTime = std::chrono::milliseconds(400);

const SteeringDecision UnidentifiedDrop{SteeringAction::Drop,
                                        SteeringReason::UnknownTag};

} // namespace

PacketPath::PacketPath(const ForwarderProtocol &Protocol,
                       FlowSteering &Steering, SteeringMetrics &Metrics,
                       ForwarderLog &FlowLog, LinkLoad &Load,
                       const EventClock &TimeSource,
                       std::function<void()> OnPacket)
    : Protocol(Protocol), Steering(Steering), Metrics(Metrics),
      FlowLog(FlowLog), Load(Load), TimeSource(TimeSource),
      OnPacket(std::move(OnPacket)), Socket(Protocol.MaxPacketBytes) {}

std::error_code PacketPath::open(EventLoop &Loop, Endpoint Address) {
  const auto OnReceive = [this](Endpoint, std::string_view Datagram) {
    receive(Datagram);
  };
  if (const auto Error = Socket.open(Loop, Address, OnReceive))
    return Error;
  Socket.setReceiving(false);
  HoldTimer =
      LoopEvent::after(Loop, HoldTime, [this] { Socket.setReceiving(true); });
  return {};
}

void PacketPath::startReceiving() {
  if (HasStartedReceiving)
    return;
  HasStartedReceiving = true;
  HoldTimer = LoopEvent();
  Socket.setReceiving(true);
}

// Before the first configuration, packets wait in the socket.
void PacketPath::readPending() {
  if (HasStartedReceiving)
    Socket.receivePending();
}

void PacketPath::receive(std::string_view Datagram) {
  OnPacket();
  Load.recordReceived(Datagram.size(), TimeSource.now());
  PacketHeader Packet;
  if (!Protocol.DecodePacket(Datagram, Packet)) {
    ++InvalidDatagrams;
    return;
  }
  LastPacketTime = TimeSource.now();
  if (process(Packet, Datagram)) {
    if (!Held.add(Packet, Datagram, TimeSource.now()))
      FlowLog.writeDecision(Packet, UnidentifiedDrop);
  } else if (!Held.isEmpty()) {
    releaseHeld(Packet.Flow);
  }
}

bool PacketPath::process(const PacketHeader &Packet,
                         std::string_view Datagram) {
  const SteeringDecision Decision = Steering.steer(Packet);
  if (Decision.MayHold)
    return true;
  if (Decision.Action == SteeringAction::Forward) {
    const UpstreamRegistration &Target = Decision.Target->Registration;
    Protocol.EncodeForward(Datagram, Target.Id, Decision.Tag,
                           Socket.nextBuffer());
    send(Target.Address);
  } else if (Decision.Action == SteeringAction::Reset) {
    sendReset(Packet);
  }
  FlowLog.writeDecision(Packet, Decision);
  return false;
}

void PacketPath::releaseHeld(const FlowAddress &Flow) {
  for (const HeldPackets::Entry &Entry : Held.take(Flow)) {
    if (!process(Entry.Header, Entry.Datagram))
      ++Metrics.ReleasedPackets;
    else if (!Held.add(Entry.Header, Entry.Datagram, Entry.HeldAt))
      FlowLog.writeDecision(Entry.Header, UnidentifiedDrop);
  }
}

void PacketPath::recordPlacements(
    const std::vector<FlowPlacement> &Placements) {
  for (const FlowPlacement &Placement : Placements) {
    Steering.recordPlacement(Placement);
    releaseHeld(Placement.Flow);
  }
  Socket.flush();
}

void PacketPath::dropExpired() {
  for (const HeldPackets::Entry &Entry : Held.takeExpired(TimeSource.now()))
    FlowLog.writeDecision(Entry.Header, UnidentifiedDrop);
}

// Clients receive at the same port number as this process.
void PacketPath::sendReset(const PacketHeader &Packet) {
  Protocol.EncodeReset(Packet, Socket.nextBuffer());
  send({Packet.Flow.Client.Address, Socket.address().Port});
}

void PacketPath::send(Endpoint To) {
  Load.recordSent(Socket.nextBuffer().size(), TimeSource.now());
  Socket.commit(To);
}

} // namespace indigopoint
