#include "dispatcher.h"

#include <algorithm>
#include <utility>

#include "blackboard.h"
#include "peer_link.h"

namespace indigopoint {

namespace {

// How long an unanswered dispatch keeps its slot after its deadline. The
// upstream gives up at the same deadline. Its answer with status Expired or
// Cancelled arrives within a round trip, and only then is the slot known to be
// free.
constexpr Duration SlotReleaseDelay = std::chrono::milliseconds(100);

// The deadline sent to the upstream is earlier by this margin, so that its
// answer with status Expired (not run) arrives before the owner instance sends
// the result Unknown to the home instance.
constexpr Duration AnswerMargin = std::chrono::milliseconds(5);

// Service times vary: a new request is refused to protect queued requests only
// if a queued request could not start in time even at twice the measured
// service rate.
constexpr int64_t MaxServiceRateFactor = 2;

Duration upstreamDeadline(Duration TimeLeft) {
  return TimeLeft - std::min(AnswerMargin, TimeLeft / 10);
}

} // namespace

Dispatcher::Dispatcher(Blackboard &Board, PeerLink &Peers,
                       OwnedUpstreams &Upstreams)
    : Board(Board), Peers(Peers), Upstreams(Upstreams),
      Ids(Board.Settings.Boot) {}

bool Dispatcher::recordSubmission(const SubmissionKey &Key, ActionSink &Sink) {
  const SubmissionLog::Record *Record = Log.find(Key);
  if (Record == nullptr) {
    Log.addSubmission(Key);
    return true;
  }
  if (Record->Finished)
    Peers.send(Key.Home.Instance, SubmissionLog::storedResult(*Record), Sink);
  return false;
}

void Dispatcher::finish(const SubmissionKey &Key, SubmitResult Result,
                        ActionSink &Sink) {
  Result.Id = Key.Id;
  if (Log.finish(Key, Result, Board.now()))
    Peers.send(Key.Home.Instance, std::move(Result), Sink);
}

void Dispatcher::refuse(const SubmissionKey &Key, const OwnedUpstream &Upstream,
                        Duration RetryAfter, ActionSink &Sink) {
  SubmitResult Result;
  Result.Status = SubmitStatus::NotRun;
  Result.UpstreamDraining = Upstream.isDraining();
  Result.UpstreamEjected = Upstream.Health.state() == HealthState::Ejected;
  Result.RetryAfter = RetryAfter;
  finish(Key, std::move(Result), Sink);
}

uint32_t Dispatcher::limitOf(const OwnedUpstream &Upstream) const {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  return Ref.Upstream == nullptr ? 0 : dispatchLimit(Upstream, Ref);
}

// The configuration may have changed since the request was queued, and a paused
// instance may have been replaced as owner.
bool Dispatcher::mayDispatch(const OwnedUpstream &Upstream) const {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  return !Board.Self.Stale &&
         Board.CurrentOwnership.ownerOf(Upstream.Id) == Board.Self.Id &&
         Ref.Upstream != nullptr && Ref.Service->Id == Upstream.Service &&
         Ref.Upstream->Address == Upstream.Address &&
         Upstream.busy() < dispatchLimit(Upstream, Ref);
}

void Dispatcher::dispatchOrQueue(OwnedUpstream &Upstream, WorkItem Item,
                                 ActionSink &Sink) {
  const TimePoint Now = Board.now();
  const uint32_t Limit = limitOf(Upstream);
  Upstream.Metrics->QueueLength(static_cast<int>(Upstream.Queue.size()));
  if (Item.Deadline <= Now) {
    refuse(Item.Key, Upstream, {}, Sink);
    return;
  }
  if (Upstream.Queue.empty() && mayDispatch(Upstream)) {
    Upstream.Connections.open(Item.Body.Flow, Ids, Now);
    dispatch(Upstream, std::move(Item), Sink);
    return;
  }
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  if (Upstream.Queue.size() >= Ref.Service->QueueLimit) {
    refuse(Item.Key, Upstream, Upstream.Estimate.nextRetryDelay({}, Limit, Now),
           Sink);
    return;
  }
  const uint32_t Excess = Upstream.busy() > Limit ? Upstream.busy() - Limit : 0;
  const auto ExpectedStart = [&](size_t RequestsAhead) {
    return Now + Upstream.Estimate.waitFor(Excess + RequestsAhead, Limit);
  };
  const auto EarliestStart = [&](size_t RequestsAhead) {
    return Now + Upstream.Estimate.waitFor(Excess + RequestsAhead, Limit) /
                     MaxServiceRateFactor;
  };
  const FlowKey Flow = Item.Body.Flow;
  const TimePoint End =
      ExpectedStart(Upstream.Queue.requestsAhead(Flow, Item.Deadline)) +
      Upstream.Estimate.mean();
  // A new request that would make a queued one miss its deadline is refused
  // now; otherwise the queued request would be refused after its wait.
  if (End > Item.Deadline || !Upstream.Queue.queuedRequestsMeetDeadlines(
                                 Flow, Item.Deadline, EarliestStart)) {
    const Duration Lateness = std::max(Duration(), End - Item.Deadline);
    refuse(Item.Key, Upstream,
           Upstream.Estimate.nextRetryDelay(Lateness, Limit, Now), Sink);
    return;
  }
  Upstream.Connections.open(Item.Body.Flow, Ids, Now);
  Log.find(Item.Key)->Upstream = Upstream.Id;
  Upstream.Queue.push(std::move(Item));
  dispatchQueued(Upstream, Sink);
}

void Dispatcher::dispatchQueued(OwnedUpstream &Upstream, ActionSink &Sink) {
  const TimePoint Now = Board.now();
  while (!Upstream.Queue.empty() && mayDispatch(Upstream)) {
    WorkItem Item = Upstream.Queue.pop();
    // An idle upstream gets the request regardless of the estimate: otherwise
    // an estimate that is too long would never be corrected by a new
    // measurement.
    const bool TooLate =
        Upstream.busy() > 0 && Now + Upstream.Estimate.mean() > Item.Deadline;
    if (TooLate || Item.Deadline <= Now)
      refuseQueued(Upstream, Item,
                   Upstream.Estimate.nextRetryDelay({}, limitOf(Upstream), Now),
                   Sink);
    else
      dispatch(Upstream, std::move(Item), Sink);
  }
}

void Dispatcher::dispatch(OwnedUpstream &Upstream, WorkItem Item,
                          ActionSink &Sink) {
  const TimePoint Now = Board.now();
  Submit &Body = Item.Body;
  Upstream.Metrics->SlotsBusy(static_cast<int>(Upstream.busy()));
  const ConnectionId Connection =
      Upstream.Connections.open(Body.Flow, Ids, Now).Id;
  Upstream.Connections.onDispatchStart(Body.Flow, Now);
  Upstream.RequestRate.record(Now);
  ++Upstream.InProgress;
  OpenDispatch Entry;
  Entry.Key = Item.Key;
  Entry.Upstream = Upstream.Id;
  Entry.Generation = Upstream.Generation;
  Entry.Address = Upstream.Address;
  Entry.Connection = Connection;
  Entry.Flow = Body.Flow;
  Entry.SentAt = Now;
  Entry.DueAt = Item.Deadline;
  const DispatchId Id = Dispatches.add(Entry);
  SubmissionLog::Record *Record = Log.find(Item.Key);
  Record->Upstream = Upstream.Id;
  Record->Dispatch = Id;
  Sink.send(Upstream.Address,
            Dispatch{Connection, Id, Body.Service, Body.Flow, Body.Request,
                     Body.Idempotent, upstreamDeadline(Item.Deadline - Now),
                     std::move(Body.Payload)});
  updateCount();
}

void Dispatcher::refuseQueued(OwnedUpstream &Upstream, const WorkItem &Item,
                              Duration RetryAfter, ActionSink &Sink) {
  refuse(Item.Key, Upstream, RetryAfter, Sink);
  // A new flow that never reached the upstream must not count as one of its
  // flows.
  const ConnectionTable::Connection *Connection =
      Upstream.Connections.find(Item.Body.Flow);
  if (Connection != nullptr && Connection->LastUsedAt == TimePoint())
    Upstream.Connections.release(Item.Body.Flow);
}

void Dispatcher::flushQueue(OwnedUpstream &Upstream, SubmitStatus Status,
                            ActionSink &Sink) {
  for (const WorkItem &Item : Upstream.Queue.popAll()) {
    SubmitResult Result;
    Result.Status = Status;
    Result.UpstreamDraining = Upstream.isDraining();
    finish(Item.Key, std::move(Result), Sink);
  }
}

void Dispatcher::onResult(Endpoint From, DispatchResult Result,
                          ActionSink &Sink) {
  const OpenDispatch *Entry = Dispatches.find(Result.Id);
  if (Entry == nullptr) {
    ++Board.EngineMetrics.UnknownDispatchResults;
    return;
  }
  // The connection id also distinguishes answers to this process from answers
  // to an earlier process at this address.
  if (Entry->Address != From || Entry->Connection != Result.Connection) {
    ++Board.EngineMetrics.ForeignDispatchResults;
    return;
  }
  OwnedUpstream *Upstream = Upstreams.find(Entry->Upstream, Entry->Generation);
  if (Upstream != nullptr)
    recordAnswer(*Upstream, *Entry, Result);
  if (!Entry->TimedOut)
    answer(*Entry, Upstream, Result, Sink);
  endDispatch(Result.Id, Sink);
}

void Dispatcher::recordAnswer(OwnedUpstream &Upstream,
                              const OpenDispatch &Entry,
                              const DispatchResult &Result) {
  const TimePoint Now = Board.now();
  ConnectionTable::Connection *Connection =
      Upstream.Connections.find(Entry.Flow);
  if (Connection != nullptr && Connection->Id == Entry.Connection) {
    Connection->LastAnswerAt = Now;
    Connection->MissedPings = 0;
    Connection->PingPending = false;
  }
  if (Result.Status == DispatchStatus::Draining)
    Upstream.recordDraining(Now);
  // The other answers are no evidence of the upstream's health: it sheds when
  // it is full, cancels on request, and lets requests expire at the deadline it
  // was given.
  if (Result.Status != DispatchStatus::Done)
    return;
  const Duration ServiceTime = Now - Entry.SentAt;
  Upstream.Estimate.record(ServiceTime);
  Upstream.Health.recordSuccess(Now);
  Upstream.LastSuccessAt = Now;
  Upstream.LastSuccessConnection = Entry.Connection;
  Upstream.Metrics->UpstreamLatency(static_cast<double>(ServiceTime.count()));
}

void Dispatcher::answer(const OpenDispatch &Entry, OwnedUpstream *Upstream,
                        DispatchResult &Result, ActionSink &Sink) {
  SubmitResult Reply;
  Reply.Status = Result.Status == DispatchStatus::Done ? SubmitStatus::Answered
                                                       : SubmitStatus::NotRun;
  Reply.UpstreamDraining = Result.Status == DispatchStatus::Draining ||
                           (Upstream != nullptr && Upstream->isDraining());
  if (Result.Status == DispatchStatus::Shed && Upstream != nullptr)
    Reply.RetryAfter =
        Upstream->Estimate.nextRetryDelay({}, limitOf(*Upstream), Board.now());
  Reply.Payload = std::move(Result.Payload);
  finish(Entry.Key, std::move(Reply), Sink);
}

void Dispatcher::cancel(const SubmissionKey &Key, ActionSink &Sink) {
  SubmissionLog::Record *Record = Log.find(Key);
  if (Record == nullptr) {
    // The Submit was lost or is delayed. The record prevents it from running.
    Log.addSubmission(Key);
    SubmitResult Result;
    Result.Status = SubmitStatus::NotRun;
    finish(Key, std::move(Result), Sink);
    return;
  }
  if (Record->Finished) {
    Peers.send(Key.Home.Instance, SubmissionLog::storedResult(*Record), Sink);
    return;
  }
  if (const OpenDispatch *Entry = Dispatches.find(Record->Dispatch)) {
    Sink.send(Entry->Address,
              CancelDispatch{Entry->Connection, Record->Dispatch});
    return;
  }
  OwnedUpstream *Upstream = Upstreams.find(Record->Upstream);
  if (Upstream == nullptr)
    return;
  if (const std::optional<WorkItem> Item = Upstream->Queue.remove(Key))
    refuseQueued(*Upstream, *Item, {}, Sink);
}

void Dispatcher::onTick(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  while (const std::optional<DispatchId> Id = Dispatches.firstDue(Now))
    onDue(*Id, Sink);
  for (auto &[Id, Upstream] : Upstreams.Current) {
    for (const WorkItem &Item : Upstream.Queue.popExpired(Now))
      refuseQueued(Upstream, Item,
                   Upstream.Estimate.nextRetryDelay({}, limitOf(Upstream), Now),
                   Sink);
    dispatchQueued(Upstream, Sink);
  }
  Log.expire(Now);
}

void Dispatcher::onDue(DispatchId Id, ActionSink &Sink) {
  OpenDispatch *Entry = Dispatches.find(Id);
  OwnedUpstream *Upstream = Upstreams.find(Entry->Upstream, Entry->Generation);
  if (Entry->TimedOut) {
    if (Upstream != nullptr)
      recordTimeout(*Upstream, *Entry, Sink);
    endDispatch(Id, Sink);
    return;
  }
  SubmitResult Result;
  Result.Status = SubmitStatus::Unknown;
  Result.UpstreamDraining = Upstream != nullptr && Upstream->isDraining();
  finish(Entry->Key, std::move(Result), Sink);
  Sink.send(Entry->Address, CancelDispatch{Entry->Connection, Id});
  Entry->TimedOut = true;
  ++TimedOutCount;
  Dispatches.setDue(Id, Board.now() + SlotReleaseDelay);
  updateCount();
}

// A timeout on one connection while another connection gets answers is a fault
// of that connection and does not count against the upstream's health.
void Dispatcher::recordTimeout(OwnedUpstream &Upstream,
                               const OpenDispatch &Entry, ActionSink &Sink) {
  const bool OtherConnectionWorks =
      Upstream.LastSuccessAt > Entry.SentAt &&
      Upstream.LastSuccessConnection != Entry.Connection;
  if (!OtherConnectionWorks)
    Upstream.Health.recordFailure(Board.now());
  const ConnectionTable::Connection *Connection =
      Upstream.Connections.find(Entry.Flow);
  // A connection that has answered another request since then is responsive.
  if (Connection != nullptr && Connection->Id == Entry.Connection &&
      Connection->LastAnswerAt <= Entry.SentAt)
    replaceConnection(Upstream, Entry.Flow, Sink);
}

void Dispatcher::replaceConnection(OwnedUpstream &Upstream, FlowKey Flow,
                                   ActionSink &Sink) {
  const ConnectionId OldConnection =
      Upstream.Connections.replace(Flow, Ids, Board.now());
  ++Upstream.Metrics->ConnectionsReplaced;
  if (OldConnection != ConnectionId())
    Sink.send(Upstream.Address, CloseConnection{OldConnection});
}

void Dispatcher::releaseFlow(OwnedUpstream &Upstream, FlowKey Flow,
                             ActionSink &Sink) {
  const ConnectionId OldConnection = Upstream.Connections.release(Flow);
  if (OldConnection != ConnectionId())
    Sink.send(Upstream.Address, CloseConnection{OldConnection});
}

void Dispatcher::endDispatch(DispatchId Id, ActionSink &Sink) {
  const OpenDispatch Entry = *Dispatches.find(Id);
  if (Entry.TimedOut)
    --TimedOutCount;
  Dispatches.erase(Id);
  updateCount();
  OwnedUpstream *Upstream = Upstreams.find(Entry.Upstream, Entry.Generation);
  if (Upstream == nullptr)
    return;
  --Upstream->InProgress;
  if (Upstream->Connections.onDispatchEnd(Entry.Flow, Entry.Connection))
    Sink.send(Upstream->Address, CloseConnection{Entry.Connection});
  if (Upstreams.find(Entry.Upstream) == Upstream)
    dispatchQueued(*Upstream, Sink);
}

void Dispatcher::reset() {
  Log.abandonAll(Board.now());
  Dispatches.clear();
  TimedOutCount = 0;
  updateCount();
}

uint32_t Dispatcher::inProgress() const {
  return static_cast<uint32_t>(Dispatches.size()) - TimedOutCount;
}

void Dispatcher::updateCount() { Board.DispatchesInProgress = inProgress(); }

} // namespace indigopoint
