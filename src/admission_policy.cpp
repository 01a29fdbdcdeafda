#include "admission_policy.h"

#include <algorithm>
#include <cmath>

#include "placement.h"
#include "random_source.h"

namespace indigopoint {

namespace {

// How long a client's decision stays the same if the load does.
constexpr std::chrono::milliseconds SaltPeriod(2000);

// Open exchanges per slot that are held under overload: one in progress, the
// others wait. With 2.5, slots are idle and flows are refused needlessly, since
// instances place flows without knowing each other's; with 4, some queues,
// which have about four places a slot, are full and urgent flows come late.
constexpr double MaxOperatingLoad = 3.2;

// The part of the target that may be spent under load on average. The rest is
// for requests that take longer, and for queues longer than others.
constexpr double TargetShare = 0.5;

// Time constant of the counts by priority. An instance gets some ten requests a
// second, whose mix varies by chance.
constexpr double MixSeconds = 4;

// With fewer answers the response time is unknown, and so it is some time after
// the last one. An instance that refuses all would otherwise never get an
// answer again from which to learn that load has fallen.
constexpr uint32_t MinAnswers = 8;
constexpr Duration MaxAnswerAge = std::chrono::seconds(2);

constexpr double LoadSeconds = 0.3;

// Answers in the average of response times, which differ widely, and the time
// after which fewer answers make up the average.
constexpr double AveragedAnswers = 100;
constexpr double MaxAverageSeconds = 5;

constexpr Duration ServiceLifetime = std::chrono::minutes(1);

constexpr size_t MaxServices = 64;
constexpr size_t MaxKinds = 16;

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

// Bounds of the admitted flows for each flow served. The lower one is below the
// least share that lets queues drain, the upper one means no refusals.
constexpr double MinAdmittedPerServed = 0.6;
constexpr double MaxAdmittedPerServed = 20;

// The flows that may be admitted for each flow served, by the load relative to
// the operating point. Well below that point it is above the inverse of the
// share of busy slots, so that nothing is refused for errors of the averages.
// Close to it the slope is small, since the load per slot changes much with a
// small change of the admitted flows and is known half a second late; a steep
// slope would oscillate.
double admittedPerServed(double RelativeLoad) {
  if (RelativeLoad <= 0)
    return MaxAdmittedPerServed;
  const double Log = std::log(RelativeLoad);
  if (Log >= 0)
    return std::max(MinAdmittedPerServed, 1 - 0.3 * Log);
  return std::min(MaxAdmittedPerServed,
                  std::exp(-0.08 * Log + 1.2 * Log * Log));
}

} // namespace

double requestsOf(bool IsAdmitted) {
  constexpr double AttemptsOfRefused = 3;
  return IsAdmitted ? 1 : 1 / AttemptsOfRefused;
}

Duration targetOf(const Route &MatchedRoute) {
  if (MatchedRoute.Aim <= Duration())
    return MatchedRoute.TimeLimit;
  if (MatchedRoute.TimeLimit <= Duration())
    return MatchedRoute.Aim;
  return std::min(MatchedRoute.Aim, MatchedRoute.TimeLimit);
}

void AdmissionPolicy::ServiceState::decay(TimePoint Now) {
  const double Factor = std::exp(-secondsOf(Now - DecayedAt) / MixSeconds);
  Unranked *= Factor;
  for (auto &[Priority, Count] : Mix)
    Count *= Factor;
  DecayedAt = Now;
}

void AdmissionPolicy::ServiceState::updateLoad(const AdmissionLoad &NewLoad,
                                               TimePoint Now) {
  Load = NewLoad;
  const double Newest = Load.Capacity > 0 ? Load.Demand / Load.Capacity : 0;
  const double Weight =
      1 - std::exp(-secondsOf(Now - LoadUpdatedAt) / LoadSeconds);
  LoadPerSlot += (Newest - LoadPerSlot) * Weight;
  LoadUpdatedAt = Now;
}

// With a short target less may wait. The slots are busy if more than one
// exchange per slot is open; the rest of the exchanges wait.
double AdmissionPolicy::ServiceState::relativeLoad(Duration Target) const {
  const double OfSlots = LoadPerSlot / MaxOperatingLoad;
  if (Target <= Duration() || LoadPerSlot <= 1)
    return OfSlots;
  const double WaitSeconds = ResponseSeconds * (1 - 1 / LoadPerSlot);
  return std::max(OfSlots, WaitSeconds / (TargetShare * secondsOf(Target)));
}

double AdmissionPolicy::ServiceState::admittedShare(uint32_t Priority,
                                                    Duration Target) const {
  // With at most one exchange per slot there are free slots.
  if (LoadPerSlot <= 1 || Answers < MinAnswers || ResponseSeconds <= 0 ||
      Load.OpeningsPerSecond <= 0)
    return 1;
  double MixSum = Unranked;
  for (const auto &[OtherPriority, Count] : Mix)
    MixSum += Count;
  const double ServedPerSecond = Demand / ResponseSeconds * FirstAnswerShare;
  const double Fitting = ServedPerSecond *
                         admittedPerServed(relativeLoad(Target)) /
                         Load.OpeningsPerSecond;
  // What fits beyond more urgent requests, in the unit of the counts.
  double Remaining = MixSum * Fitting - Unranked;
  for (const auto &[OtherPriority, Count] : Mix) {
    if (OtherPriority == Priority)
      return Count > 0 ? std::clamp(Remaining / Count, 0.0, 1.0) : 1;
    Remaining -= Count;
  }
  return 1;
}

AdmissionPolicy::ServiceState *
AdmissionPolicy::find(const std::string &Service) {
  const auto It = Services.find(Service);
  if (It != Services.end())
    return &It->second;
  return Services.size() < MaxServices ? &Services[Service] : nullptr;
}

AdmissionDecision AdmissionPolicy::admit(const std::string &Service,
                                         const Route &MatchedRoute,
                                         uint32_t ClientAddress,
                                         const AdmissionLoad &Load,
                                         TimePoint Now, WallTime WallNow) {
  AdmissionDecision Out;
  Out.Load = Load;
  ServiceState *State = Opts.Enabled ? find(Service) : nullptr;
  if (State == nullptr)
    return Out;
  State->decay(Now);
  if (!MatchedRoute.Priority) {
    ++State->Unranked;
    return Out;
  }
  State->updateLoad(Load, Now);
  if (Now - State->LastAnswerAt > MaxAnswerAge)
    State->Answers = 0;
  Out.Priority = *MatchedRoute.Priority;
  if (State->Mix.size() >= MaxKinds && !State->Mix.contains(Out.Priority))
    return Out;
  if (Load.Capacity > 0)
    Out.AdmittedShare =
        State->admittedShare(Out.Priority, targetOf(MatchedRoute));
  // The salt changes at another time for each client, so that the set of
  // refused clients changes gradually.
  const uint64_t ClientHash = rendezvousScore(ClientAddress, 0);
  const auto WallMs = std::chrono::duration_cast<std::chrono::milliseconds>(
      WallNow.time_since_epoch());
  const auto PeriodMs = static_cast<uint64_t>(SaltPeriod.count());
  const uint64_t Salt =
      (static_cast<uint64_t>(WallMs.count()) + ClientHash % PeriodMs) /
      PeriodMs;
  Out.IsAdmitted =
      fractionOf(rendezvousScore(ClientHash, Salt)) < Out.AdmittedShare;
  State->Mix[Out.Priority] += requestsOf(Out.IsAdmitted);
  return Out;
}

// Demand and response times are averaged over the same answers, so that their
// quotient is right also while both rise.
void AdmissionPolicy::recordAnswer(const std::string &Service,
                                   Duration ResponseTime, bool IsFirst,
                                   TimePoint Now) {
  ServiceState *State = Opts.Enabled ? find(Service) : nullptr;
  if (State == nullptr)
    return;
  ++State->Answers;
  const double Weight =
      std::max({1 / AveragedAnswers, 1.0 / State->Answers,
                1 - std::exp(-secondsOf(Now - State->LastAnswerAt) /
                             MaxAverageSeconds)});
  const auto Update = [Weight](double &Average, double Value) {
    Average += (Value - Average) * Weight;
  };
  Update(State->Demand, State->Load.Demand);
  Update(State->ResponseSeconds, secondsOf(ResponseTime));
  Update(State->FirstAnswerShare, IsFirst ? 1 : 0);
  State->LastAnswerAt = Now;
}

void AdmissionPolicy::expire(TimePoint Now) {
  std::erase_if(Services, [Now](const auto &Entry) {
    return Now - Entry.second.DecayedAt > ServiceLifetime;
  });
}

} // namespace indigopoint
