#pragma once

#include <string>
#include <unordered_map>

#include "types.h"

namespace indigopoint {

/// Remembers how many slots each service had in the own zone lately, and tells
/// which part of them is missing now.
class ZoneCapacity {
public:
  /// Takes the slots of a service that can be used now. Returns the share of
  /// the most in recent minutes that is missing, from 0 to 1.
  double missingShare(const std::string &Service, double Slots, TimePoint Now);

private:
  struct Peak {
    double Slots = 0;
    TimePoint At{};
  };

  std::unordered_map<std::string, Peak> Peaks;
};

} // namespace indigopoint
