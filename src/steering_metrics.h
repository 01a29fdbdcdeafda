#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "metrics.h"
#include "steering_decision.h"

namespace indigopoint {

/// What is measured for the new flows of one service.
struct ServiceFlowMetrics {
  uint64_t OpenedInZone = 0;
  uint64_t OpenedInOtherZones = 0;
  /// Opening packets without a next packet in time.
  uint64_t OpenTimeouts = 0;
  /// From the opening packet to the client's next one.
  LatencyHistogram OpenLatency = makeLatencyHistogram();
  /// Sum of the latencies in \c OpenLatency.
  Duration OpenLatencySum{};
};

/// Counts what flow steering decides.
class SteeringMetrics {
public:
  void countDecision(const SteeringDecision &Decision);
  uint64_t decisions(SteeringAction Action, SteeringReason Reason) const;

  /// The metrics of a service. Services beyond a bound share one entry, so
  /// that registrations of others cannot grow the table without end.
  ServiceFlowMetrics &service(const std::string &Name);

  const std::map<std::string, ServiceFlowMetrics> &services() const {
    return Services;
  }

private:
  std::array<std::array<uint64_t, SteeringReasonCount>, SteeringActionCount>
      Decisions{};
  std::map<std::string, ServiceFlowMetrics> Services;
};

} // namespace indigopoint
