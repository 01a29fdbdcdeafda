#include "datagram_filter.h"

#include <chrono>
#include <utility>

#include "blackboard.h"
#include "membership_controller.h"

namespace indigopoint {

namespace {

// The network delivers a datagram within this time or not at all. Other
// instances therefore keep the record of a request only this much longer than
// the longest request lifetime, and a later datagram could run a request again.
// The socket buffer of a paused process can hold a datagram for longer.
constexpr std::chrono::seconds PacketLifetime(1);

// About as many datagrams as fit into one socket buffer.
constexpr size_t MaxHeldDatagrams = 4096;

template <typename... Kinds> bool holdsOneOf(const Message &Body) {
  return (std::holds_alternative<Kinds>(Body) || ...);
}

// Membership messages tell this instance whether it was declared dead, and
// configuration messages do not affect traffic.
bool isAllowedWhileStale(const Message &Body) {
  return holdsOneOf<Probe, ProbeAck, IndirectProbe, ConfigPull, ConfigChunk>(
      Body);
}

bool isTrafficMessage(const Message &Body) {
  return holdsOneOf<Request, Cancel, CloseFlow, Relay, Submit, Forward>(Body);
}

bool requiresKnownSender(const Message &Body) {
  return holdsOneOf<Relay, Submit, SubmitResult, CancelSubmit, ReleaseFlow,
                    LoadReport, PinReplica, IndirectProbe, Forward,
                    HandoverBatch, HandoverAck, ConfigPull, ConfigChunk>(Body);
}

} // namespace

// Probes and their acknowledgements are not checked, because they introduce
// unknown instances. The membership controller orders their updates by
// incarnation.
bool DatagramFilter::isFromOutdatedSender(
    const DatagramReceived &Datagram) const {
  return requiresKnownSender(Datagram.Body) &&
         !Membership.isCurrent(Datagram.Origin);
}

bool DatagramFilter::admit(DatagramReceived &Datagram) {
  if (isFromOutdatedSender(Datagram)) {
    ++Board.EngineMetrics.OutdatedSenders;
    return false;
  }
  if (!Board.Self.Stale || isAllowedWhileStale(Datagram.Body))
    return true;
  const bool MayBeExpired = Board.now() - PauseStart > PacketLifetime;
  if ((MayBeExpired && isTrafficMessage(Datagram.Body)) ||
      HeldDatagrams.size() >= MaxHeldDatagrams)
    ++Board.EngineMetrics.DroppedWhileStale;
  else
    HeldDatagrams.push_back(std::move(Datagram));
  return false;
}

bool DatagramFilter::popHeldDatagram(DatagramReceived &Out) {
  if (Board.Self.Stale || HeldDatagrams.empty())
    return false;
  Out = std::move(HeldDatagrams.front());
  HeldDatagrams.pop_front();
  return true;
}

void DatagramFilter::reset() {
  Board.EngineMetrics.DroppedWhileStale += HeldDatagrams.size();
  HeldDatagrams.clear();
}

} // namespace indigopoint
