#pragma once

#include <unordered_map>

#include "dispatcher.h"
#include "load_reporter.h"
#include "owned_upstream.h"
#include "upstream_start_times.h"

namespace indigopoint {

struct Blackboard;

/// Makes the set of owned upstreams follow ownership and configuration, and
/// moves upstreams between owners.
class OwnedUpstreamManager {
public:
  OwnedUpstreamManager(Blackboard &Board, OwnedUpstreams &Owned,
                       Dispatcher &Work, LoadReporter &Reports)
      : Board(Board), Owned(Owned), Work(Work), Reports(Reports) {}

  /// The state of an upstream that this instance owns now, made if it is new;
  /// null if it owns it not.
  OwnedUpstream *ensure(UpstreamId Id);

  /// Takes up what is owned now and gives up what is not, or what the
  /// configuration has given another address or service.
  void update(ActionSink &Sink);

  void exportUpstream(UpstreamId Id, HandoverBatch &Batch) const;
  void importBatch(const HandoverBatch &Batch);

  /// Takes no more work for \p Id. Its queue is answered NotOwner.
  void drop(UpstreamId Id, ActionSink &Sink);

  /// An instance says how many dispatches of an upstream that it had are left.
  void onPreviousOwner(OwnedUpstream &Given, const UpstreamLoad &Rest);

  /// Ends what previous owners left, and closes connections of upstreams that
  /// were given up.
  void onTick(ActionSink &Sink);

  void reset();

private:
  struct Imported {
    UpstreamCopy Copy;
    TimePoint At{};
  };

  OwnedUpstream &create(UpstreamId Id, const ConfigIndex::UpstreamRef &Ref);
  bool isCurrent(const OwnedUpstream &Given) const;
  void followConfig(OwnedUpstream &Given);
  void applyImport(OwnedUpstream &Given, const Imported &From);
  void applyView(OwnedUpstream &Given, const ServiceConfig &Service);
  void closeSome(OwnedUpstream &Given, ActionSink &Sink);

  Blackboard &Board;
  OwnedUpstreams &Owned;
  Dispatcher &Work;
  LoadReporter &Reports;
  UpstreamStartTimes Arrivals;
  uint64_t NextGeneration = 1;
  std::unordered_map<UpstreamId, Imported> Imports;
};

} // namespace indigopoint
