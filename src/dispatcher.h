#pragma once

#include "dispatch_table.h"
#include "engine_io.h"
#include "owned_upstream.h"
#include "submission_log.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// Sends admitted requests to the upstreams of this instance within their
/// limits, and gives each submission exactly one result.
class Dispatcher {
public:
  Dispatcher(Blackboard &Board, PeerLink &Peers, OwnedUpstreams &Upstreams);

  /// Records a new submission. If the submission is known already, sends its
  /// result again if it has one and returns false.
  bool recordSubmission(const SubmissionKey &Key, ActionSink &Sink);

  /// Records the result of a submission and sends it to the home instance.
  void finish(const SubmissionKey &Key, SubmitResult Result, ActionSink &Sink);

  /// Finishes a submission that was not sent to the upstream with NotRun.
  void refuse(const SubmissionKey &Key, const OwnedUpstream &Upstream,
              Duration RetryAfter, ActionSink &Sink);

  /// Dispatches, queues or refuses an admitted submission.
  void dispatchOrQueue(OwnedUpstream &Upstream, WorkItem Item,
                       ActionSink &Sink);

  /// Dispatches queued submissions while there are free slots.
  void dispatchQueued(OwnedUpstream &Upstream, ActionSink &Sink);

  /// Finishes all queued submissions with \p Status.
  void flushQueue(OwnedUpstream &Upstream, SubmitStatus Status,
                  ActionSink &Sink);

  void onResult(Endpoint From, DispatchResult Result, ActionSink &Sink);
  void cancel(const SubmissionKey &Key, ActionSink &Sink);
  void onTick(ActionSink &Sink);

  /// Replaces the unresponsive connection of a flow.
  void replaceConnection(OwnedUpstream &Upstream, FlowKey Flow,
                         ActionSink &Sink);

  /// Closes the connection of a flow once its dispatches have ended.
  void releaseFlow(OwnedUpstream &Upstream, FlowKey Flow, ActionSink &Sink);

  /// Discards all dispatches. The submission log stays, so that late
  /// retransmissions of known submissions do not run.
  void reset();

  uint32_t inProgress() const;

private:
  bool mayDispatch(const OwnedUpstream &Upstream) const;
  uint32_t limitOf(const OwnedUpstream &Upstream) const;
  void dispatch(OwnedUpstream &Upstream, WorkItem Item, ActionSink &Sink);
  void refuseQueued(OwnedUpstream &Upstream, const WorkItem &Item,
                    Duration RetryAfter, ActionSink &Sink);
  void answer(const OpenDispatch &Entry, OwnedUpstream *Upstream,
              DispatchResult &Result, ActionSink &Sink);
  void recordAnswer(OwnedUpstream &Upstream, const OpenDispatch &Entry,
                    const DispatchResult &Result);
  void onDue(DispatchId Id, ActionSink &Sink);
  void recordTimeout(OwnedUpstream &Upstream, const OpenDispatch &Entry,
                     ActionSink &Sink);
  void endDispatch(DispatchId Id, ActionSink &Sink);
  void updateCount();

  Blackboard &Board;
  PeerLink &Peers;
  OwnedUpstreams &Upstreams;
  SubmissionLog Log;
  DispatchTable Dispatches;
  ConnectionIdSource Ids;
  uint32_t TimedOutCount = 0;
};

} // namespace indigopoint
