#pragma once

#include <string>
#include <unordered_map>

#include "types.h"

namespace indigopoint {

/// Decides whether an instance reaches any upstream. An instance that reaches
/// none, and whose store data is outdated, reports itself as not ready, so that
/// routers send its clients elsewhere.
class ReachabilityGate {
public:
  /// Called when an opening packet is forwarded to an upstream.
  void recordOpening(const std::string &Service, UpstreamId Id, TimePoint Now);

  /// Called when any upstream has answered.
  void recordAnswer(TimePoint Now);

  /// Called after a pause of the process: answers may have been missed.
  void discardOpenings() { Unanswered.clear(); }

  /// The upstreams that take new flows, and their services.
  struct Available {
    size_t Upstreams = 0;
    size_t Services = 0;
  };

  /// Decides anew; called several times a second. The store data is outdated
  /// from \p OutdatedAt on, which is later than now while the store is
  /// reachable.
  void update(Available Known, TimePoint OutdatedAt, TimePoint Now);

  /// False while no upstream is reachable and routers should send the clients
  /// elsewhere.
  bool isReachable(TimePoint Now) const { return Now >= UnreachableUntil; }

private:
  /// Openings at one upstream since the last answer from any upstream.
  struct Openings {
    std::string Service;
    TimePoint First{};
    TimePoint Last{};
  };

  bool isEvidenceSufficient(Available Known, TimePoint Now) const;
  static TimePoint nextTrial(TimePoint OutdatedAt, TimePoint Now);

  std::unordered_map<UpstreamId, Openings> Unanswered;
  /// Not after the current time while upstreams are reachable.
  TimePoint UnreachableUntil{};
};

} // namespace indigopoint
