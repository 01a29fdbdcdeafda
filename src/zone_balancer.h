#pragma once

#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace indigopoint {

// Not used by the program yet: reports of loads do not leave their zone.

/// The load of one service in one zone.
struct ZoneLoad {
  std::string Zone;
  /// Slots that the requests of the zone's clients keep busy, wherever they are
  /// served. Queued requests are not included, so that the value does not
  /// depend on what this class decides.
  double Demand = 0;
  double Capacity = 0;
};

/// Decides which share of a zone's new flows of a service goes to other zones
/// because the zone's demand exceeds its capacity. All instances that know the
/// same loads decide the same.
class ZoneBalancer {
public:
  explicit ZoneBalancer(std::string Zone) : Zone(std::move(Zone)) {}

  /// Updates the shares of a service. Zones that are not in \p Loads count as
  /// having no spare capacity.
  void update(const std::string &Service, const std::vector<ZoneLoad> &Loads,
              TimePoint Now);

  /// The share of the own zone's new flows that goes to \p OtherZone.
  double shareTo(const std::string &Service,
                 const std::string &OtherZone) const;

  /// The zone for a new flow with this hash. It is the same for
  /// retransmissions.
  const std::string &zoneOf(const std::string &Service, uint64_t Hash) const;

private:
  struct State {
    std::map<std::string, double> Shares;
    TimePoint UpdatedAt{};
  };

  std::string Zone;
  std::map<std::string, State> Services;
};

/// The shares of the new flows of \p Zone that should go to each other zone.
std::map<std::string, double>
sharesToOtherZones(const std::string &Zone, const std::vector<ZoneLoad> &Loads);

} // namespace indigopoint
