#pragma once

#include <memory>

#include "engine_io.h"
#include "messages.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// What this instance does as owner instance: sends requests to its owned
/// upstreams within their limits and tracks the health of these upstreams.
class UpstreamController {
public:
  UpstreamController(Blackboard &Board, PeerLink &Peers);
  ~UpstreamController();

  void onSubmit(const Sender &From, Submit SubmitMessage, ActionSink &Sink);
  void onCancelSubmit(const Sender &From, const CancelSubmit &Cancel,
                      ActionSink &Sink);
  void onReleaseFlow(const ReleaseFlow &Release, ActionSink &Sink);
  void onDispatchResult(Endpoint From, DispatchResult Result, ActionSink &Sink);
  void onPong(Endpoint From, const Pong &Answer, ActionSink &Sink);
  void onLoadReport(const Sender &From, const LoadReport &Report);
  void onHealthObserved(const HealthObserved &Observed, ActionSink &Sink);
  void onTick(ActionSink &Sink);

  /// Called when members, owners or the configuration changed.
  void onPlacementChanged(ActionSink &Sink);

  /// Copies the state that the next owner of \p Upstream needs into \p Batch.
  void exportUpstream(UpstreamId Upstream, HandoverBatch &Batch) const;

  /// Imports the state of upstreams that the previous owner sent.
  void importBatch(const HandoverBatch &Batch);

  /// Accepts no more requests for \p Upstream. Dispatches in progress are
  /// completed by this instance.
  void dropUpstream(UpstreamId Upstream, ActionSink &Sink);

  /// Discards all state, because the process was declared dead while paused.
  void reset();

  uint32_t dispatchesInProgress() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
