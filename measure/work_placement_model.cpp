#include "work_placement_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace indigopoint::measure {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint RouteAddress{0xc6120001, 443};
constexpr uint32_t Slots = 2;
constexpr size_t QueuePlaces = 8;
constexpr double MeanWorkUs = 30e3;
constexpr double Spread = 0.5;
constexpr double LongShare = 0.03;
constexpr double LongFactor = 7;
constexpr double MeanRequestsPerFlow = 12;
constexpr Duration PauseBetweenRequests = milliseconds(400);
constexpr Duration RoundTrip = milliseconds(6);
constexpr Duration TargetTime = milliseconds(400);
constexpr Duration GiveUpTime = milliseconds(1400);
constexpr Duration WarmUpTime = seconds(5);
constexpr Duration End = seconds(20);
constexpr Duration SamplePeriod = milliseconds(50);
constexpr size_t RouteCount = 3;

double inMilliseconds(Duration Length) {
  return static_cast<double>(Length.count()) / 1000;
}

double percentile(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  const auto Rank =
      Values.begin() +
      static_cast<ptrdiff_t>(Share * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Rank, Values.end());
  return *Rank;
}

} // namespace

PlacementModel::PlacementModel(const PlacementCase &Case, uint64_t Seed)
    : Case(Case), Start(Time.now()), Random(Seed), ChoiceRandom(Seed + 1000),
      Instances(InstanceCount), Servers(UpstreamCount) {
  PlacementOptions Opts;
  Opts.CountRemainingWork = Case.Way == PlacementWay::ProductionWork;
  Opts.CountResponseTime = Case.Way != PlacementWay::LeastFlowsWithoutTimes;
  for (Instance &Created : Instances) {
    Created.Policy = makeZoneAwareLeastFlowsPolicy("a", Opts);
    for (size_t Index = 0; Index < UpstreamCount; ++Index) {
      auto Target = std::make_unique<Upstream>(Reachability);
      Target->Registration.Id = UpstreamId((Index + 1) * 7919);
      Target->Registration.Zone = "a";
      Target->Registration.Service = "chat";
      Target->Registration.Slots = Slots;
      Target->Registration.Address = {static_cast<uint32_t>(Index), 80};
      Created.Candidates.push_back(Target.get());
      Created.Upstreams.push_back(std::move(Target));
    }
  }
  for (Server &Created : Servers)
    Created.FreeAt.assign(Slots, Start);
  const double MeanWork =
      MeanWorkUs *
      (Case.HasLongRequests ? 1 + LongShare * (LongFactor - 1) : 1);
  const double RequestsPerFlow = Case.HasLongFlows ? MeanRequestsPerFlow : 1;
  MeanFlowGap = Duration(static_cast<int64_t>(
      MeanWork * RequestsPerFlow / (Case.Load * UpstreamCount * Slots)));
}

Duration PlacementModel::exponential(Duration Mean) {
  return Duration(static_cast<int64_t>(-static_cast<double>(Mean.count()) *
                                       std::log(1 - Random.fraction())));
}

double PlacementModel::normal() {
  const double Radius = std::sqrt(-2 * std::log(1 - Random.fraction()));
  return Radius * std::cos(2 * std::numbers::pi * Random.fraction());
}

Duration PlacementModel::drawWork() {
  double Work = MeanWorkUs * std::exp(Spread * normal() - Spread * Spread / 2);
  const bool IsLong = Random.fraction() < LongShare;
  if (Case.HasLongRequests && IsLong)
    Work *= LongFactor;
  return Duration(static_cast<int64_t>(Work));
}

bool PlacementModel::isCounted(TimePoint At) const {
  return At - Start >= WarmUpTime && At - Start < End;
}

void PlacementModel::openFlow() {
  if (Time.now() - Start >= End)
    return;
  Time.after(exponential(MeanFlowGap), [this] { openFlow(); });
  const auto Opened = std::make_shared<Flow>();
  Opened->Address = {{++LastClient, 40000}, RouteAddress};
  Opened->Instance = Random.below(InstanceCount);
  Opened->Route = static_cast<double>(Random.below(RouteCount));
  // The number of requests per flow has a geometric distribution.
  while (Case.HasLongFlows && Random.fraction() > 1 / MeanRequestsPerFlow)
    ++Opened->RemainingRequests;
  place(*Opened, 0);
  send(Opened, {Time.now(), drawWork(), 0, true});
}

void PlacementModel::place(Flow &Target, uint32_t Copies) {
  Instance &Chooser = Instances[Target.Instance];
  const UpstreamId ToAvoid =
      Copies == 0 ? UpstreamId()
                  : Chooser.Candidates[Target.Upstream]->Registration.Id;
  if (Copies > 0)
    --Chooser.Candidates[Target.Upstream]->OpenFlows;
  // The copies are not counted as unanswered, since the simulated upstreams
  // record no reachability.
  Target.Upstream =
      choose({Target.Address, ToAvoid, 0, &Chooser.Work}, Target.Instance);
  ++Chooser.Candidates[Target.Upstream]->OpenFlows;
}

void PlacementModel::send(const FlowPtr &Target, Request Body) {
  const Server &Receiver = Servers[Target->Upstream];
  if (Receiver.Open.size() >= Slots + QueuePlaces)
    repeat(Target, Body);
  else
    accept(Target, Body);
}

void PlacementModel::repeat(const FlowPtr &Target, Request Body) {
  const Duration SinceFirst = Time.now() - Body.FirstSentAt;
  ++Body.Copies;
  if (Body.Copies > 2) {
    Time.after(GiveUpTime - SinceFirst, [this, Target, Body] {
      recordOutcome(Body, std::nullopt);
      continueFlow(Target);
    });
    return;
  }
  const Duration Delay =
      milliseconds(Body.Copies == 1 ? 200 : 600) - SinceFirst;
  Time.after(Delay, [this, Target, Body] {
    if (Body.IsFirstOfFlow)
      place(*Target, Body.Copies);
    send(Target, Body);
  });
}

// Requests are served in order of arrival, so the end is known at the arrival.
void PlacementModel::accept(const FlowPtr &Target, const Request &Body) {
  const TimePoint Now = Time.now();
  Server &Receiver = Servers[Target->Upstream];
  TimePoint &Slot =
      *std::min_element(Receiver.FreeAt.begin(), Receiver.FreeAt.end());
  Slot = std::max(Slot, Now) + Body.Work;
  Receiver.WorkDone += isCounted(Now) ? Body.Work : Duration();
  const Exchange Accepted{++LastExchange, Target->Instance, Now, Slot};
  Receiver.Open.push_back(Accepted);
  Instance &Sender = Instances[Target->Instance];
  const size_t Index = Target->Upstream;
  const auto WorkId = Sender.Work.start(
      {Sender.Candidates[Index]->Registration.Id, 0}, RouteAddress, Now);
  applyReported(Index, Accepted, true);
  Time.after(Slot - Now, [this, Index, Id = Accepted.Id] {
    std::erase_if(Servers[Index].Open,
                  [Id](const Exchange &Open) { return Open.Id == Id; });
  });
  Time.after(Slot - Now + RoundTrip, [this, Target, Body, Accepted, Index,
                                      WorkId, Now] {
    Instance &Receiver = Instances[Accepted.Instance];
    Upstream &Answering = *Receiver.Candidates[Index];
    Receiver.Work.end(Answering.Registration.Id, WorkId);
    Receiver.Costs.record(RouteAddress, Time.now() - Now, Time.now());
    Answering.ResponseTimes.record(Time.now() - Now, Time.now());
    applyReported(Index, Accepted, false);
    finish(Target, Body);
  });
}

void PlacementModel::finish(const FlowPtr &Target, const Request &Body) {
  const Duration Elapsed = Time.now() - Body.FirstSentAt;
  recordOutcome(Body, Elapsed);
  if (Case.Way == PlacementWay::LeastFlows && isCounted(Body.FirstSentAt))
    Result.Costs.push_back(
        {Target->Route, static_cast<double>(ChoiceRandom.below(1200)),
         Target->Previous, inMilliseconds(Body.Work), inMilliseconds(Elapsed)});
  Target->Previous = inMilliseconds(Elapsed);
  continueFlow(Target);
}

void PlacementModel::recordOutcome(const Request &Body,
                                   std::optional<Duration> Elapsed) {
  if (!isCounted(Body.FirstSentAt))
    return;
  Lost += Elapsed ? 0 : 1;
  ResponseTimes.push_back(inMilliseconds(Elapsed.value_or(GiveUpTime)));
}

void PlacementModel::continueFlow(const FlowPtr &Target) {
  if (--Target->RemainingRequests == 0) {
    --Instances[Target->Instance].Candidates[Target->Upstream]->OpenFlows;
    return;
  }
  Time.after(exponential(PauseBetweenRequests), [this, Target] {
    send(Target, {Time.now(), drawWork(), 0, false});
  });
}

void PlacementModel::applyReported(size_t Upstream, const Exchange &Changed,
                                   bool IsOpen) {
  if (!Case.ReportAge)
    return;
  const auto Apply = [this, Upstream, Changed, IsOpen] {
    std::vector<Exchange> &Reported = Servers[Upstream].Reported;
    if (IsOpen)
      Reported.push_back(Changed);
    else
      std::erase_if(Reported, [&Changed](const Exchange &Open) {
        return Open.Id == Changed.Id;
      });
  };
  if (*Case.ReportAge == Duration())
    Apply();
  else
    Time.after(*Case.ReportAge, Apply);
}

// One report stands for those of all peers, since they have the same age.
void PlacementModel::passReports(Instance &Chooser, size_t Self) {
  if (!Case.ReportAge)
    return;
  const TimePoint ReportTime = Time.now() - *Case.ReportAge;
  for (size_t Index = 0; Index < UpstreamCount; ++Index) {
    double Work = 0;
    for (const Exchange &Open : Servers[Index].Reported)
      if (Open.Instance != Self)
        Work +=
            Chooser.Costs.meanResidual(RouteAddress, ReportTime - Open.SentAt);
    Chooser.Work.recordReport({{Chooser.Candidates[Index]->Registration.Id, 0},
                               {1, 1},
                               Work,
                               ReportTime});
  }
}

double PlacementModel::knownWork(const Instance &Chooser, size_t Index) const {
  const UpstreamProcess Target{Chooser.Candidates[Index]->Registration.Id, 0};
  return Chooser.Work.ownWork(Target, Time.now()) +
         Chooser.Work.reportedWork(Target, Time.now());
}

bool PlacementModel::isBelievedIdle(size_t Self, size_t Index) const {
  return Instances[Self].Candidates[Index]->OpenFlows == 0 &&
         std::none_of(
             Servers[Index].Reported.begin(), Servers[Index].Reported.end(),
             [Self](const Exchange &Open) { return Open.Instance != Self; });
}

size_t PlacementModel::chooseByReports(Instance &Chooser, size_t Self) {
  const size_t First = ChoiceRandom.below(UpstreamCount);
  // Scans all upstreams from a random one on, so that ties are random.
  size_t Best = First;
  if (Case.Way == PlacementWay::TwoChoices) {
    const size_t Second =
        (First + 1 + ChoiceRandom.below(UpstreamCount - 1)) % UpstreamCount;
    return knownWork(Chooser, Second) < knownWork(Chooser, First) ? Second
                                                                  : First;
  }
  for (size_t Offset = 0; Offset < UpstreamCount; ++Offset) {
    const size_t Index = (First + Offset) % UpstreamCount;
    if (Case.Way == PlacementWay::JoinIdle) {
      if (isBelievedIdle(Self, Index))
        return Index;
    } else if (Case.Way == PlacementWay::Perfect) {
      const auto StartOn = [this](size_t Server) {
        const auto &FreeAt = Servers[Server].FreeAt;
        return std::pair(std::max(Time.now(), *std::min_element(FreeAt.begin(),
                                                                FreeAt.end())),
                         Servers[Server].Open.size());
      };
      if (StartOn(Index) < StartOn(Best))
        Best = Index;
    } else if (knownWork(Chooser, Index) < knownWork(Chooser, Best)) {
      Best = Index;
    }
  }
  return Best;
}

size_t PlacementModel::choose(const NewFlow &Opened, size_t Self) {
  Instance &Chooser = Instances[Self];
  passReports(Chooser, Self);
  if (Case.Way != PlacementWay::LeastFlows &&
      Case.Way != PlacementWay::LeastFlowsWithoutTimes &&
      Case.Way != PlacementWay::ProductionWork)
    return chooseByReports(Chooser, Self);
  return Chooser.Policy(Chooser.Candidates, Opened, Time.now())
      ->Registration.Address.Address;
}

void PlacementModel::sampleResiduals() {
  if (Time.now() - Start >= End)
    return;
  Time.after(SamplePeriod, [this] { sampleResiduals(); });
  if (isCounted(Time.now()))
    for (const Server &Sampled : Servers)
      for (const Exchange &Open : Sampled.Open)
        Result.Residuals.push_back({inMilliseconds(Time.now() - Open.SentAt),
                                    inMilliseconds(Open.EndsAt - Time.now())});
}

PlacementResult PlacementModel::run() {
  openFlow();
  if (Case.Way == PlacementWay::LeastFlows)
    sampleResiduals();
  // The last requests end or are given up before.
  Time.runUntil(Start + End + 2 * GiveUpTime);
  Duration Max{};
  Duration Total{};
  for (const Server &Measured : Servers) {
    Max = std::max(Max, Measured.WorkDone);
    Total += Measured.WorkDone;
  }
  const auto Answered = static_cast<double>(ResponseTimes.size());
  Result.InTime =
      static_cast<double>(std::count_if(
          ResponseTimes.begin(), ResponseTimes.end(),
          [](double Ms) { return Ms <= inMilliseconds(TargetTime); })) /
      Answered;
  Result.Lost = static_cast<double>(Lost) / Answered;
  Result.P50Ms = percentile(ResponseTimes, 0.5);
  Result.P99Ms = percentile(ResponseTimes, 0.99);
  Result.BusiestOverMean =
      static_cast<double>(Max.count()) * UpstreamCount /
      static_cast<double>(std::max<int64_t>(Total.count(), 1));
  return std::move(Result);
}

} // namespace indigopoint::measure
