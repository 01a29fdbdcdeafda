#pragma once

#include <optional>

#include "event_log.h"
#include "packet.h"
#include "reachability_gate.h"
#include "steering_decision.h"

namespace indigopoint {

/// The log event of a decision. Decisions that only repeat an earlier one for
/// the same flow are counted but not logged.
std::optional<LogEvent> logEventOf(const SteeringDecision &Decision);

/// The log fields of a decision: the flow, the reason, the upstream if there is
/// one, the packet's tag if the packet was not forwarded, and the evidence for
/// the reset of an open flow.
EventLog::Fields describe(const PacketHeader &Packet,
                          const SteeringDecision &Decision);

/// The fields of LogEvent::UpstreamsLost that tell how long which answers are
/// missing.
EventLog::Fields describeSilence(const ReachabilityGate::Silence &Found);

/// The fields of LogEvent::UpstreamSilent.
EventLog::Fields describeOpenTimeout(const FlowAddress &Flow,
                                     const Upstream &Target);

/// The fields of LogEvent::FlowTagConflict: the flow's upstream, and the one
/// that a packet named.
EventLog::Fields describeTagConflict(const FlowAddress &Flow,
                                     const Upstream &Target,
                                     const Upstream &Named);

/// The fields of LogEvent::UpstreamUnresponsive. \p EvidenceSource tells who
/// found the evidence.
EventLog::Fields describeUnresponsive(const Upstream &Target,
                                      const char *EvidenceSource,
                                      TimePoint Now);

} // namespace indigopoint
