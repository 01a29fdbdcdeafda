#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation.h"

namespace indigopoint::measure {

struct Scenario {
  std::string Name;
  /// Whether the scenario consists of planned changes only, without failures.
  bool Planned = true;
  std::function<void(Simulation &)> Script;
};

/// The deployment used by the measurements: 7 instances, chat-core with 14
/// upstreams and media-shelf with 4, over 4 zones.
Configuration exampleConfiguration();
constexpr size_t ExampleInstances = 7;

std::vector<Scenario> allScenarios();

} // namespace indigopoint::measure
