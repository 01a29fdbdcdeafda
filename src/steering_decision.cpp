#include "steering_decision.h"

#include <array>

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 3> ActionNames = {"forward", "reset",
                                                         "drop"};
constexpr std::array<std::string_view, SteeringReasonCount> ReasonNames = {
    "new-flow",    "repeated-opening", "moved-opening", "known-flow",
    "tagged-flow", "opened-elsewhere", "reported-flow", "no-configuration",
    "paused",      "no-route",         "route-removed", "no-upstream",
    "unknown-tag", "address-reused",   "upstream-gone", "upstream-dead"};

} // namespace

std::string_view nameOf(SteeringAction Value) {
  return ActionNames.at(static_cast<size_t>(Value));
}

std::string_view nameOf(SteeringReason Value) {
  return ReasonNames.at(static_cast<size_t>(Value));
}

} // namespace indigopoint
