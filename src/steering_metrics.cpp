#include "steering_metrics.h"

namespace indigopoint {

namespace {

constexpr size_t MostServices = 64;
constexpr const char *OtherServices = "other";

} // namespace

void SteeringMetrics::countDecision(const SteeringDecision &Decision) {
  ++Decisions[static_cast<size_t>(Decision.Action)]
             [static_cast<size_t>(Decision.Reason)];
}

uint64_t SteeringMetrics::decisions(SteeringAction Action,
                                    SteeringReason Reason) const {
  return Decisions[static_cast<size_t>(Action)][static_cast<size_t>(Reason)];
}

ServiceFlowMetrics &SteeringMetrics::service(const std::string &Name) {
  const auto Found = Services.find(Name);
  if (Found != Services.end())
    return Found->second;
  return Services[Services.size() < MostServices ? Name : OtherServices];
}

} // namespace indigopoint
