#include "steering_log.h"

#include "upstream_registry.h"

namespace indigopoint {

std::optional<LogEvent> logEventOf(const SteeringDecision &Decision) {
  if (Decision.Action == SteeringAction::Reset)
    return LogEvent::FlowReset;
  if (Decision.Action == SteeringAction::Drop)
    return LogEvent::PacketDropped;
  if (Decision.Reason == SteeringReason::NewFlow)
    return LogEvent::FlowOpened;
  if (Decision.Reason == SteeringReason::MovedOpening)
    return LogEvent::FlowMoved;
  if (Decision.Reason == SteeringReason::TaggedFlow)
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
  return LogFields;
}

} // namespace indigopoint
