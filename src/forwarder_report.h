#pragma once

#include <string>

#include "event_log.h"
#include "peer_reporter.h"
#include "route_table.h"
#include "spillover.h"
#include "steering_metrics.h"
#include "store_follower.h"
#include "timer_lateness.h"
#include "upstream_registry.h"

namespace indigopoint {

/// The state of a forwarder that its metrics and its status report show.
struct ForwarderView {
  const SteeringMetrics &Metrics;
  const RouteTable &Routes;
  const UpstreamRegistry &Upstreams;
  const StoreFollower &Follower;
  const EventLog &Log;
  /// Flows with recent packets.
  size_t Flows = 0;
  /// Datagrams that were not packets of a client.
  uint64_t InvalidDatagrams = 0;
  bool Ready = false;
  TimePoint Now{};
  PeerReporter::Counters Reports;
  /// How often no upstream was reachable any more.
  uint64_t UpstreamLosses = 0;
  const Spillover &Spill;
  const TimerLateness &Lateness;
};

/// Counters, gauges and histograms in the Prometheus text format.
std::string metricsText(const ForwarderView &View);

/// The state and the age of the store data as a JSON object.
std::string forwarderStatus(const ForwarderView &View);

} // namespace indigopoint
