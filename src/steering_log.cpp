#include "steering_log.h"

#include "upstream_registry.h"

namespace indigopoint {

namespace {

void setIfKnown(EventLog::Fields &LogFields, const char *Name,
                const std::optional<Duration> &Value) {
  if (Value)
    LogFields[Name] = millisecondsOf(*Value);
}

EventLog::Fields describeEvidence(const ResetEvidence &Evidence) {
  EventLog::Fields LogFields = {{"cause", nameOf(Evidence.Cause)}};
  setIfKnown(LogFields, "evidenceAgeMs", Evidence.Age);
  setIfKnown(LogFields, "sinceAnswerMs", Evidence.SinceAnswer);
  return LogFields;
}

} // namespace

std::optional<LogEvent> logEventOf(const SteeringDecision &Decision) {
  if (Decision.Action == SteeringAction::Reset)
    return LogEvent::FlowReset;
  if (Decision.Action == SteeringAction::Drop)
    return LogEvent::PacketDropped;
  if (Decision.Reason == SteeringReason::NewFlow)
    return LogEvent::FlowOpened;
  if (Decision.Reason == SteeringReason::MovedOpening)
    return LogEvent::FlowMoved;
  if (Decision.Reason == SteeringReason::TaggedFlow ||
      Decision.Reason == SteeringReason::OpenedElsewhere ||
      Decision.Reason == SteeringReason::ReportedFlow)
    return LogEvent::FlowAdopted;
  return std::nullopt;
}

EventLog::Fields describe(const PacketHeader &Packet,
                          const SteeringDecision &Decision) {
  EventLog::Fields LogFields = {{"flow", toString(Packet.Flow)},
                                {"reason", nameOf(Decision.Reason)}};
  if (Decision.Target != nullptr) {
    const UpstreamRegistration &Registration = Decision.Target->Registration;
    LogFields["upstream"] = toHex(Registration.Id);
    LogFields["service"] = Registration.Service;
    LogFields["zone"] = Registration.Zone;
    LogFields["openFlows"] = Decision.Target->OpenFlows;
  }
  if (Decision.Action != SteeringAction::Forward)
    LogFields["tag"] = Packet.Tag.value();
  if (Decision.Evidence)
    LogFields.update(describeEvidence(*Decision.Evidence));
  return LogFields;
}

EventLog::Fields describeSilence(const ReachabilityGate::Silence &Found) {
  EventLog::Fields LogFields = {
      {"waitingUpstreams", Found.Waits.Waiting.Upstreams},
      {"longestWaitMs", millisecondsOf(Found.Waits.LongestWait)}};
  setIfKnown(LogFields, "sinceOwnZoneAnswerMs", Found.SinceOwnZoneAnswer);
  setIfKnown(LogFields, "sinceOtherZoneAnswerMs", Found.SinceOtherZoneAnswer);
  return LogFields;
}

EventLog::Fields describeOpenTimeout(const FlowAddress &Flow,
                                     const Upstream &Target) {
  const UpstreamRegistration &Registration = Target.Registration;
  return {{"flow", toString(Flow)},
          {"upstream", toHex(Registration.Id)},
          {"service", Registration.Service},
          {"zone", Registration.Zone},
          {"state", nameOf(Target.State)}};
}

EventLog::Fields describeTagConflict(const FlowAddress &Flow,
                                     const Upstream &Target,
                                     const Upstream &Named) {
  return {{"flow", toString(Flow)},
          {"upstream", toHex(Target.Registration.Id)},
          {"namedUpstream", toHex(Named.Registration.Id)}};
}

EventLog::Fields describeUnresponsive(const Upstream &Target,
                                      const char *EvidenceSource,
                                      TimePoint Now) {
  const Duration OldestAge =
      Target.Exchanges.oldestAge(Now).value_or(Duration());
  return {{"upstream", toHex(Target.Registration.Id)},
          {"service", Target.Registration.Service},
          {"zone", Target.Registration.Zone},
          {"source", EvidenceSource},
          {"openExchanges", Target.Exchanges.count()},
          {"oldestMs", millisecondsOf(OldestAge)}};
}

} // namespace indigopoint
