#include "dispatcher.h"

#include <algorithm>
#include <utility>

#include "blackboard.h"
#include "peer_link.h"

namespace indigopoint {

namespace {

// How long a dispatch without an answer keeps its slot after its deadline. The
// upstream gives up at the same deadline; its Expired or Cancelled arrives
// within a round trip, and only then is the slot surely free.
constexpr Duration SettleTime = std::chrono::milliseconds(100);

// The upstream is told a deadline that is earlier by this much, so that its
// Expired (not run) arrives before the home is told Unknown.
constexpr Duration AnswerMargin = std::chrono::milliseconds(5);

// Service times vary: waiting work is given up for lost only if it could not
// start in time even at twice the measured rate.
constexpr int64_t WaitMargin = 2;

Duration upstreamDeadline(Duration Left) {
  return Left - std::min(AnswerMargin, Left / 10);
}

} // namespace

Dispatcher::Dispatcher(Blackboard &Board, PeerLink &Peers,
                       OwnedUpstreams &Owned)
    : Board(Board), Peers(Peers), Owned(Owned), Ids(Board.Settings.Boot) {}

bool Dispatcher::begin(const SubmissionKey &Key, ActionSink &Sink) {
  const SubmissionLog::Record *Known = Log.find(Key);
  if (Known == nullptr) {
    Log.begin(Key);
    return true;
  }
  if (Known->Finished)
    Peers.send(Key.Home.Instance, SubmissionLog::repeated(*Known), Sink);
  return false;
}

void Dispatcher::finish(const SubmissionKey &Key, SubmitResult Result,
                        ActionSink &Sink) {
  Result.Id = Key.Id;
  if (Log.finish(Key, Result, Board.now()))
    Peers.send(Key.Home.Instance, std::move(Result), Sink);
}

void Dispatcher::refuse(const SubmissionKey &Key, const OwnedUpstream &Given,
                        Duration RetryAfter, ActionSink &Sink) {
  SubmitResult Result;
  Result.Status = SubmitStatus::NotRun;
  Result.UpstreamDraining = Given.isDraining();
  Result.UpstreamEjected = Given.Health.state() == HealthState::Ejected;
  Result.RetryAfter = RetryAfter;
  finish(Key, std::move(Result), Sink);
}

uint32_t Dispatcher::limitOf(const OwnedUpstream &Given) const {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  return Ref.Upstream == nullptr ? 0 : dispatchLimit(Given, Ref);
}

// The configuration may have changed since the work was queued, and a paused
// instance may have been replaced as owner.
bool Dispatcher::mayDispatch(const OwnedUpstream &Given) const {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  return !Board.Self.Stale &&
         Board.CurrentOwnership.ownerOf(Given.Id) == Board.Self.Id &&
         Ref.Upstream != nullptr && Ref.Service->Id == Given.Service &&
         Ref.Upstream->Address == Given.Address &&
         Given.busy() < dispatchLimit(Given, Ref);
}

void Dispatcher::dispatchOrQueue(OwnedUpstream &Given, WorkItem Item,
                                 ActionSink &Sink) {
  const TimePoint Now = Board.now();
  const uint32_t Limit = limitOf(Given);
  Given.Metrics->QueueLength(static_cast<int>(Given.Queue.size()));
  if (Item.Deadline <= Now) {
    refuse(Item.Key, Given, {}, Sink);
    return;
  }
  if (Given.Queue.empty() && mayDispatch(Given)) {
    Given.Connections.open(Item.Body.Flow, Ids, Now);
    dispatch(Given, std::move(Item), Sink);
    return;
  }
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  if (Given.Queue.size() >= Ref.Service->QueueLimit) {
    refuse(Item.Key, Given, Given.Estimate.reserveRetry({}, Limit, Now), Sink);
    return;
  }
  const uint32_t Excess = Given.busy() > Limit ? Given.busy() - Limit : 0;
  const auto StartAt = [&](size_t Ahead) {
    return Now + Given.Estimate.waitFor(Excess + Ahead, Limit);
  };
  const auto SoonestAt = [&](size_t Ahead) {
    return Now + Given.Estimate.waitFor(Excess + Ahead, Limit) / WaitMargin;
  };
  const FlowKey Flow = Item.Body.Flow;
  const TimePoint End = StartAt(Given.Queue.placesBefore(Flow, Item.Deadline)) +
                        Given.Estimate.mean();
  // What waits has been promised its turn: a newcomer that would make it late
  // is refused now, rather than the other one after it has waited.
  if (End > Item.Deadline ||
      !Given.Queue.leavesTime(Flow, Item.Deadline, SoonestAt)) {
    const Duration Early = std::max(Duration(), End - Item.Deadline);
    refuse(Item.Key, Given, Given.Estimate.reserveRetry(Early, Limit, Now),
           Sink);
    return;
  }
  Given.Connections.open(Item.Body.Flow, Ids, Now);
  Log.find(Item.Key)->Upstream = Given.Id;
  Given.Queue.push(std::move(Item));
  dispatchQueued(Given, Sink);
}

void Dispatcher::dispatchQueued(OwnedUpstream &Given, ActionSink &Sink) {
  const TimePoint Now = Board.now();
  while (!Given.Queue.empty() && mayDispatch(Given)) {
    WorkItem Item = Given.Queue.pop();
    // An idle upstream gets the request whatever the estimate says: otherwise
    // an estimate that is too long would never be measured again.
    const bool TooLate =
        Given.busy() > 0 && Now + Given.Estimate.mean() > Item.Deadline;
    if (TooLate || Item.Deadline <= Now)
      refuseQueued(Given, Item,
                   Given.Estimate.reserveRetry({}, limitOf(Given), Now), Sink);
    else
      dispatch(Given, std::move(Item), Sink);
  }
}

void Dispatcher::dispatch(OwnedUpstream &Given, WorkItem Item,
                          ActionSink &Sink) {
  const TimePoint Now = Board.now();
  Submit &Body = Item.Body;
  Given.Metrics->SlotsBusy(static_cast<int>(Given.busy()));
  const ConnectionId On = Given.Connections.open(Body.Flow, Ids, Now).Id;
  Given.Connections.started(Body.Flow, Now);
  Given.Requests.record(Now);
  ++Given.InProgress;
  OpenDispatch Open;
  Open.Key = Item.Key;
  Open.Upstream = Given.Id;
  Open.Generation = Given.Generation;
  Open.Address = Given.Address;
  Open.Connection = On;
  Open.Flow = Body.Flow;
  Open.SentAt = Now;
  Open.DueAt = Item.Deadline;
  const DispatchId Id = Dispatches.add(Open);
  SubmissionLog::Record *Known = Log.find(Item.Key);
  Known->Upstream = Given.Id;
  Known->Dispatch = Id;
  Sink.send(Given.Address,
            Dispatch{On, Id, Body.Service, Body.Flow, Body.Request,
                     Body.Idempotent, upstreamDeadline(Item.Deadline - Now),
                     std::move(Body.Payload)});
  updateCount();
}

void Dispatcher::refuseQueued(OwnedUpstream &Given, const WorkItem &Item,
                              Duration RetryAfter, ActionSink &Sink) {
  refuse(Item.Key, Given, RetryAfter, Sink);
  // A new flow that never reached the upstream must not count as its flow.
  const ConnectionTable::Connection *Used =
      Given.Connections.find(Item.Body.Flow);
  if (Used != nullptr && Used->UsedAt == TimePoint())
    Given.Connections.release(Item.Body.Flow);
}

void Dispatcher::flushQueue(OwnedUpstream &Given, SubmitStatus Status,
                            ActionSink &Sink) {
  for (const WorkItem &Item : Given.Queue.takeAll()) {
    SubmitResult Result;
    Result.Status = Status;
    Result.UpstreamDraining = Given.isDraining();
    finish(Item.Key, std::move(Result), Sink);
  }
}

void Dispatcher::onResult(Endpoint From, DispatchResult Result,
                          ActionSink &Sink) {
  const OpenDispatch *Known = Dispatches.find(Result.Id);
  if (Known == nullptr) {
    ++Board.EngineMetrics.UnknownDispatchResults;
    return;
  }
  // The connection id also tells an answer to an earlier process at this
  // address from one to this process.
  if (Known->Address != From || Known->Connection != Result.Connection) {
    ++Board.EngineMetrics.ForeignDispatchResults;
    return;
  }
  OwnedUpstream *Given = Owned.find(Known->Upstream, Known->Generation);
  if (Given != nullptr)
    recordAnswer(*Given, *Known, Result);
  if (!Known->TimedOut)
    answer(*Known, Given, Result, Sink);
  endDispatch(Result.Id, Sink);
}

void Dispatcher::recordAnswer(OwnedUpstream &Given, const OpenDispatch &Known,
                              const DispatchResult &Result) {
  const TimePoint Now = Board.now();
  ConnectionTable::Connection *Used = Given.Connections.find(Known.Flow);
  if (Used != nullptr && Used->Id == Known.Connection) {
    Used->HeardAt = Now;
    Used->MissedPings = 0;
    Used->PingOpen = false;
  }
  if (Result.Status == DispatchStatus::Draining)
    Given.recordDraining(Now);
  // The other answers say nothing about the upstream's health: it sheds when
  // it is full, and cancels and lets requests expire when told to.
  if (Result.Status != DispatchStatus::Done)
    return;
  const Duration Taken = Now - Known.SentAt;
  Given.Estimate.record(Taken);
  Given.Health.recordSuccess(Now);
  Given.SucceededAt = Now;
  Given.SucceededOn = Known.Connection;
  Given.Metrics->UpstreamLatency(static_cast<double>(Taken.count()));
}

void Dispatcher::answer(const OpenDispatch &Known, OwnedUpstream *Given,
                        DispatchResult &Result, ActionSink &Sink) {
  SubmitResult Final;
  Final.Status = Result.Status == DispatchStatus::Done ? SubmitStatus::Answered
                                                       : SubmitStatus::NotRun;
  Final.UpstreamDraining = Result.Status == DispatchStatus::Draining ||
                           (Given != nullptr && Given->isDraining());
  if (Result.Status == DispatchStatus::Shed && Given != nullptr)
    Final.RetryAfter =
        Given->Estimate.reserveRetry({}, limitOf(*Given), Board.now());
  Final.Payload = std::move(Result.Payload);
  finish(Known.Key, std::move(Final), Sink);
}

void Dispatcher::cancel(const SubmissionKey &Key, ActionSink &Sink) {
  SubmissionLog::Record *Known = Log.find(Key);
  if (Known == nullptr) {
    // The Submit was lost or is late. The record keeps it from running.
    Log.begin(Key);
    SubmitResult Result;
    Result.Status = SubmitStatus::NotRun;
    finish(Key, std::move(Result), Sink);
    return;
  }
  if (Known->Finished) {
    Peers.send(Key.Home.Instance, SubmissionLog::repeated(*Known), Sink);
    return;
  }
  if (const OpenDispatch *Open = Dispatches.find(Known->Dispatch)) {
    Sink.send(Open->Address, CancelDispatch{Open->Connection, Known->Dispatch});
    return;
  }
  OwnedUpstream *Given = Owned.find(Known->Upstream);
  if (Given == nullptr)
    return;
  if (const std::optional<WorkItem> Item = Given->Queue.remove(Key))
    refuseQueued(*Given, *Item, {}, Sink);
}

void Dispatcher::onTick(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  while (const std::optional<DispatchId> Id = Dispatches.firstDue(Now))
    onDue(*Id, Sink);
  for (auto &[Id, Given] : Owned.Current) {
    for (const WorkItem &Item : Given.Queue.takeExpired(Now))
      refuseQueued(Given, Item,
                   Given.Estimate.reserveRetry({}, limitOf(Given), Now), Sink);
    dispatchQueued(Given, Sink);
  }
  Log.expire(Now);
}

void Dispatcher::onDue(DispatchId Id, ActionSink &Sink) {
  OpenDispatch *Known = Dispatches.find(Id);
  OwnedUpstream *Given = Owned.find(Known->Upstream, Known->Generation);
  if (Known->TimedOut) {
    if (Given != nullptr)
      noteSilence(*Given, *Known, Sink);
    endDispatch(Id, Sink);
    return;
  }
  SubmitResult Result;
  Result.Status = SubmitStatus::Unknown;
  Result.UpstreamDraining = Given != nullptr && Given->isDraining();
  finish(Known->Key, std::move(Result), Sink);
  Sink.send(Known->Address, CancelDispatch{Known->Connection, Id});
  Known->TimedOut = true;
  ++TimedOut;
  Dispatches.setDue(Id, Board.now() + SettleTime);
  updateCount();
}

// One silent connection among others that work is a fault of that connection.
void Dispatcher::noteSilence(OwnedUpstream &Given, const OpenDispatch &Known,
                             ActionSink &Sink) {
  const bool OthersWork =
      Given.SucceededAt > Known.SentAt && Given.SucceededOn != Known.Connection;
  if (!OthersWork)
    Given.Health.recordFailure(Board.now());
  const ConnectionTable::Connection *Used = Given.Connections.find(Known.Flow);
  // A connection that answered another request since then is not silent.
  if (Used != nullptr && Used->Id == Known.Connection &&
      Used->HeardAt <= Known.SentAt)
    replaceConnection(Given, Known.Flow, Sink);
}

void Dispatcher::replaceConnection(OwnedUpstream &Given, FlowKey Flow,
                                   ActionSink &Sink) {
  const ConnectionId Old = Given.Connections.replace(Flow, Ids, Board.now());
  ++Given.Metrics->ConnectionsReplaced;
  if (Old != ConnectionId())
    Sink.send(Given.Address, CloseConnection{Old});
}

void Dispatcher::releaseFlow(OwnedUpstream &Given, FlowKey Flow,
                             ActionSink &Sink) {
  const ConnectionId Old = Given.Connections.release(Flow);
  if (Old != ConnectionId())
    Sink.send(Given.Address, CloseConnection{Old});
}

void Dispatcher::endDispatch(DispatchId Id, ActionSink &Sink) {
  const OpenDispatch Known = *Dispatches.find(Id);
  if (Known.TimedOut)
    --TimedOut;
  Dispatches.erase(Id);
  updateCount();
  OwnedUpstream *Given = Owned.find(Known.Upstream, Known.Generation);
  if (Given == nullptr)
    return;
  --Given->InProgress;
  if (Given->Connections.ended(Known.Flow, Known.Connection))
    Sink.send(Given->Address, CloseConnection{Known.Connection});
  if (Owned.find(Known.Upstream) == Given)
    dispatchQueued(*Given, Sink);
}

void Dispatcher::reset() {
  Log.abandonAll(Board.now());
  Dispatches.clear();
  TimedOut = 0;
  updateCount();
}

uint32_t Dispatcher::inProgress() const {
  return static_cast<uint32_t>(Dispatches.size()) - TimedOut;
}

void Dispatcher::updateCount() { Board.DispatchesInProgress = inProgress(); }

} // namespace indigopoint
