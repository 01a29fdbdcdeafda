#pragma once

#include <string>
#include <unordered_map>

#include "types.h"

namespace indigopoint {

/// Tracks the recent peak of usable slots of each service in this instance's
/// zone, to compute which share of them is missing now.
class ZoneCapacity {
public:
  /// Records the usable slots of a service. Returns the share of the recent
  /// peak that is missing now, from 0 to 1.
  double recordSlotsAndGetMissingShare(const std::string &Service, double Slots,
                                       TimePoint Now);

private:
  struct Peak {
    double Slots = 0;
    TimePoint ReachedAt{};
  };

  std::unordered_map<std::string, Peak> Peaks;
};

} // namespace indigopoint
