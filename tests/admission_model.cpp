#include "admission_model.h"

#include <algorithm>
#include <cmath>
#include <deque>

#include "policy_options.h"
#include "random_source.h"

namespace indigopoint {

namespace {

using namespace std::chrono_literals;

constexpr size_t ZoneCount = 4;
constexpr size_t InstancesPerZone = 25;
constexpr size_t UpstreamsPerZone = 30;
constexpr size_t Slots = 2;
constexpr size_t QueuePlaces = 8;
constexpr std::array<double, ModelKinds> WorkMs = {39, 30};
constexpr std::array<double, ModelKinds> KindShare = {1.0 / 3, 2.0 / 3};
constexpr std::array<Duration, ModelKinds> Targets = {500ms, 400ms};
constexpr Duration TimeLimit = 2s;
constexpr double Spread = 0.5;
constexpr Duration RoundTrip = 2ms;
constexpr Duration ReportPeriod = 500ms;
constexpr Duration LoadPeriod = 100ms;
constexpr uint32_t MaxRetries = 2;
constexpr std::array<Duration, 3> CopyTimes = {0ms, 200ms, 600ms};
constexpr Duration AttemptEnd = 1400ms;
const std::string ServiceName = "model";

std::string zoneName(size_t Zone) { return std::string(1, char('a' + Zone)); }

class Model {
public:
  explicit Model(const AdmissionScenario &Scenario);
  AdmissionResult run();

private:
  struct Instance {
    Instance(size_t Zone, bool Admission, const Clock &TimeSource)
        : Zone(Zone), Loads(zoneName(Zone), TimeSource), Admission({Admission}),
          Policy(makeZoneAwareLeastFlowsPolicy(zoneName(Zone))) {}
    size_t Zone;
    ServiceLoadTable Loads;
    AdmissionPolicy Admission;
    BalancingPolicy Policy;
    std::vector<std::unique_ptr<Upstream>> Upstreams;
    std::vector<Upstream *> Candidates;
    uint64_t Sequence = 0;
    AdmissionLoad Load;
    TimePoint LoadAt{};
  };

  struct Server {
    size_t Busy = 0;
    std::deque<size_t> Queue;
    double Slowdown = 1;
  };

  struct Request {
    size_t Kind = 0;
    size_t Zone = 0;
    uint32_t Client = 0;
    TimePoint SentAt{};
    Duration Work{};
    uint32_t Attempt = 0;
    size_t InstanceIndex = 0;
    /// Where the last copy of the opening went.
    size_t ServerIndex = 0;
    bool IsAccepted = false;
    bool IsDone = false;
    bool IsPending = false;
    bool IsCounted = false;
    TimePoint AcceptedAt{};
    uint16_t Port = 0;
  };

  enum class EventKind {
    Arrive,
    Retry,
    Copy,
    OpenTimeout,
    Opened,
    Finish,
    Answered,
    Abandon,
    AttemptEnds,
    Report
  };

  struct Event {
    TimePoint At;
    uint64_t Order;
    EventKind Kind;
    size_t Index;
    uint32_t Attempt;
    size_t Extra;
    bool operator<(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void schedule(Duration Delay, EventKind Kind, size_t Index,
                uint32_t Attempt = 0, size_t Extra = 0) {
    Events.push({TimeSource.Now + Delay, ++Order, Kind, Index, Attempt, Extra});
  }
  double seconds() const {
    return std::chrono::duration<double>(TimeSource.Now - Start).count();
  }
  bool isUpstreamUp(size_t Zone) const {
    return Zone != 3 || (!Scenario.ZoneLost && !Scenario.UpstreamsOfZoneLost);
  }
  void scheduleArrival(size_t Zone);
  void arrive(size_t Zone);
  void startAttempt(size_t Index);
  void sendCopy(size_t Index, uint32_t Copy);
  void startWork(size_t ServerIndex, size_t Index);
  void finish(size_t Index, size_t ServerIndex);
  void answer(size_t Index);
  void releaseAtInstance(Request &R);
  void refuse(size_t Index);
  void endAttempt(size_t Index);
  void report(size_t InstanceIndex);
  const AdmissionLoad &loadOf(Instance &I);
  Upstream &upstreamOf(const Request &R) {
    return *Instances[R.InstanceIndex]->Upstreams[R.ServerIndex];
  }
  KindOutcomes *outcomesOf(const Request &R) {
    const double Sent = std::chrono::duration<double>(R.SentAt - Start).count();
    return Sent >= Scenario.CountFrom ? &Result.Kinds[R.Kind] : nullptr;
  }

  const AdmissionScenario &Scenario;
  ManualClock TimeSource;
  TimePoint Start = TimeSource.Now;
  std::mt19937_64 Random;
  ReachabilityOptions Reachability;
  std::vector<std::unique_ptr<Instance>> Instances;
  std::vector<Server> Servers;
  std::vector<Request> Requests;
  std::array<Route, ModelKinds> Routes;
  std::priority_queue<Event> Events;
  uint64_t Order = 0;
  AdmissionResult Result;
  std::vector<size_t> SentByTenth;
  std::vector<size_t> RefusedByTenth;
};

Model::Model(const AdmissionScenario &Scenario)
    : Scenario(Scenario), Random(Scenario.Seed) {
  Result.CountedSeconds = Scenario.Seconds - Scenario.CountFrom;
  const auto Tenths = static_cast<size_t>(Scenario.Seconds * 10) + 1;
  SentByTenth.resize(Tenths);
  RefusedByTenth.resize(Tenths);
  for (size_t Kind = 0; Kind < ModelKinds; ++Kind) {
    Routes[Kind].Priority = static_cast<uint32_t>(Kind + 1);
    Routes[Kind].Aim = Targets[Kind];
    Routes[Kind].TimeLimit = TimeLimit;
  }
  Servers.resize(ZoneCount * UpstreamsPerZone);
  if (Scenario.SlowQuarter)
    for (size_t Index = 0; Index < Servers.size(); Index += 4)
      Servers[Index].Slowdown = 5;
  for (size_t Index = 0; Index < ZoneCount * InstancesPerZone; ++Index) {
    auto New = std::make_unique<Instance>(Index / InstancesPerZone,
                                          Scenario.Admission, TimeSource);
    for (size_t ServerIndex = 0; ServerIndex < Servers.size(); ++ServerIndex) {
      const size_t Zone = ServerIndex / UpstreamsPerZone;
      New->Upstreams.push_back(std::make_unique<Upstream>(Reachability));
      Upstream &Target = *New->Upstreams.back();
      Target.Registration.Id = UpstreamId(ServerIndex + 1);
      Target.Registration.Service = ServiceName;
      Target.Registration.Zone = zoneName(Zone);
      Target.Registration.Slots = Slots;
      const bool IsNeeded = Zone == New->Zone || !isUpstreamUp(New->Zone);
      if (isUpstreamUp(Zone) && IsNeeded)
        New->Candidates.push_back(&Target);
    }
    Instances.push_back(std::move(New));
  }
}

AdmissionResult Model::run() {
  for (size_t Zone = 0; Zone < ZoneCount; ++Zone)
    scheduleArrival(Zone);
  for (size_t Index = 0; Index < Instances.size(); ++Index)
    if (!Scenario.NoReports)
      schedule(ReportPeriod * static_cast<int>(Index) /
                   static_cast<int>(Instances.size()),
               EventKind::Report, Index);
  while (!Events.empty()) {
    const Event Next = Events.top();
    Events.pop();
    TimeSource.Now = Next.At;
    switch (Next.Kind) {
    case EventKind::Arrive:
      arrive(Next.Index);
      break;
    case EventKind::Report:
      report(Next.Index);
      break;
    case EventKind::Finish:
      finish(Next.Index, Next.Extra);
      break;
    case EventKind::Answered:
      answer(Next.Index);
      break;
    case EventKind::Retry:
      startAttempt(Next.Index);
      break;
    case EventKind::Copy:
    case EventKind::OpenTimeout:
    case EventKind::Opened:
    case EventKind::Abandon:
    case EventKind::AttemptEnds: {
      Request &R = Requests[Next.Index];
      if (R.IsDone || R.Attempt != Next.Attempt)
        break;
      if (Next.Kind == EventKind::Copy && !R.IsAccepted)
        sendCopy(Next.Index, static_cast<uint32_t>(Next.Extra));
      else if (Next.Kind == EventKind::OpenTimeout && R.IsPending &&
               R.ServerIndex == Next.Extra)
        upstreamOf(R).Reachability.recordOpenTimeout(TimeSource.Now);
      else if (Next.Kind == EventKind::Opened) {
        upstreamOf(R).Reachability.recordOpeningEnd();
        upstreamOf(R).Reachability.recordAnswer(TimeSource.Now);
        R.IsPending = false;
        R.IsCounted = true;
        Instances[R.InstanceIndex]->Loads.recordExchangeStart(ServiceName);
      } else if (Next.Kind == EventKind::AttemptEnds && !R.IsAccepted)
        endAttempt(Next.Index);
      else if (Next.Kind == EventKind::Abandon) {
        releaseAtInstance(R);
        R.IsDone = true;
        if (KindOutcomes *Out = outcomesOf(R))
          ++Out->Lost;
      }
      break;
    }
    }
  }
  for (size_t Tenth = 0; Tenth < SentByTenth.size(); ++Tenth)
    Result.RefusedByTenth.push_back(
        SentByTenth[Tenth] == 0 ? 0
                                : static_cast<double>(RefusedByTenth[Tenth]) /
                                      static_cast<double>(SentByTenth[Tenth]));
  return std::move(Result);
}

void Model::scheduleArrival(size_t Zone) {
  const double MeanWork =
      (KindShare[0] * WorkMs[0] + KindShare[1] * WorkMs[1]) / 1000;
  const double Rate = Scenario.LoadOf(Zone, seconds()) *
                      static_cast<double>(UpstreamsPerZone * Slots) / MeanWork;
  const double Gap = std::exponential_distribution<double>(Rate)(Random);
  if (seconds() + Gap < Scenario.Seconds)
    schedule(Duration(static_cast<int64_t>(Gap * 1e6)), EventKind::Arrive,
             Zone);
}

void Model::arrive(size_t Zone) {
  scheduleArrival(Zone);
  Request New;
  New.Kind = fractionOf(Random()) < KindShare[0] ? 0 : 1;
  New.Zone = Scenario.ZoneLost && Zone == 3 ? Random() % 3 : Zone;
  New.Client = static_cast<uint32_t>(Random());
  New.SentAt = TimeSource.Now;
  const double Normal = std::normal_distribution<double>(0, 1)(Random);
  New.Work = Duration(
      static_cast<int64_t>(1000 * WorkMs[New.Kind] *
                           std::exp(Spread * Normal - Spread * Spread / 2)));
  Requests.push_back(New);
  if (KindOutcomes *Out = outcomesOf(New))
    ++Out->Sent;
  ++SentByTenth[static_cast<size_t>(seconds() * 10)];
  startAttempt(Requests.size() - 1);
}

const AdmissionLoad &Model::loadOf(Instance &I) {
  if (TimeSource.Now - I.LoadAt >= LoadPeriod) {
    I.LoadAt = TimeSource.Now;
    const ServiceLoadTable::Demand Demand = I.Loads.demand(ServiceName);
    I.Load.Demand = Demand.OpenExchanges;
    I.Load.OpeningsPerSecond = Demand.OpeningsPerSecond;
    I.Load.Capacity =
        capacityOf(zoneName(I.Zone),
                   slotsByZone(
                       I.Candidates, [](const Upstream &) { return true; },
                       TimeSource.Now, 0.5),
                   0.3);
  }
  return I.Load;
}

void Model::startAttempt(size_t Index) {
  Request &R = Requests[Index];
  R.InstanceIndex = R.Zone * InstancesPerZone + Random() % InstancesPerZone;
  R.Port = static_cast<uint16_t>(Random());
  Instance &I = *Instances[R.InstanceIndex];
  const AdmissionPolicy::WallTime Wall(
      std::chrono::duration_cast<std::chrono::system_clock::duration>(
          TimeSource.Now.time_since_epoch()));
  const bool IsAdmitted = I.Admission
                              .admit(ServiceName, Routes[R.Kind], R.Client,
                                     loadOf(I), TimeSource.Now, Wall)
                              .IsAdmitted;
  I.Loads.recordOpening(ServiceName, requestsOf(IsAdmitted));
  if (!IsAdmitted) {
    refuse(Index);
    return;
  }
  schedule(R.SentAt + TimeLimit - TimeSource.Now, EventKind::Abandon, Index,
           R.Attempt);
  schedule(AttemptEnd, EventKind::AttemptEnds, Index, R.Attempt);
  for (size_t Copy = 1; Copy < CopyTimes.size(); ++Copy)
    schedule(CopyTimes[Copy], EventKind::Copy, Index, R.Attempt, Copy);
  sendCopy(Index, 0);
}

// A reset reaches the client after a round trip.
void Model::refuse(size_t Index) {
  Request &R = Requests[Index];
  if (R.Attempt < MaxRetries) {
    ++R.Attempt;
    schedule(RoundTrip, EventKind::Retry, Index, R.Attempt);
    return;
  }
  R.IsDone = true;
  ++RefusedByTenth[std::min(RefusedByTenth.size() - 1,
                            static_cast<size_t>(seconds() * 10))];
  if (KindOutcomes *Out = outcomesOf(R)) {
    ++Out->Refused;
    Out->RefusalTimes.push_back(TimeSource.Now + RoundTrip - R.SentAt);
  }
}

void Model::endAttempt(size_t Index) {
  Request &R = Requests[Index];
  releaseAtInstance(R);
  ++R.Attempt;
  if (R.Attempt <= MaxRetries) {
    startAttempt(Index);
    return;
  }
  R.IsDone = true;
  if (KindOutcomes *Out = outcomesOf(R))
    ++Out->Lost;
}

void Model::sendCopy(size_t Index, uint32_t Copy) {
  Request &R = Requests[Index];
  Instance &I = *Instances[R.InstanceIndex];
  NewFlow Flow{{{R.Client, R.Port}, {1, 443}}, {}, Copy};
  if (Copy > 0) {
    Flow.UpstreamToAvoid = upstreamOf(R).Registration.Id;
    releaseAtInstance(R);
  }
  Upstream *Target = I.Policy(I.Candidates, Flow, TimeSource.Now);
  R.ServerIndex = Target->Registration.Id.value() - 1;
  ++Target->OpenFlows;
  R.IsPending = true;
  Target->Reachability.recordOpening(TimeSource.Now);
  schedule(OpenTimeout, EventKind::OpenTimeout, Index, R.Attempt,
           R.ServerIndex);
  Server &S = Servers[R.ServerIndex];
  if (S.Busy + S.Queue.size() >= Slots + QueuePlaces)
    return;
  R.IsAccepted = true;
  R.AcceptedAt = TimeSource.Now;
  schedule(RoundTrip, EventKind::Opened, Index, R.Attempt);
  if (S.Busy < Slots)
    startWork(R.ServerIndex, Index);
  else
    S.Queue.push_back(Index);
}

void Model::startWork(size_t ServerIndex, size_t Index) {
  ++Servers[ServerIndex].Busy;
  schedule(Duration(static_cast<int64_t>(
               static_cast<double>(Requests[Index].Work.count()) *
               Servers[ServerIndex].Slowdown)),
           EventKind::Finish, Index, 0, ServerIndex);
}

// The upstream also works for clients that have given up.
void Model::finish(size_t Index, size_t ServerIndex) {
  Server &S = Servers[ServerIndex];
  --S.Busy;
  if (!S.Queue.empty()) {
    const size_t Next = S.Queue.front();
    S.Queue.pop_front();
    startWork(ServerIndex, Next);
  }
  schedule(RoundTrip, EventKind::Answered, Index);
}

void Model::answer(size_t Index) {
  Request &R = Requests[Index];
  if (R.IsDone)
    return;
  R.IsDone = true;
  Upstream &Target = upstreamOf(R);
  const Duration ResponseTime = TimeSource.Now - R.AcceptedAt;
  Target.Reachability.recordAnswer(TimeSource.Now);
  Target.ResponseTimes.record(ResponseTime, TimeSource.Now);
  Instances[R.InstanceIndex]->Admission.recordAnswer(ServiceName, ResponseTime,
                                                     true, TimeSource.Now);
  releaseAtInstance(R);
  if (KindOutcomes *Out = outcomesOf(R)) {
    const bool IsInTarget = TimeSource.Now - R.SentAt <= Targets[R.Kind];
    ++(IsInTarget ? Out->InTarget : Out->Late);
    if (IsInTarget)
      Out->WorkInTarget += std::chrono::duration<double>(R.Work).count();
  }
}

void Model::releaseAtInstance(Request &R) {
  Upstream &Target = upstreamOf(R);
  if (Target.OpenFlows > 0)
    --Target.OpenFlows;
  if (R.IsPending)
    Target.Reachability.recordOpeningEnd();
  R.IsPending = false;
  if (R.IsCounted)
    Instances[R.InstanceIndex]->Loads.recordExchangeEnd(ServiceName);
  R.IsCounted = false;
}

void Model::report(size_t InstanceIndex) {
  Instance &Sender = *Instances[InstanceIndex];
  PeerReport Report;
  Report.Sender = {static_cast<uint32_t>(InstanceIndex + 1), 1};
  Report.Zone = zoneName(Sender.Zone);
  Report.Sequence = ++Sender.Sequence;
  Report.Loads = Sender.Loads.ownLoads();
  for (size_t Peer = 0; Peer < InstancesPerZone; ++Peer)
    if (const size_t Index = Sender.Zone * InstancesPerZone + Peer;
        Index != InstanceIndex)
      Instances[Index]->Loads.recordPeerReport(Report);
  if (seconds() + 0.5 < Scenario.Seconds)
    schedule(ReportPeriod, EventKind::Report, InstanceIndex);
}

} // namespace

Duration KindOutcomes::refusalP99() const {
  if (RefusalTimes.empty())
    return {};
  std::vector<Duration> Sorted = RefusalTimes;
  std::ranges::sort(Sorted);
  return Sorted[Sorted.size() * 99 / 100];
}

double AdmissionResult::worth() const {
  return static_cast<double>(2 * Kinds[UrgentKind].InTarget +
                             Kinds[NormalKind].InTarget) /
         CountedSeconds;
}

double AdmissionResult::workInTarget() const {
  return (Kinds[UrgentKind].WorkInTarget + Kinds[NormalKind].WorkInTarget) /
         CountedSeconds;
}

AdmissionResult runAdmissionModel(const AdmissionScenario &Scenario) {
  return Model(Scenario).run();
}

} // namespace indigopoint
