#pragma once

#include <optional>

#include "event_log.h"
#include "packet.h"
#include "steering_decision.h"

namespace indigopoint {

/// What a decision is logged as. Packets that only follow an earlier decision
/// are counted and not logged.
std::optional<LogEvent> logEventOf(const SteeringDecision &Decision);

/// The inputs of a decision: the flow, the reason, and the upstream or the
/// packet's tag.
EventLog::Fields describe(const PacketHeader &Packet,
                          const SteeringDecision &Decision);

} // namespace indigopoint
