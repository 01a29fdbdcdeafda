#pragma once

#include <string>

#include "event_log.h"
#include "route_table.h"
#include "steering_metrics.h"
#include "store_follower.h"
#include "upstream_registry.h"

namespace indigopoint {

/// What a forwarder shows of itself.
struct ForwarderView {
  const SteeringMetrics &Metrics;
  const RouteTable &Routes;
  const UpstreamRegistry &Upstreams;
  const StoreFollower &Follower;
  const EventLog &Log;
  /// Flows whose packets passed lately.
  size_t Flows = 0;
  /// Datagrams that were no packet of a client.
  uint64_t NotPackets = 0;
  bool Ready = false;
};

/// Counters, gauges and histograms in the Prometheus text format.
std::string metricsText(const ForwarderView &View);

/// Beliefs and their age as a JSON object.
std::string forwarderStatus(const ForwarderView &View);

} // namespace indigopoint
