#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <boost/histogram.hpp>

#include "types.h"

namespace indigopoint {

/// Histogram of microseconds on a logarithmic axis from 10 us to 100 s.
using LatencyHistogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<
        double, boost::histogram::axis::transform::log>(28, 10.0, 1e8)));

/// Histogram of counts from 0 to 63, for example of requests queued or in
/// progress.
using OccupancyHistogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::integer<>(0, 64)));

LatencyHistogram makeLatencyHistogram();
OccupancyHistogram makeOccupancyHistogram();

/// Metrics of one service.
struct ServiceMetrics {
  /// Time from the arrival of a request at its home instance to its outcome.
  LatencyHistogram RequestLatency = makeLatencyHistogram();
  /// Time from a dispatch to an upstream to the answer.
  LatencyHistogram UpstreamLatency = makeLatencyHistogram();
  /// Requests already queued at an owner when another request arrives.
  OccupancyHistogram QueueLength = makeOccupancyHistogram();
  /// Slots already busy at an owned upstream when another dispatch starts.
  OccupancyHistogram SlotsBusy = makeOccupancyHistogram();
  /// Number of finished requests, indexed by Outcome.
  std::array<uint64_t, 3> Outcomes{};
  uint64_t FlowsOpened = 0;
  uint64_t FlowsClosed = 0;
  /// Flows moved from a draining upstream between two requests.
  uint64_t FlowsMoved = 0;
  /// Flows that lost their upstream or an answer in an unplanned way.
  uint64_t FlowsBroken = 0;
  uint64_t Redirects = 0;
  uint64_t Retries = 0;
  uint64_t Duplicates = 0;
  /// Connections replaced because the upstream stopped answering on them.
  uint64_t ConnectionsReplaced = 0;
  uint64_t Ejections = 0;
};

struct Metrics {
  /// Keyed by "tenant/service".
  std::map<std::string, ServiceMetrics> Services;
  uint64_t UnexpectedMessages = 0;
  uint64_t UnknownServices = 0;
  uint64_t Relayed = 0;
  /// Answers of upstreams to dispatches that are not in progress.
  uint64_t UnknownDispatchResults = 0;
  /// Answers received from another address or connection than expected.
  uint64_t ForeignDispatchResults = 0;
  uint64_t HopLimitReached = 0;
  /// Datagrams from instances that are unknown, dead or of another boot.
  uint64_t OutdatedSenders = 0;
  /// Number of detected pauses of this process.
  uint64_t Pauses = 0;
  /// Datagrams dropped because they were received after a pause of this process
  /// and before its membership was confirmed again.
  uint64_t DroppedWhileStale = 0;
  /// Deaths of other instances that this instance declared or was informed of.
  uint64_t MembersLost = 0;
  /// Results of submissions that were finished already or were sent to another
  /// instance.
  uint64_t LateResults = 0;
};

} // namespace indigopoint
