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
  EventLog::Fields Line = {{"flow", toString(Packet.Flow)},
                           {"reason", nameOf(Decision.Reason)}};
  if (Decision.Target != nullptr) {
    const UpstreamRegistration &Said = Decision.Target->Registration;
    Line["upstream"] = toHex(Said.Id);
    Line["service"] = Said.Service;
    Line["zone"] = Said.Zone;
    Line["openFlows"] = Decision.Target->OpenFlows;
  }
  if (Decision.Action != SteeringAction::Forward)
    Line["tag"] = Packet.Tag.value();
  return Line;
}

} // namespace indigopoint
