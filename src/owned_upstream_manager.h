#pragma once

#include <unordered_map>

#include "dispatcher.h"
#include "load_reporter.h"
#include "owned_upstream.h"
#include "upstream_start_times.h"

namespace indigopoint {

struct Blackboard;

/// Keeps the set of owned upstreams in line with ownership and configuration,
/// and exports and imports the state of upstreams that move between owners.
class OwnedUpstreamManager {
public:
  OwnedUpstreamManager(Blackboard &Board, OwnedUpstreams &Owned,
                       Dispatcher &RequestDispatcher, LoadReporter &Reports)
      : Board(Board), Owned(Owned), RequestDispatcher(RequestDispatcher),
        Reports(Reports) {}

  /// Returns the state of an upstream that this instance owns, and creates it
  /// if there is none yet. Returns null if this instance does not own the
  /// upstream.
  OwnedUpstream *findOrCreate(UpstreamId Id);

  /// Creates the upstreams that this instance now owns, and drops those that it
  /// no longer owns or that the configuration moved to another address or
  /// service.
  void update(ActionSink &Sink);

  void exportUpstream(UpstreamId Id, HandoverBatch &Batch) const;
  void importBatch(const HandoverBatch &Batch);

  /// Stops accepting requests for \p Id. Queued requests are answered NotOwner.
  void drop(UpstreamId Id, ActionSink &Sink);

  /// Handles a report of the previous owner of an upstream, with the number of
  /// its dispatches that are still in progress.
  void onPreviousOwnerLoad(OwnedUpstream &Upstream,
                           const UpstreamLoad &RemainingLoad);

  /// Expires inherited dispatches and flows, and closes the connections of
  /// upstreams that were dropped.
  void onTick(ActionSink &Sink);

  void reset();

private:
  struct UpstreamImport {
    UpstreamCopy Copy;
    TimePoint ImportedAt{};
  };

  OwnedUpstream &create(UpstreamId Id, const ConfigIndex::UpstreamRef &Ref);
  bool isCurrent(const OwnedUpstream &Upstream) const;
  void applyConfig(OwnedUpstream &Upstream);
  void applyImport(OwnedUpstream &Upstream, const UpstreamImport &Import);
  void applyLastReport(OwnedUpstream &Upstream, const ServiceConfig &Service);
  void closeConnections(OwnedUpstream &Upstream, ActionSink &Sink);

  Blackboard &Board;
  OwnedUpstreams &Owned;
  Dispatcher &RequestDispatcher;
  LoadReporter &Reports;
  UpstreamStartTimes StartTimes;
  uint64_t NextGeneration = 1;
  std::unordered_map<UpstreamId, UpstreamImport> Imports;
};

} // namespace indigopoint
