#pragma once

#include <map>
#include <optional>

#include "configuration.h"
#include "connection_table.h"
#include "health_tracker.h"
#include "messages.h"
#include "metrics.h"
#include "rate_meter.h"
#include "service_time_estimate.h"
#include "work_queue.h"

namespace indigopoint {

/// All that the owner of an upstream keeps about it.
struct OwnedUpstream {
  UpstreamId Id;
  ServiceId Service;
  Endpoint Address;
  /// Tells this state from an earlier one of the same upstream, whose
  /// dispatches may still be in progress.
  uint64_t Generation = 0;

  ConnectionTable Connections;
  WorkQueue Queue;
  HealthTracker Health;
  ServiceTimeEstimate Estimate;
  RateMeter RequestRate;

  /// Own dispatches that hold a slot.
  uint32_t InProgress = 0;

  /// Dispatches of the previous owner that may still hold slots.
  uint32_t InheritedDispatches = 0;
  TimePoint InheritedDispatchesUntil{};

  /// Flows of the previous owner that have not been seen here yet.
  uint32_t InheritedFlows = 0;
  TimePoint InheritedFlowsUntil{};

  /// Since when the upstream is leaving, as seen here.
  std::optional<TimePoint> DrainingSince;
  bool DrainingByConfig = false;
  /// The last time traffic or a hint said that it is draining.
  TimePoint DrainingSeenAt{};

  /// The last success and its connection.
  TimePoint LastSuccessAt{};
  ConnectionId LastSuccessConnection;

  ServiceMetrics *Metrics = nullptr;

  /// Traffic or a hint said that the upstream is draining.
  void recordDraining(TimePoint Now);

  bool isDraining() const { return DrainingSince.has_value(); }
  uint32_t busy() const { return InProgress + InheritedDispatches; }
  uint32_t flows() const;
};

/// The upstreams of this instance, by id, and those that it owned before and
/// still has dispatches or connections of, by generation.
struct OwnedUpstreams {
  std::map<UpstreamId, OwnedUpstream> Current;
  std::map<uint64_t, OwnedUpstream> Released;

  /// Null if the upstream is not owned now.
  OwnedUpstream *find(UpstreamId Id);

  /// The state that a dispatch counts in; null if it was forgotten.
  OwnedUpstream *find(UpstreamId Id, uint64_t Generation);
};

/// Dispatches that may be in progress at a time.
uint32_t dispatchLimit(const OwnedUpstream &Upstream,
                       const ConfigIndex::UpstreamRef &Ref);

/// Whether requests of established flows are still sent to it.
bool acceptsEstablishedFlows(const OwnedUpstream &Upstream,
                             const ServiceConfig &Service, TimePoint Now);

/// The load as reported to others.
UpstreamLoad loadOf(const OwnedUpstream &Upstream, const ServiceConfig &Service,
                    TimePoint Now);

} // namespace indigopoint
