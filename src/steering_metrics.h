#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "metrics.h"
#include "steering_decision.h"

namespace indigopoint {

/// Metrics of the new flows of one service.
struct ServiceFlowMetrics {
  uint64_t OpenedInZone = 0;
  uint64_t OpenedInOtherZones = 0;
  /// New flows sent to other zones while this instance's zone is evacuated.
  uint64_t OpenedDuringEvacuation = 0;
  /// Opening packets that were not answered within OpenTimeout.
  uint64_t OpenTimeouts = 0;
  /// Time from the opening packet to the client's next packet.
  LatencyHistogram OpenLatency = makeLatencyHistogram();
  /// Sum of the latencies in \c OpenLatency.
  Duration OpenLatencySum{};
};

/// Counts the decisions of flow steering.
class SteeringMetrics {
public:
  void countDecision(const SteeringDecision &Decision);
  /// The number of decisions with this action and reason.
  uint64_t decisions(SteeringAction Action, SteeringReason Reason) const;
  /// The number of open flows that were reset for this cause.
  uint64_t flowResets(ResetCause Cause) const;

  /// The metrics of a service. Services beyond a limit share one entry, so that
  /// registrations of many services cannot grow the table without bound.
  ServiceFlowMetrics &service(const std::string &Name);

  const std::map<std::string, ServiceFlowMetrics> &services() const {
    return Services;
  }

  /// Open flows of which a packet named another upstream than the flow's.
  uint64_t TagConflicts = 0;

  /// Packets that were held because their upstream was unknown, and sent later.
  uint64_t ReleasedPackets = 0;

private:
  std::array<std::array<uint64_t, SteeringReasonCount>, SteeringActionCount>
      Decisions{};
  std::array<uint64_t, ResetCauseCount> FlowResets{};
  std::map<std::string, ServiceFlowMetrics> Services;
};

} // namespace indigopoint
