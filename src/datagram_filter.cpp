#include "datagram_filter.h"

#include <chrono>
#include <utility>

#include "blackboard.h"
#include "membership_controller.h"

namespace indigopoint {

namespace {

// A network holds a datagram for this long at most, and the records at other
// instances rely on it. A socket of a paused process holds one for longer.
constexpr std::chrono::seconds PacketLifetime(1);

// About what a socket buffer holds.
constexpr size_t HeldLimit = 4096;

template <typename... Kinds> bool holdsOneOf(const Message &Body) {
  return (std::holds_alternative<Kinds>(Body) || ...);
}

// These tell this instance its standing, or change no traffic.
bool passesWhileStale(const Message &Body) {
  return holdsOneOf<Probe, ProbeAck, IndirectProbe, ConfigPull, ConfigChunk>(
      Body);
}

bool startsWork(const Message &Body) {
  return holdsOneOf<Request, Cancel, CloseFlow, Relay, Submit, Forward>(Body);
}

bool isBetweenInstances(const Message &Body) {
  return holdsOneOf<Relay, Submit, SubmitResult, CancelSubmit, ReleaseFlow,
                    LoadReport, PinReplica, IndirectProbe, Forward,
                    HandoverBatch, HandoverAck, ConfigPull, ConfigChunk>(Body);
}

} // namespace

// Probes and their acknowledgements are how unknown instances become known;
// the membership controller orders what they say by incarnation.
bool DatagramFilter::isFromOutdatedSender(const DatagramReceived &Given) const {
  return isBetweenInstances(Given.Body) && !Members.isCurrent(Given.Origin);
}

bool DatagramFilter::admit(DatagramReceived &Given) {
  if (isFromOutdatedSender(Given)) {
    ++Board.EngineMetrics.OutdatedSenders;
    return false;
  }
  if (!Board.Self.Stale || passesWhileStale(Given.Body))
    return true;
  const bool MayBeOld = Board.now() - PausedSince > PacketLifetime;
  if ((MayBeOld && startsWork(Given.Body)) || HeldDatagrams.size() >= HeldLimit)
    ++Board.EngineMetrics.DroppedWhileStale;
  else
    HeldDatagrams.push_back(std::move(Given));
  return false;
}

bool DatagramFilter::popHeld(DatagramReceived &Out) {
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
