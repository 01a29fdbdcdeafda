#pragma once

#include <memory>

#include "engine_io.h"
#include "messages.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// The owner role: sends to the owned upstreams within their limits and judges
/// their health.
class UpstreamController {
public:
  UpstreamController(Blackboard &Board, PeerLink &Peers);
  ~UpstreamController();

  void onSubmit(const Sender &From, Submit Body, ActionSink &Sink);
  void onCancelSubmit(const Sender &From, const CancelSubmit &Cancel,
                      ActionSink &Sink);
  void onReleaseFlow(const ReleaseFlow &Release, ActionSink &Sink);
  void onDispatchResult(Endpoint From, DispatchResult Result, ActionSink &Sink);
  void onPong(Endpoint From, const Pong &Answer, ActionSink &Sink);
  void onLoadReport(const Sender &From, const LoadReport &Report);
  void onHealthObserved(const HealthObserved &Observed, ActionSink &Sink);
  void onTick(ActionSink &Sink);

  /// Members, owners or configuration changed.
  void onPlacementChanged(ActionSink &Sink);

  /// Copies what the next owner of \p Upstream needs into \p Batch.
  void exportUpstream(UpstreamId Upstream, HandoverBatch &Batch) const;

  /// Takes in upstreams of the previous owner.
  void importBatch(const HandoverBatch &Batch);

  /// Takes no more work for \p Upstream. Dispatches in progress end here.
  void dropUpstream(UpstreamId Upstream, ActionSink &Sink);

  /// Forgets everything; the process was declared dead while paused.
  void reset();

  uint32_t dispatchesInProgress() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
