#include "request_lifecycle.h"

#include <algorithm>

#include "blackboard.h"
#include "peer_link.h"

namespace indigopoint {

namespace {

constexpr Duration FirstRepeat = std::chrono::milliseconds(50);

// How long to wait for an owner to become known, or for two instances to agree
// on the owner of an upstream.
constexpr Duration OwnerRetryDelay = std::chrono::milliseconds(20);

constexpr Duration LastResultDelay = std::chrono::milliseconds(100);

// Several times the delay between zones.
constexpr Duration ResultMargin = std::chrono::milliseconds(20);

constexpr Duration MinRetryDelay = std::chrono::milliseconds(10);

// Told to callers if no owner named a better time.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(100);

// Decisions that every packet may repeat are logged once in this time.
constexpr Duration LogInterval = std::chrono::seconds(10);

// Owners that redirect to each other must not pass a request on forever.
constexpr uint32_t MaxMoves = 3;

// Whether a member that was declared dead may be alive on the other side of a
// partition: the platform still lists it, and no new process has replaced it.
bool mayServeElsewhere(const MemberTable &Members) {
  return std::any_of(
      Members.ById.begin(), Members.ById.end(), [](const auto &Entry) {
        return Entry.second.State == MemberState::Dead && Entry.second.Listed;
      });
}

} // namespace

RequestLifecycle::RequestLifecycle(Blackboard &GivenBoard, PeerLink &GivenPeers,
                                   RequestTable &GivenRequests,
                                   FlowPinning &GivenPins,
                                   ServiceMetricsCache &GivenMetricsCache)
    : Board(GivenBoard), Peers(GivenPeers), Requests(GivenRequests),
      Pins(GivenPins), MetricsCache(GivenMetricsCache),
      // A restarted process must not take a result that was meant for its
      // predecessor.
      NextSubmit(rendezvousScore(Board.Self.OwnIncarnation.Boot.value(),
                                 Board.Self.Id.value())) {}

// The rule of the design page for a request without a record: whether its
// absence here proves that no copy of it has run.
bool RequestLifecycle::hasNeverRun(uint32_t Bucket, uint32_t Attempt,
                                   Duration Age) const {
  const auto Complete =
      Board.now() - Board.CurrentOwnership.completeSince(Bucket);
  if (Attempt == 0)
    return Complete >= MaxPacketLifetime;
  // Beyond a partition another home may serve the bucket too, and an earlier
  // copy may have reached it.
  if (mayServeElsewhere(Board.Members))
    return false;
  // The record of an earlier copy may have expired since.
  if (Age >= MaxRequestLifetime)
    return false;
  const Duration Sent = Age > Duration() ? Age : MaxRequestLifetime;
  return Complete >= Sent + MaxPacketLifetime;
}

void RequestLifecycle::accept(Endpoint Caller, Request &&Work,
                              ActionSink &Sink) {
  const RequestKey Key{Work.Flow, Work.Service, Work.Id};
  RequestRecord &Record = Requests.insert(Key, Board.now());
  Record.Caller = Caller;
  Record.Idempotent = Work.Idempotent;
  Record.MayHaveRun = !hasNeverRun(bucketOf(Work.Flow), Work.Attempt, Work.Age);
  start(Record, std::move(Work), Sink);
}

void RequestLifecycle::rerun(RequestRecord &Record, Request &&Work,
                             ActionSink &Sink) {
  Record.Phase = RequestPhase::InProgress;
  Record.Holder = InstanceId();
  Record.MayHaveRun = true;
  Record.Arrived = Board.now();
  start(Record, std::move(Work), Sink);
}

void RequestLifecycle::start(RequestRecord &Record, Request &&Work,
                             ActionSink &Sink) {
  Record.ActiveSubmission = std::make_unique<Submission>();
  ++InProgress;
  Record.ActiveSubmission->Deadline =
      Board.now() + std::min(Work.Deadline, MaxRequestLifetime);
  const ServiceConfig *Service = serviceOf(Record);
  if (Service == nullptr)
    noteUnknownService(Record.Key.Service, Sink);
  const bool Runnable = Service != nullptr && Work.Deadline > Duration() &&
                        !Board.Self.Stale &&
                        (Record.Idempotent || !Record.MayHaveRun);
  OpenFlow *Flow =
      Runnable ? Pins.prepare(Record.Key.Flow, *Service, Sink) : nullptr;
  if (Flow == nullptr) {
    finishUnanswered(Record, DefaultRetryAfter, Sink);
    return;
  }
  Retries[Service->Id].Budget.onRequest(Board.now());
  ++Flow->InProgress;
  Record.Payload = std::move(Work.Payload);
  submitTo(Record, Flow->Upstream, Duration(), Sink);
}

void RequestLifecycle::noteUnknownService(ServiceId Service, ActionSink &Sink) {
  ++Board.EngineMetrics.UnknownServices;
  if (Board.now() < NextUnknownLog)
    return;
  NextUnknownLog = Board.now() + LogInterval;
  Sink.log(LogLevel::Warning, "flow",
           "request for service id " + std::to_string(Service.value()) +
               ", which configuration version " +
               std::to_string(Board.Config.Version.value()) +
               " does not have; " +
               std::to_string(Board.EngineMetrics.UnknownServices) +
               " such requests so far");
}

// Starts another submission under a new id, so that results of earlier ones
// cannot be taken for its own.
void RequestLifecycle::submitTo(RequestRecord &Record, UpstreamId Upstream,
                                Duration Delay, ActionSink &Sink) {
  Submission &Work = *Record.ActiveSubmission;
  BySubmit.erase(Work.Id);
  Work.Id = SubmitId(NextSubmit++);
  BySubmit[Work.Id] = &Record;
  Work.Upstream = Upstream;
  Work.Owner = InstanceId();
  Work.RepeatAfter = FirstRepeat;
  if (Delay > Duration())
    schedule(Record, Board.now() + Delay);
  else
    transmit(Record, Sink);
}

void RequestLifecycle::transmit(RequestRecord &Record, ActionSink &Sink) {
  Submission &Work = *Record.ActiveSubmission;
  if (Work.Owner == InstanceId() && !isUsable(Record)) {
    const UpstreamId Next = upstreamForRetry(Record, true, Sink);
    if (Next == UpstreamId()) {
      finishUnanswered(Record, DefaultRetryAfter, Sink);
      return;
    }
    Work.Upstream = Next;
  }
  const InstanceId Target = Work.Owner == InstanceId()
                                ? Board.CurrentOwnership.ownerOf(Work.Upstream)
                                : Work.Owner;
  if (Board.Self.Stale || Target == InstanceId() || isGone(Target)) {
    schedule(Record, Board.now() + OwnerRetryDelay);
    return;
  }
  if (Work.Owner == InstanceId()) {
    // From here on the request counts as possibly run.
    Work.Owner = Target;
    Work.OwnerBoot = bootOf(Target);
    Work.MayRedirect = !Pins.isEstablished(Record.Key.Flow, Record.Key.Service);
  }
  Peers.send(Target,
             Submit{Work.Id, Record.Key.Service, Work.Upstream, Record.Key.Flow,
                    Record.Key.Id, Record.Idempotent, Work.MayRedirect,
                    timeForOwner(Work), Record.Payload},
             Sink);
  schedule(Record, Board.now() + Work.RepeatAfter);
  Work.RepeatAfter *= 2;
}

// The owner gives a queued request up a little earlier than this home does, so
// that its word on whether the request ran still counts.
Duration RequestLifecycle::timeForOwner(const Submission &Work) const {
  const Duration Left = Work.Deadline - Board.now();
  return Left > 2 * ResultMargin ? Left - ResultMargin : Left;
}

// Time may have passed since the upstream was chosen.
bool RequestLifecycle::isUsable(const RequestRecord &Record) const {
  const UpstreamId Upstream = Record.ActiveSubmission->Upstream;
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream);
  return Ref.Upstream != nullptr &&
         !Pins.selector().isGraceOver(Upstream, Ref.Service->DrainGrace);
}

void RequestLifecycle::schedule(RequestRecord &Record, TimePoint At) {
  Record.ActiveSubmission->NextActionAt =
      std::min(At, Record.ActiveSubmission->Deadline);
  WakeUps.push({Record.ActiveSubmission->NextActionAt, Record.Key});
}

void RequestLifecycle::onTick(ActionSink &Sink) {
  while (!WakeUps.empty() && WakeUps.top().At <= Board.now()) {
    const WakeUp Next = WakeUps.top();
    WakeUps.pop();
    RequestRecord *Record = Requests.find(Next.Key);
    if (Record != nullptr && Record->ActiveSubmission != nullptr &&
        Record->ActiveSubmission->NextActionAt == Next.At)
      wake(*Record, Sink);
  }
}

void RequestLifecycle::wake(RequestRecord &Record, ActionSink &Sink) {
  const Submission &Work = *Record.ActiveSubmission;
  if (Board.now() >= Work.Deadline) {
    if (Work.Owner != InstanceId()) {
      Record.MayHaveRun = true;
      Peers.send(Work.Owner, CancelSubmit{Work.Id}, Sink);
    }
    finishUnanswered(Record, DefaultRetryAfter, Sink);
  } else if (Work.Owner != InstanceId() && isGone(Work.Owner)) {
    onUncertain(Record, DefaultRetryAfter, Sink);
  } else {
    transmit(Record, Sink);
  }
}

void RequestLifecycle::onSubmitResult(const Sender &From, SubmitResult Result,
                                      ActionSink &Sink) {
  const auto It = BySubmit.find(Result.Id);
  if (It == BySubmit.end() ||
      From.Instance != It->second->ActiveSubmission->Owner) {
    ++Board.EngineMetrics.LateResults;
    return;
  }
  RequestRecord &Record = *It->second;
  const Submission &Work = *Record.ActiveSubmission;
  if (Result.UpstreamDraining)
    Pins.selector().recordDraining(Work.Upstream, Sink);
  // A restarted owner knows nothing of what its predecessor dispatched, so
  // only an answer of it can be believed.
  const bool Restarted = From.Boot != Work.OwnerBoot;
  if (Result.Status == SubmitStatus::Answered) {
    Pins.confirm(Record.Key.Flow, Record.Key.Service, Work.Upstream);
    finish(Record, Outcome::Answered, Duration(), std::move(Result.Payload),
           Sink);
  } else if (Restarted || Result.Status == SubmitStatus::Unknown) {
    onUncertain(Record, Result.RetryAfter, Sink);
  } else if (Result.Status == SubmitStatus::NotRun) {
    onNotRun(Record, Result, Sink);
  } else if (Result.Status == SubmitStatus::Redirect) {
    onRedirect(Record, Result, Sink);
  } else {
    submitTo(Record, Work.Upstream, OwnerRetryDelay, Sink);
  }
}

void RequestLifecycle::onRedirect(RequestRecord &Record,
                                  const SubmitResult &Result,
                                  ActionSink &Sink) {
  Submission &Work = *Record.ActiveSubmission;
  const UpstreamId From = Work.Upstream;
  if (!Work.MayRedirect) {
    onNotRun(Record, Result, Sink);
    return;
  }
  if (Work.Moves++ >= MaxMoves) {
    // The owners' views of each other's load differ, for example while many
    // flows open at once. The last one has to take the flow.
    const UpstreamId Last =
        Pins.redirect(Record.Key.Flow, Record.Key.Service, From, From, Sink);
    // Other requests of the flow must not be redirected any more either.
    Pins.confirm(Record.Key.Flow, Record.Key.Service, Last);
    Work.MayRedirect = false;
    submitTo(Record, Last, Duration(), Sink);
    return;
  }
  const UpstreamId To = Pins.redirect(Record.Key.Flow, Record.Key.Service, From,
                                      Result.Redirect, Sink);
  if (To == From)
    onNotRun(Record, Result, Sink);
  else
    submitTo(Record, To, Duration(), Sink);
}

void RequestLifecycle::onNotRun(RequestRecord &Record,
                                const SubmitResult &Result, ActionSink &Sink) {
  Submission &Work = *Record.ActiveSubmission;
  const UpstreamId Refused = Work.Upstream;
  const bool Leaving =
      Result.UpstreamDraining || Pins.selector().isDraining(Refused);
  const bool Established =
      Pins.isEstablished(Record.Key.Flow, Record.Key.Service);
  // An owner that refuses for a failed upstream sends a load report first.
  const bool Failed =
      Result.UpstreamEjected || Pins.selector().isEjected(Refused);
  const bool Elsewhere = Leaving || Failed || !Established;
  const Duration Delay =
      Elsewhere ? Duration() : std::max(Result.RetryAfter, MinRetryDelay);
  const Duration RetryAfter =
      Result.RetryAfter > Duration() ? Result.RetryAfter : DefaultRetryAfter;
  // Leaving is planned: a request that it refused must not end for lack of
  // budget.
  const bool Free =
      Leaving && isTimeForRetry(Record, Delay) && Work.Moves++ < MaxMoves;
  UpstreamId Next;
  if (Free || takeRetry(Record, Delay, Sink))
    Next = upstreamForRetry(Record, Elsewhere, Sink);
  if (Next == UpstreamId())
    finishUnanswered(Record, RetryAfter, Sink);
  else
    submitTo(Record, Next, Delay, Sink);
}

void RequestLifecycle::onUncertain(RequestRecord &Record, Duration RetryAfter,
                                   ActionSink &Sink) {
  Record.MayHaveRun = true;
  UpstreamId Next;
  const bool Failed =
      Pins.selector().isEjected(Record.ActiveSubmission->Upstream) ||
      !isUsable(Record);
  if (Record.Idempotent && takeRetry(Record, Duration(), Sink))
    Next = upstreamForRetry(Record, Failed, Sink);
  if (Next != UpstreamId()) {
    // The next owner may not be known yet if the last one was just lost.
    submitTo(Record, Next, MinRetryDelay, Sink);
    return;
  }
  if (Pins.isEstablished(Record.Key.Flow, Record.Key.Service))
    ++MetricsCache.metricsOf(Record.Key.Service).FlowsBroken;
  finishUnanswered(Record, RetryAfter, Sink);
}

// A retry that cannot end in time would turn a certain refusal into Unknown.
bool RequestLifecycle::isTimeForRetry(const RequestRecord &Record,
                                      Duration Delay) const {
  return Board.now() + Delay + 2 * ResultMargin <
         Record.ActiveSubmission->Deadline;
}

bool RequestLifecycle::takeRetry(RequestRecord &Record, Duration Delay,
                                 ActionSink &Sink) {
  const TimePoint Now = Board.now();
  if (!isTimeForRetry(Record, Delay))
    return false;
  Retrying &Service = Retries[Record.Key.Service];
  if (!Service.Budget.tryAcquire(Now)) {
    noteBudgetUsedUp(Service, Record, Sink);
    return false;
  }
  ++Record.ActiveSubmission->Retries;
  ++MetricsCache.metricsOf(Record.Key.Service).Retries;
  return true;
}

void RequestLifecycle::noteBudgetUsedUp(Retrying &Service,
                                        const RequestRecord &Record,
                                        ActionSink &Sink) {
  if (Board.now() < Service.NextLog)
    return;
  Service.NextLog = Board.now() + LogInterval;
  const ServiceConfig *Config = serviceOf(Record);
  Sink.log(LogLevel::Warning, "flow",
           "retry budget of service " +
               (Config == nullptr ? std::string("?") : Config->Name) +
               " is used up: requests end without a retry");
}

// Zero if the request cannot go on.
UpstreamId RequestLifecycle::upstreamForRetry(RequestRecord &Record,
                                              bool Elsewhere,
                                              ActionSink &Sink) {
  const ServiceConfig *Service = serviceOf(Record);
  if (Service == nullptr)
    return UpstreamId();
  const UpstreamId From = Record.ActiveSubmission->Upstream;
  if (!Elsewhere && Board.Index.upstream(From).Upstream != nullptr)
    return From;
  // The request does not run there any more, so its connection may close.
  Record.ActiveSubmission->Upstream = UpstreamId();
  const UpstreamId Next = Pins.repin(Record.Key.Flow, *Service, From, Sink);
  if (Next == UpstreamId())
    Record.ActiveSubmission->Upstream = From;
  return Next;
}

void RequestLifecycle::onInstanceLost(InstanceId Lost, ActionSink &Sink) {
  const std::vector<RequestRecord *> Affected = submitted(Lost);
  for (RequestRecord *Record : Affected)
    onUncertain(*Record, DefaultRetryAfter, Sink);
  if (!Affected.empty())
    Sink.log(LogLevel::Warning, "flow",
             "an owner was lost with " + std::to_string(Affected.size()) +
                 " submitted requests: idempotent ones are retried, others "
                 "end unknown");
}

// Sorted, so that equal events give equal actions.
std::vector<RequestRecord *> RequestLifecycle::submitted(InstanceId Owner) {
  std::vector<RequestRecord *> Found;
  for (const auto &[Id, Record] : BySubmit)
    if (Record->ActiveSubmission->Owner == Owner)
      Found.push_back(Record);
  std::sort(Found.begin(), Found.end(),
            [](const RequestRecord *A, const RequestRecord *B) {
              return A->ActiveSubmission->Id < B->ActiveSubmission->Id;
            });
  return Found;
}

// An owner that left has sent its results before; the last ones may still be
// under way.
void RequestLifecycle::onPlacementChanged() {
  for (const auto &[Id, Record] : BySubmit)
    if (Record->ActiveSubmission->Owner != InstanceId() &&
        isGone(Record->ActiveSubmission->Owner))
      schedule(*Record, std::min(Record->ActiveSubmission->NextActionAt,
                                 Board.now() + LastResultDelay));
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

// The record keeps a late copy of the request from running after the reply.
void RequestLifecycle::cancelUnknown(Endpoint Caller, const Cancel &Given,
                                     ActionSink &Sink) {
  const RequestKey Key{Given.Flow, Given.Service, Given.Id};
  RequestRecord &Record = Requests.insert(Key, Board.now());
  Record.Caller = Caller;
  Record.MayHaveRun = !hasNeverRun(bucketOf(Given.Flow), 1, Duration());
  Record.ActiveSubmission = std::make_unique<Submission>();
  ++InProgress;
  finishUnanswered(Record, Duration(), Sink);
}

// While this instance is stale, another one may have taken the flow over and
// run the request.
void RequestLifecycle::finishUnanswered(RequestRecord &Record,
                                        Duration RetryAfter, ActionSink &Sink) {
  const bool Certain = !Record.MayHaveRun && !Board.Self.Stale;
  finish(Record, Certain ? Outcome::RefusedNotRun : Outcome::Unknown,
         RetryAfter, "", Sink);
}

void RequestLifecycle::finish(RequestRecord &Record, Outcome Result,
                              Duration RetryAfter, std::string Answer,
                              ActionSink &Sink) {
  const UpstreamId Upstream = Record.ActiveSubmission->Upstream;
  BySubmit.erase(Record.ActiveSubmission->Id);
  --InProgress;
  Requests.finish(Record, Result, RetryAfter, std::move(Answer), Board.now());
  sendReply(Record, Sink);
  ServiceMetrics &Counters = MetricsCache.metricsOf(Record.Key.Service);
  ++Counters.Outcomes[static_cast<size_t>(Result)];
  Counters.RequestLatency(
      static_cast<double>((Board.now() - Record.Arrived).count()));
  if (Upstream != UpstreamId())
    Pins.onRequestEnded(Record.Key.Flow, Record.Key.Service, Upstream, Sink);
}

void RequestLifecycle::sendReply(const RequestRecord &Record,
                                 ActionSink &Sink) {
  const bool Lost = Record.Result == Outcome::Answered && Record.AnswerEvicted;
  Sink.send(Record.Caller, Reply{Record.Key.Flow, Record.Key.Id,
                                 Lost ? Outcome::Unknown : Record.Result,
                                 Record.RetryAfter, Record.Payload});
}

bool RequestLifecycle::isGone(InstanceId Instance) const {
  if (Instance == Board.Self.Id)
    return false;
  const Member *Other = Board.Members.find(Instance);
  return Other == nullptr || Other->State == MemberState::Dead ||
         Other->State == MemberState::Left;
}

BootId RequestLifecycle::bootOf(InstanceId Instance) const {
  if (Instance == Board.Self.Id)
    return Board.Self.OwnIncarnation.Boot;
  const Member *Other = Board.Members.find(Instance);
  return Other == nullptr ? BootId() : Other->MemberIncarnation.Boot;
}

const ServiceConfig *
RequestLifecycle::serviceOf(const RequestRecord &Record) const {
  const auto It = Board.Config.Services.find(Record.Key.Service);
  return It == Board.Config.Services.end() ? nullptr : &It->second;
}

void RequestLifecycle::clear() {
  BySubmit.clear();
  WakeUps = {};
  InProgress = 0;
}

} // namespace indigopoint
