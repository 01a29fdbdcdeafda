#include "request_lifecycle.h"

#include <algorithm>

#include "blackboard.h"
#include "peer_link.h"
#include "record_history.h"

namespace indigopoint {

namespace {

constexpr Duration FirstRetransmitDelay = std::chrono::milliseconds(50);

// How long to wait for an owner to become known, or for two instances to agree
// on the owner of an upstream.
constexpr Duration OwnerRetryDelay = std::chrono::milliseconds(20);

// How long to wait for results that an owner sent before it left.
constexpr Duration DepartedOwnerWait = std::chrono::milliseconds(100);

// Time for a result to travel from the owner to this instance: several times
// the network delay between zones.
constexpr Duration ResultMargin = std::chrono::milliseconds(20);

constexpr Duration MinRetryDelay = std::chrono::milliseconds(10);

// Retry delay sent to callers if no owner named one.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(100);

// Minimum interval between equal log lines for decisions that can occur with
// every packet.
constexpr Duration LogInterval = std::chrono::seconds(10);

// Limits the redirects of one request, together with its moves from draining
// upstreams that skip the retry budget. Without the limit, owners that redirect
// to each other could pass a request on forever.
constexpr uint32_t MaxMovesWithoutRetryBudget = 3;

} // namespace

RequestLifecycle::RequestLifecycle(Blackboard &GivenBoard, PeerLink &GivenPeers,
                                   RequestTable &GivenRequests,
                                   FlowPinning &GivenPinning,
                                   ServiceMetricsCache &GivenMetricsCache)
    : Board(GivenBoard), Peers(GivenPeers), Requests(GivenRequests),
      Pinning(GivenPinning), MetricsCache(GivenMetricsCache),
      // A restarted process must not accept results for submissions of the
      // previous process.
      NextSubmitId(rendezvousScore(Board.Self.OwnIncarnation.Boot.value(),
                                   Board.Self.Id.value())) {}

void RequestLifecycle::accept(Endpoint Caller, Request &&CallerRequest,
                              ActionSink &Sink) {
  const RequestKey Key{CallerRequest.Flow, CallerRequest.Service,
                       CallerRequest.Id};
  RequestRecord &Record = Requests.insert(Key, Board.now());
  Record.Caller = Caller;
  Record.Idempotent = CallerRequest.Idempotent;
  Record.MayHaveRun = !hasNeverRun(Board, bucketOf(CallerRequest.Flow),
                                   CallerRequest.Attempt, CallerRequest.Age);
  start(Record, std::move(CallerRequest), Sink);
}

void RequestLifecycle::rerun(RequestRecord &Record, Request &&CallerRequest,
                             ActionSink &Sink) {
  Record.Phase = RequestPhase::InProgress;
  Record.RunningInstance = InstanceId();
  Record.MayHaveRun = true;
  Record.ArrivedAt = Board.now();
  start(Record, std::move(CallerRequest), Sink);
}

void RequestLifecycle::start(RequestRecord &Record, Request &&CallerRequest,
                             ActionSink &Sink) {
  Record.ActiveSubmission = std::make_unique<Submission>();
  ++InProgress;
  Record.ActiveSubmission->Deadline =
      Board.now() + std::min(CallerRequest.Deadline, MaxRequestLifetime);
  const ServiceConfig *Service = serviceOf(Record);
  if (Service == nullptr)
    countUnknownService(Record.Key.Service, Sink);
  // An instance that was paused (Stale) runs nothing until its membership is
  // confirmed, because another instance may have taken over the flow.
  const bool CanRun =
      Service != nullptr && CallerRequest.Deadline > Duration() &&
      !Board.Self.Stale && (Record.Idempotent || !Record.MayHaveRun);
  OpenFlow *Flow =
      CanRun ? Pinning.prepareForRequest(Record.Key.Flow, *Service, Sink)
             : nullptr;
  if (Flow == nullptr) {
    finishUnanswered(Record, DefaultRetryAfter, Sink);
    return;
  }
  Retries.onRequest(Service->Id, Board.now());
  ++Flow->InProgress;
  Record.Payload = std::move(CallerRequest.Payload);
  submitTo(Record, Flow->Upstream, Duration(), Sink);
}

void RequestLifecycle::countUnknownService(ServiceId Service,
                                           ActionSink &Sink) {
  ++Board.EngineMetrics.UnknownServices;
  if (Board.now() < UnknownServiceLogAllowedAt)
    return;
  UnknownServiceLogAllowedAt = Board.now() + LogInterval;
  Sink.log(LogLevel::Warning, "flow",
           "request for service id " + std::to_string(Service.value()) +
               ", which configuration version " +
               std::to_string(Board.Config.Version.value()) +
               " does not have; " +
               std::to_string(Board.EngineMetrics.UnknownServices) +
               " such requests so far");
}

// Starts another submission under a new id, so that results of earlier
// submissions of the same request are not mistaken for its result.
void RequestLifecycle::submitTo(RequestRecord &Record, UpstreamId Upstream,
                                Duration Delay, ActionSink &Sink) {
  Submission &CurrentSubmission = *Record.ActiveSubmission;
  RecordsBySubmitId.erase(CurrentSubmission.Id);
  CurrentSubmission.Id = SubmitId(NextSubmitId++);
  RecordsBySubmitId[CurrentSubmission.Id] = &Record;
  CurrentSubmission.Upstream = Upstream;
  CurrentSubmission.Owner = InstanceId();
  CurrentSubmission.RetransmitDelay = FirstRetransmitDelay;
  if (Delay > Duration())
    schedule(Record, Board.now() + Delay);
  else
    transmit(Record, Sink);
}

void RequestLifecycle::transmit(RequestRecord &Record, ActionSink &Sink) {
  Submission &CurrentSubmission = *Record.ActiveSubmission;
  if (CurrentSubmission.Owner == InstanceId() && !isUpstreamUsable(Record)) {
    const UpstreamId NextUpstream = upstreamForRetry(Record, true, Sink);
    if (NextUpstream == UpstreamId()) {
      finishUnanswered(Record, DefaultRetryAfter, Sink);
      return;
    }
    CurrentSubmission.Upstream = NextUpstream;
  }
  const InstanceId Target =
      CurrentSubmission.Owner == InstanceId()
          ? Board.CurrentOwnership.ownerOf(CurrentSubmission.Upstream)
          : CurrentSubmission.Owner;
  if (Board.Self.Stale || Target == InstanceId() || Board.isGone(Target)) {
    schedule(Record, Board.now() + OwnerRetryDelay);
    return;
  }
  if (CurrentSubmission.Owner == InstanceId()) {
    // From here on the request may have run.
    CurrentSubmission.Owner = Target;
    CurrentSubmission.OwnerBoot = Board.bootOf(Target);
    CurrentSubmission.MayRedirect =
        !Pinning.isEstablished(Record.Key.Flow, Record.Key.Service);
  }
  Peers.send(Target,
             Submit{CurrentSubmission.Id, Record.Key.Service,
                    CurrentSubmission.Upstream, Record.Key.Flow, Record.Key.Id,
                    Record.Idempotent, CurrentSubmission.MayRedirect,
                    timeLeftForOwner(CurrentSubmission), Record.Payload},
             Sink);
  schedule(Record, Board.now() + CurrentSubmission.RetransmitDelay);
  CurrentSubmission.RetransmitDelay *= 2;
}

// The deadline of the owner for a queued request is slightly earlier than the
// deadline here, so that the owner's result, which says whether the request
// ran, arrives in time.
Duration
RequestLifecycle::timeLeftForOwner(const Submission &CurrentSubmission) const {
  const Duration TimeLeft = CurrentSubmission.Deadline - Board.now();
  return TimeLeft > 2 * ResultMargin ? TimeLeft - ResultMargin : TimeLeft;
}

// Checked again before sending, because the upstream may have been removed or
// its drain grace may have ended since it was chosen.
bool RequestLifecycle::isUpstreamUsable(const RequestRecord &Record) const {
  const UpstreamId Upstream = Record.ActiveSubmission->Upstream;
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream);
  return Ref.Upstream != nullptr && !Pinning.selector().isDrainGraceOver(
                                        Upstream, Ref.Service->DrainGrace);
}

void RequestLifecycle::schedule(RequestRecord &Record, TimePoint DueAt) {
  Record.ActiveSubmission->NextActionAt =
      std::min(DueAt, Record.ActiveSubmission->Deadline);
  WakeUps.push({Record.ActiveSubmission->NextActionAt, Record.Key});
}

void RequestLifecycle::onTick(ActionSink &Sink) {
  while (!WakeUps.empty() && WakeUps.top().DueAt <= Board.now()) {
    const WakeUp NextWakeUp = WakeUps.top();
    WakeUps.pop();
    RequestRecord *Record = Requests.find(NextWakeUp.Key);
    if (Record != nullptr && Record->ActiveSubmission != nullptr &&
        Record->ActiveSubmission->NextActionAt == NextWakeUp.DueAt)
      handleWakeUp(*Record, Sink);
  }
}

void RequestLifecycle::handleWakeUp(RequestRecord &Record, ActionSink &Sink) {
  const Submission &CurrentSubmission = *Record.ActiveSubmission;
  if (Board.now() >= CurrentSubmission.Deadline) {
    if (CurrentSubmission.Owner != InstanceId()) {
      Record.MayHaveRun = true;
      Peers.send(CurrentSubmission.Owner, CancelSubmit{CurrentSubmission.Id},
                 Sink);
    }
    finishUnanswered(Record, DefaultRetryAfter, Sink);
  } else if (CurrentSubmission.Owner != InstanceId() &&
             Board.isGone(CurrentSubmission.Owner)) {
    onMayHaveRun(Record, DefaultRetryAfter, Sink);
  } else {
    transmit(Record, Sink);
  }
}

void RequestLifecycle::onSubmitResult(const Sender &From, SubmitResult Result,
                                      ActionSink &Sink) {
  const auto It = RecordsBySubmitId.find(Result.Id);
  if (It == RecordsBySubmitId.end() ||
      From.Instance != It->second->ActiveSubmission->Owner) {
    ++Board.EngineMetrics.LateResults;
    return;
  }
  RequestRecord &Record = *It->second;
  const Submission &CurrentSubmission = *Record.ActiveSubmission;
  if (Result.UpstreamDraining)
    Pinning.selector().recordDraining(CurrentSubmission.Upstream, Sink);
  // A restarted owner does not know what its previous process dispatched, so
  // only an answer is reliable; a refusal does not prove that nothing ran.
  const bool OwnerRestarted = From.Boot != CurrentSubmission.OwnerBoot;
  if (Result.Status == SubmitStatus::Answered) {
    Pinning.markEstablished(Record.Key.Flow, Record.Key.Service,
                            CurrentSubmission.Upstream);
    finish(Record, Outcome::Answered, Duration(), std::move(Result.Payload),
           Sink);
  } else if (OwnerRestarted || Result.Status == SubmitStatus::Unknown) {
    onMayHaveRun(Record, Result.RetryAfter, Sink);
  } else if (Result.Status == SubmitStatus::NotRun) {
    onNotRun(Record, Result, Sink);
  } else if (Result.Status == SubmitStatus::Redirect) {
    onRedirect(Record, Result, Sink);
  } else {
    submitTo(Record, CurrentSubmission.Upstream, OwnerRetryDelay, Sink);
  }
}

void RequestLifecycle::onRedirect(RequestRecord &Record,
                                  const SubmitResult &Result,
                                  ActionSink &Sink) {
  Submission &CurrentSubmission = *Record.ActiveSubmission;
  const UpstreamId CurrentUpstream = CurrentSubmission.Upstream;
  if (!CurrentSubmission.MayRedirect) {
    onNotRun(Record, Result, Sink);
    return;
  }
  if (CurrentSubmission.MovesWithoutRetryBudget++ >=
      MaxMovesWithoutRetryBudget) {
    // The load figures that owners have of each other differ, for example while
    // many flows open at once. The last owner has to accept the flow.
    const UpstreamId LastUpstream =
        Pinning.redirect(Record.Key.Flow, Record.Key.Service, CurrentUpstream,
                         CurrentUpstream, Sink);
    // No further request of the flow may be redirected.
    Pinning.markEstablished(Record.Key.Flow, Record.Key.Service, LastUpstream);
    CurrentSubmission.MayRedirect = false;
    submitTo(Record, LastUpstream, Duration(), Sink);
    return;
  }
  const UpstreamId NewUpstream =
      Pinning.redirect(Record.Key.Flow, Record.Key.Service, CurrentUpstream,
                       Result.Redirect, Sink);
  if (NewUpstream == CurrentUpstream)
    onNotRun(Record, Result, Sink);
  else
    submitTo(Record, NewUpstream, Duration(), Sink);
}

void RequestLifecycle::onNotRun(RequestRecord &Record,
                                const SubmitResult &Result, ActionSink &Sink) {
  Submission &CurrentSubmission = *Record.ActiveSubmission;
  const UpstreamId RefusingUpstream = CurrentSubmission.Upstream;
  const bool IsDraining = Result.UpstreamDraining ||
                          Pinning.selector().isDraining(RefusingUpstream);
  const bool IsEstablished =
      Pinning.isEstablished(Record.Key.Flow, Record.Key.Service);
  // An owner that refuses requests because its upstream failed sends a load
  // report first.
  const bool HasFailed =
      Result.UpstreamEjected || Pinning.selector().isEjected(RefusingUpstream);
  const bool UseOtherUpstream = IsDraining || HasFailed || !IsEstablished;
  const Duration Delay = UseOtherUpstream
                             ? Duration()
                             : std::max(Result.RetryAfter, MinRetryDelay);
  const Duration RetryAfter =
      Result.RetryAfter > Duration() ? Result.RetryAfter : DefaultRetryAfter;
  // Draining is planned, so a request that a draining upstream refused must not
  // fail because the retry budget is used up.
  const bool SkipsRetryBudget =
      IsDraining && isTimeForRetry(Record, Delay) &&
      CurrentSubmission.MovesWithoutRetryBudget++ < MaxMovesWithoutRetryBudget;
  UpstreamId NextUpstream;
  if (SkipsRetryBudget || tryAcquireRetry(Record, Delay, Sink))
    NextUpstream = upstreamForRetry(Record, UseOtherUpstream, Sink);
  if (NextUpstream == UpstreamId())
    finishUnanswered(Record, RetryAfter, Sink);
  else
    submitTo(Record, NextUpstream, Delay, Sink);
}

void RequestLifecycle::onMayHaveRun(RequestRecord &Record, Duration RetryAfter,
                                    ActionSink &Sink) {
  Record.MayHaveRun = true;
  UpstreamId NextUpstream;
  const bool HasFailed =
      Pinning.selector().isEjected(Record.ActiveSubmission->Upstream) ||
      !isUpstreamUsable(Record);
  if (Record.Idempotent && tryAcquireRetry(Record, Duration(), Sink))
    NextUpstream = upstreamForRetry(Record, HasFailed, Sink);
  if (NextUpstream != UpstreamId()) {
    // The next owner may not be known yet if the previous owner was just lost.
    submitTo(Record, NextUpstream, MinRetryDelay, Sink);
    return;
  }
  if (Pinning.isEstablished(Record.Key.Flow, Record.Key.Service))
    ++MetricsCache.metricsOf(Record.Key.Service).FlowsBroken;
  finishUnanswered(Record, RetryAfter, Sink);
}

// A retry that cannot finish before the deadline would turn RefusedNotRun into
// Unknown.
bool RequestLifecycle::isTimeForRetry(const RequestRecord &Record,
                                      Duration Delay) const {
  return Board.now() + Delay + 2 * ResultMargin <
         Record.ActiveSubmission->Deadline;
}

bool RequestLifecycle::tryAcquireRetry(RequestRecord &Record, Duration Delay,
                                       ActionSink &Sink) {
  if (!isTimeForRetry(Record, Delay))
    return false;
  const ServiceConfig *Service = serviceOf(Record);
  if (!Retries.tryAcquire(Record.Key.Service,
                          Service == nullptr ? "?" : Service->Name, Board.now(),
                          Sink))
    return false;
  ++Record.ActiveSubmission->Retries;
  ++MetricsCache.metricsOf(Record.Key.Service).Retries;
  return true;
}

// Returns zero if no upstream is available for the retry.
UpstreamId RequestLifecycle::upstreamForRetry(RequestRecord &Record,
                                              bool UseOtherUpstream,
                                              ActionSink &Sink) {
  const ServiceConfig *Service = serviceOf(Record);
  if (Service == nullptr)
    return UpstreamId();
  const UpstreamId CurrentUpstream = Record.ActiveSubmission->Upstream;
  if (!UseOtherUpstream &&
      Board.Index.upstream(CurrentUpstream).Upstream != nullptr)
    return CurrentUpstream;
  // The request no longer runs on that upstream, so repin may release the
  // connection of the flow.
  Record.ActiveSubmission->Upstream = UpstreamId();
  const UpstreamId NextUpstream =
      Pinning.repin(Record.Key.Flow, *Service, CurrentUpstream, Sink);
  if (NextUpstream == UpstreamId())
    Record.ActiveSubmission->Upstream = CurrentUpstream;
  return NextUpstream;
}

void RequestLifecycle::onInstanceLost(InstanceId LostInstance,
                                      ActionSink &Sink) {
  const std::vector<RequestRecord *> AffectedRecords =
      recordsSubmittedTo(LostInstance);
  for (RequestRecord *Record : AffectedRecords)
    onMayHaveRun(*Record, DefaultRetryAfter, Sink);
  if (!AffectedRecords.empty())
    Sink.log(LogLevel::Warning, "flow",
             "an owner instance was lost with " +
                 std::to_string(AffectedRecords.size()) +
                 " submitted requests: idempotent requests are retried, others "
                 "get the outcome Unknown");
}

// Sorted by submission id, so that equal inputs give equal actions.
std::vector<RequestRecord *>
RequestLifecycle::recordsSubmittedTo(InstanceId Owner) {
  std::vector<RequestRecord *> Matches;
  for (const auto &[Id, Record] : RecordsBySubmitId)
    if (Record->ActiveSubmission->Owner == Owner)
      Matches.push_back(Record);
  std::sort(Matches.begin(), Matches.end(),
            [](const RequestRecord *A, const RequestRecord *B) {
              return A->ActiveSubmission->Id < B->ActiveSubmission->Id;
            });
  return Matches;
}

// An owner sends its results before it leaves. Waits a short time for results
// that are still in the network.
void RequestLifecycle::onPlacementChanged() {
  for (const auto &[Id, Record] : RecordsBySubmitId)
    if (Record->ActiveSubmission->Owner != InstanceId() &&
        Board.isGone(Record->ActiveSubmission->Owner))
      schedule(*Record, std::min(Record->ActiveSubmission->NextActionAt,
                                 Board.now() + DepartedOwnerWait));
}

void RequestLifecycle::cancel(RequestRecord &Record, ActionSink &Sink) {
  if (Record.Phase == RequestPhase::Finished) {
    sendReply(Record, Sink);
    return;
  }
  if (Record.ActiveSubmission == nullptr)
    return;
  if (Record.ActiveSubmission->Owner != InstanceId()) {
    Record.MayHaveRun = true;
    Peers.send(Record.ActiveSubmission->Owner,
               CancelSubmit{Record.ActiveSubmission->Id}, Sink);
  }
  finishUnanswered(Record, Duration(), Sink);
}

// The new record prevents a delayed copy of the request from running after the
// reply.
void RequestLifecycle::cancelUnrecordedRequest(Endpoint Caller,
                                               const Cancel &CancelMessage,
                                               ActionSink &Sink) {
  const RequestKey Key{CancelMessage.Flow, CancelMessage.Service,
                       CancelMessage.Id};
  RequestRecord &Record = Requests.insert(Key, Board.now());
  Record.Caller = Caller;
  Record.MayHaveRun =
      !hasNeverRun(Board, bucketOf(CancelMessage.Flow), 1, Duration());
  Record.ActiveSubmission = std::make_unique<Submission>();
  ++InProgress;
  finishUnanswered(Record, Duration(), Sink);
}

// While this instance is stale (paused, membership not confirmed since),
// another instance may have become the home instance of the flow and run the
// request.
void RequestLifecycle::finishUnanswered(RequestRecord &Record,
                                        Duration RetryAfter, ActionSink &Sink) {
  const bool HasNotRun = !Record.MayHaveRun && !Board.Self.Stale;
  finish(Record, HasNotRun ? Outcome::RefusedNotRun : Outcome::Unknown,
         RetryAfter, "", Sink);
}

void RequestLifecycle::finish(RequestRecord &Record, Outcome Result,
                              Duration RetryAfter, std::string Answer,
                              ActionSink &Sink) {
  const UpstreamId Upstream = Record.ActiveSubmission->Upstream;
  RecordsBySubmitId.erase(Record.ActiveSubmission->Id);
  --InProgress;
  Requests.finish(Record, Result, RetryAfter, std::move(Answer), Board.now());
  sendReply(Record, Sink);
  ServiceMetrics &Counters = MetricsCache.metricsOf(Record.Key.Service);
  ++Counters.Outcomes[static_cast<size_t>(Result)];
  Counters.RequestLatency(
      static_cast<double>((Board.now() - Record.ArrivedAt).count()));
  if (Upstream != UpstreamId())
    Pinning.onRequestEnded(Record.Key.Flow, Record.Key.Service, Upstream, Sink);
}

void RequestLifecycle::sendReply(const RequestRecord &Record,
                                 ActionSink &Sink) {
  const bool AnswerLost =
      Record.Result == Outcome::Answered && Record.AnswerEvicted;
  Sink.send(Record.Caller, Reply{Record.Key.Flow, Record.Key.Id,
                                 AnswerLost ? Outcome::Unknown : Record.Result,
                                 Record.RetryAfter, Record.Payload});
}

const ServiceConfig *
RequestLifecycle::serviceOf(const RequestRecord &Record) const {
  const auto It = Board.Config.Services.find(Record.Key.Service);
  return It == Board.Config.Services.end() ? nullptr : &It->second;
}

void RequestLifecycle::clear() {
  RecordsBySubmitId.clear();
  WakeUps = {};
  InProgress = 0;
}

} // namespace indigopoint
