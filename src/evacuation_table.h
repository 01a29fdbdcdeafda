#pragma once

#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace indigopoint {

/// The zones whose upstreams get no new flows because an operator evacuates
/// them. Flows that are open stay at their upstreams.
class EvacuationTable {
public:
  /// Returns whether the zone was not evacuated before.
  bool start(const std::string &Zone, TimePoint Now);

  /// Returns whether the zone was evacuated.
  bool end(const std::string &Zone);

  bool contains(const std::string &Zone) const { return Zones.count(Zone) > 0; }

  /// The evacuated zones that are not in \p PresentZones.
  std::vector<std::string>
  missingFrom(const std::vector<std::string> &PresentZones) const;

  /// The evacuated zones and when this instance learned of each evacuation.
  const std::map<std::string, TimePoint> &zones() const { return Zones; }

private:
  std::map<std::string, TimePoint> Zones;
};

} // namespace indigopoint
