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

/// The state that the owner instance keeps for an upstream.
struct OwnedUpstream {
  UpstreamId Id;
  ServiceId Service;
  Endpoint Address;
  /// Distinguishes this state from that of an earlier ownership of the same
  /// upstream, whose dispatches may still be in progress.
  uint64_t Generation = 0;

  ConnectionTable Connections;
  WorkQueue Queue;
  HealthTracker Health;
  ServiceTimeEstimate Estimate;
  RateMeter RequestRate;

  /// Dispatches of this instance that hold a slot.
  uint32_t InProgress = 0;

  /// Dispatches of the previous owner instance that may still hold slots.
  uint32_t InheritedDispatches = 0;
  TimePoint InheritedDispatchesUntil{};

  /// Flows of the previous owner instance that have not sent a request here
  /// yet.
  uint32_t InheritedFlows = 0;
  TimePoint InheritedFlowsUntil{};

  /// When the upstream began to drain, as far as this instance knows.
  std::optional<TimePoint> DrainingSince;
  bool DrainingByConfig = false;
  /// The last time that an answer or a health check reported draining.
  TimePoint DrainingSeenAt{};

  /// Time and connection of the last successful request.
  TimePoint LastSuccessAt{};
  ConnectionId LastSuccessConnection;

  ServiceMetrics *Metrics = nullptr;

  /// Records that an answer or a health check reported draining.
  void recordDraining(TimePoint Now);

  bool isDraining() const { return DrainingSince.has_value(); }
  uint32_t busy() const { return InProgress + InheritedDispatches; }
  uint32_t flows() const;
};

/// The upstreams that this instance owns, by id, and the upstreams that it
/// owned before and for which it still has dispatches or connections, by
/// generation.
struct OwnedUpstreams {
  std::map<UpstreamId, OwnedUpstream> Current;
  std::map<uint64_t, OwnedUpstream> Released;

  /// Null if the upstream is not owned now.
  OwnedUpstream *find(UpstreamId Id);

  /// The entry of the given generation, which counts the dispatches of that
  /// generation; null if it was removed.
  OwnedUpstream *find(UpstreamId Id, uint64_t Generation);
};

/// The maximum number of concurrent dispatches.
uint32_t dispatchLimit(const OwnedUpstream &Upstream,
                       const ConfigIndex::UpstreamRef &Ref);

/// Whether requests of established flows are still sent to the upstream.
bool acceptsEstablishedFlows(const OwnedUpstream &Upstream,
                             const ServiceConfig &Service, TimePoint Now);

/// The load of the upstream as reported to other instances.
UpstreamLoad loadOf(const OwnedUpstream &Upstream, const ServiceConfig &Service,
                    TimePoint Now);

} // namespace indigopoint
