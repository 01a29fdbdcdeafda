#include "spillover.h"

#include <algorithm>
#include <set>

namespace indigopoint {

namespace {

constexpr Duration WindowLength = std::chrono::milliseconds(500);

// Response times vary between requests, so an average of fewer says little.
constexpr uint32_t MinOwnResponses = 10;
constexpr uint32_t MinOtherResponses = 2;

// How many times as long as usual answers of the own zone take before flows
// leave it, and until they return. Flows between zones fail in a partition, so
// the own zone is used as long as callers hardly notice the difference.
constexpr double MinSlowdown = 2;
constexpr double MaxUsualSlowdown = 1.5;

// Another zone takes more flows while its answers are faster by this factor.
constexpr double MinAdvantage = 1.25;

// Shares follow slowly enough that answers show the effect of the last step.
constexpr Duration UpdateInterval = std::chrono::milliseconds(250);
constexpr double MaxStep = 0.02;
constexpr double DecayPerUpdate = 0.95;

// The share by which the response time of another zone is learned.
constexpr double ProbeShare = 0.04;
constexpr double MaxShareOfAllZones = 0.8;

// The usual response time hardly rises during an overload, and falls soon after
// one that began before this instance.
constexpr double SecondsToRise = 60;
constexpr double SecondsToFall = 5;

// Bounds the memory used; flows of further services stay in the zone.
constexpr size_t MaxServices = 64;

} // namespace

void RecentResponseTime::record(Duration ResponseTime, TimePoint Now) {
  if (Now - Current.Start >= WindowLength) {
    Previous = Current;
    Current = {Now, Duration(), 0};
  }
  Current.Sum += ResponseTime;
  ++Current.Count;
}

std::optional<double> RecentResponseTime::mean(uint32_t MinCount,
                                               TimePoint Now) const {
  Duration Sum{};
  uint32_t Count = 0;
  for (const Window &Part : {Current, Previous})
    if (Now - Part.Start < 2 * WindowLength) {
      Sum += Part.Sum;
      Count += Part.Count;
    }
  if (Count < std::max(MinCount, 1U))
    return std::nullopt;
  return static_cast<double>(Sum.count()) / Count;
}

double Spillover::ServiceState::updateUsual(double RecentResponseTime,
                                            TimePoint Now) {
  const double Before = Usual.value_or(RecentResponseTime);
  const double Change = RecentResponseTime - Before;
  const double Seconds = std::chrono::duration<double>(Now - UpdatedAt).count();
  const double Weight = Seconds / (Change > 0 ? SecondsToRise : SecondsToFall);
  Usual = Before + Change * std::min(Weight, 1.0);
  return *Usual;
}

Spillover::ServiceState *Spillover::find(const std::string &Service) {
  const auto It = Services.find(Service);
  if (It != Services.end())
    return &It->second;
  return Services.size() < MaxServices ? &Services[Service] : nullptr;
}

void Spillover::recordResponse(const UpstreamRegistration &Target,
                               Duration ResponseTime, TimePoint Now) {
  ServiceState *State = find(Target.Service);
  if (State == nullptr)
    return;
  if (Target.Zone == Zone) {
    State->Recent.record(ResponseTime, Now);
    return;
  }
  const auto Other = State->OtherZones.find(Target.Zone);
  if (Other != State->OtherZones.end())
    Other->second.Recent.record(ResponseTime, Now);
}

const std::string &
Spillover::chooseZone(const std::vector<Upstream *> &Candidates,
                      double Fraction, TimePoint Now) {
  ServiceState *State = find(Candidates.front()->Registration.Service);
  if (State == nullptr)
    return Zone;
  if (Now - State->UpdatedAt >= UpdateInterval)
    update(*State, Candidates, Now);
  for (const auto &[Name, Other] : State->OtherZones) {
    Fraction -= Other.Share;
    if (Fraction < 0)
      return Name;
  }
  return Zone;
}

double Spillover::shareOf(const std::string &Service) const {
  double Share = 0;
  if (const auto It = Services.find(Service); It != Services.end())
    for (const auto &[Name, Other] : It->second.OtherZones)
      Share += Other.Share;
  return Share;
}

void Spillover::update(ServiceState &State,
                       const std::vector<Upstream *> &Candidates,
                       TimePoint Now) const {
  std::set<std::string> Zones;
  for (const Upstream *Candidate : Candidates)
    Zones.insert(Candidate->Registration.Zone);
  std::erase_if(State.OtherZones, [&Zones](const auto &Entry) {
    return Zones.count(Entry.first) == 0;
  });
  for (const std::string &Name : Zones)
    if (Name != Zone)
      State.OtherZones.try_emplace(Name);
  const auto Own = State.Recent.mean(MinOwnResponses, Now);
  const double Usual = Own ? State.updateUsual(*Own, Now) : 0;
  const bool IsSlow = Own && *Own > MinSlowdown * Usual;
  const bool IsUsual = !Own || *Own < MaxUsualSlowdown * Usual;
  State.UpdatedAt = Now;
  double AllShares = 0;
  for (auto &[Name, Other] : State.OtherZones) {
    if (IsSlow)
      adjustShare(Other, *Own, Now);
    else if (IsUsual)
      Other.Share *= DecayPerUpdate;
    AllShares += Other.Share;
  }
  if (AllShares > MaxShareOfAllZones)
    for (auto &[Name, Other] : State.OtherZones)
      Other.Share *= MaxShareOfAllZones / AllShares;
}

// A zone that does not answer gets no more than the probes.
void Spillover::adjustShare(OtherZone &Other, double OwnResponseTime,
                            TimePoint Now) {
  const auto Theirs = Other.Recent.mean(MinOtherResponses, Now);
  if (!Theirs) {
    Other.Share = ProbeShare;
    return;
  }
  const double Advantage = OwnResponseTime / *Theirs - MinAdvantage;
  Other.Share = std::max(
      ProbeShare, Other.Share + MaxStep * std::clamp(Advantage, -1.0, 1.0));
}

} // namespace indigopoint
