#include "forwarder_log.h"

#include "steering_log.h"
#include "store_follower.h"

namespace indigopoint {

EventLog::Fields ForwarderLog::storeStateFields() const {
  EventLog::Fields Out = {{"configuration", Routes.version().value()}};
  Out.update(Follower.storeStateFields());
  return Out;
}

EventLog::Fields ForwarderLog::processStateFields() const {
  EventLog::Fields Out = storeStateFields();
  Out["lateMs"] = millisecondsOf(Lateness.recentMax(TimeSource.now()));
  return Out;
}

void ForwarderLog::writeDecision(const PacketHeader &Packet,
                                 const SteeringDecision &Decision) {
  const auto Event = logEventOf(Decision);
  if (!Event)
    return;
  Log.write(*Event, [&] {
    EventLog::Fields Line = describe(Packet, Decision);
    Line.update(Decision.Evidence ? processStateFields() : storeStateFields());
    return Line;
  });
}

void ForwarderLog::writeOpenTimeout(const FlowAddress &Flow,
                                    const Upstream &UnresponsiveUpstream) {
  Log.write(LogEvent::UpstreamSilent, [&] {
    EventLog::Fields Line = describeOpenTimeout(Flow, UnresponsiveUpstream);
    Line.update(storeStateFields());
    return Line;
  });
}

void ForwarderLog::writeTagConflict(const FlowAddress &Flow,
                                    const Upstream &Target,
                                    const Upstream &Named) {
  Log.write(LogEvent::FlowTagConflict,
            [&] { return describeTagConflict(Flow, Target, Named); });
}

void ForwarderLog::writeUnresponsive(const Upstream &Target,
                                     const char *EvidenceSource) {
  Log.write(LogEvent::UpstreamUnresponsive, [&] {
    return describeUnresponsive(Target, EvidenceSource, TimeSource.now());
  });
}

void ForwarderLog::writeCheckResult(UpstreamId Id, CheckResult Result,
                                    const Upstream *Checked) {
  Log.write(LogEvent::UpstreamChecked, [&] {
    EventLog::Fields Line = {
        {"upstream", toHex(Id)},
        {"accepting", Result == CheckResult::Accepted},
        {"result", nameOf(Result)},
        {"dead",
         Checked != nullptr && Checked->Reachability.isDead(TimeSource.now())}};
    Line.update(processStateFields());
    return Line;
  });
}

void ForwarderLog::writeReachability(const ReachabilityGate &Gate,
                                     bool IsReachable) {
  if (IsReachable) {
    Log.write(LogEvent::UpstreamsRegained,
              [this] { return storeStateFields(); });
    return;
  }
  Log.write(LogEvent::UpstreamsLost, [&] {
    EventLog::Fields Line = processStateFields();
    Line["zoneSilent"] = Gate.isZoneSilent();
    Line.update(describeSilence(Gate.silence(TimeSource.now())));
    return Line;
  });
}

void ForwarderLog::writePause() {
  Log.write(LogEvent::PauseNoticed, [this] { return processStateFields(); });
}

} // namespace indigopoint
