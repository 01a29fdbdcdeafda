#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.h"
#include "upstream_registry.h"

namespace indigopoint {

/// The average response time of the last second.
class RecentResponseTime {
public:
  void record(Duration ResponseTime, TimePoint Now);

  /// In microseconds; nothing if there are fewer than \p MinCount responses.
  std::optional<double> mean(uint32_t MinCount, TimePoint Now) const;

private:
  struct Window {
    TimePoint Start{};
    Duration Sum{};
    uint32_t Count = 0;
  };

  Window Current;
  Window Previous;
};

/// Decides which share of a service's new flows goes to other zones because the
/// own zone answers more slowly than usual and than they do. Answers the load
/// of a zone whose demand exceeds its capacity while other zones have room.
class Spillover {
public:
  explicit Spillover(std::string Zone) : Zone(std::move(Zone)) {}

  /// Records the time from a request to its answer.
  void recordResponse(const UpstreamRegistration &Target, Duration ResponseTime,
                      TimePoint Now);

  /// Returns the zone whose upstreams should take a new flow. \p Candidates are
  /// the upstreams of its service; \p Fraction, from 0 to 1, distributes the
  /// flows.
  const std::string &chooseZone(const std::vector<Upstream *> &Candidates,
                                double Fraction, TimePoint Now);

  /// The share of the service's new flows that goes to other zones.
  double shareOf(const std::string &Service) const;

private:
  struct OtherZone {
    RecentResponseTime Recent;
    double Share = 0;
  };

  struct ServiceState {
    /// Updates and returns the usual response time of the own zone, in
    /// microseconds.
    double updateUsual(double RecentResponseTime, TimePoint Now);

    RecentResponseTime Recent;
    std::optional<double> Usual;
    std::map<std::string, OtherZone> OtherZones;
    TimePoint UpdatedAt{};
  };

  ServiceState *find(const std::string &Service);
  void update(ServiceState &State, const std::vector<Upstream *> &Candidates,
              TimePoint Now) const;
  static void adjustShare(OtherZone &Other, double OwnResponseTime,
                          TimePoint Now);

  std::string Zone;
  std::map<std::string, ServiceState> Services;
};

} // namespace indigopoint
