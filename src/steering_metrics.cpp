#include "steering_metrics.h"

namespace indigopoint {

namespace {

constexpr size_t MaxServices = 64;
constexpr const char *OtherServices = "other";

} // namespace

void SteeringMetrics::countDecision(const SteeringDecision &Decision) {
  ++Decisions[static_cast<size_t>(Decision.Action)]
             [static_cast<size_t>(Decision.Reason)];
  if (Decision.Evidence)
    ++FlowResets[static_cast<size_t>(Decision.Evidence->Cause)];
}

uint64_t SteeringMetrics::flowResets(ResetCause Cause) const {
  return FlowResets[static_cast<size_t>(Cause)];
}

uint64_t SteeringMetrics::decisions(SteeringAction Action,
                                    SteeringReason Reason) const {
  return Decisions[static_cast<size_t>(Action)][static_cast<size_t>(Reason)];
}

ServiceFlowMetrics &SteeringMetrics::service(const std::string &Name) {
  const auto It = Services.find(Name);
  if (It != Services.end())
    return It->second;
  return Services[Services.size() < MaxServices ? Name : OtherServices];
}

} // namespace indigopoint
