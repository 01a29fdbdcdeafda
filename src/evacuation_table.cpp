#include "evacuation_table.h"

#include <algorithm>

namespace indigopoint {

bool EvacuationTable::start(const std::string &Zone, TimePoint Now) {
  return Zones.try_emplace(Zone, Now).second;
}

bool EvacuationTable::end(const std::string &Zone) {
  return Zones.erase(Zone) > 0;
}

std::vector<std::string> EvacuationTable::missingFrom(
    const std::vector<std::string> &PresentZones) const {
  std::vector<std::string> Out;
  for (const auto &[Zone, StartedAt] : Zones)
    if (std::find(PresentZones.begin(), PresentZones.end(), Zone) ==
        PresentZones.end())
      Out.push_back(Zone);
  return Out;
}

} // namespace indigopoint
