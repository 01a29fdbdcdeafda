// A small model of a region in virtual time: instances of four zones, upstreams
// with slots and queue places that shed what exceeds them, and clients that
// retry.

#pragma once

#include <functional>
#include <vector>

#include "policy_options.h"
#include "types.h"

namespace indigopoint {

struct LoadScenario {
  /// Offered load of each zone as a multiple of the capacity of one zone.
  std::function<double(size_t Zone, double Seconds)> LoadOf;
  PlacementOptions Placement;
  double Seconds = 7;
  /// Requests sent earlier are not counted.
  double CountFrom = 4;
  uint64_t Seed = 1;
};

struct LoadResult {
  size_t Sent = 0;
  size_t InTarget = 0;
  size_t Late = 0;
  /// Shed at each attempt.
  size_t Refused = 0;
  /// Not answered within the time limit.
  size_t Lost = 0;
  /// The share of the flows of zone 0 that goes to other zones, by tenth of a
  /// second.
  std::vector<double> SpilledByTenth;

  double shareInTarget() const {
    return static_cast<double>(InTarget) / static_cast<double>(Sent);
  }
};

/// Plays a scenario and returns the outcomes.
LoadResult runLoadModel(const LoadScenario &Scenario);

} // namespace indigopoint
