#pragma once

#include <optional>

#include "event_log.h"
#include "packet.h"
#include "steering_decision.h"

namespace indigopoint {

/// The log event of a decision. Decisions that only repeat an earlier one for
/// the same flow are counted but not logged.
std::optional<LogEvent> logEventOf(const SteeringDecision &Decision);

/// The log fields of a decision: the flow, the reason, the upstream if there is
/// one, the inputs of a refusal because of overload, and the packet's tag if
/// the packet was not forwarded.
EventLog::Fields describe(const PacketHeader &Packet,
                          const SteeringDecision &Decision);

} // namespace indigopoint
