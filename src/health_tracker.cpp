#include "health_tracker.h"

#include <algorithm>
#include <cmath>

namespace indigopoint {

namespace {

constexpr uint32_t FailuresToEject = 5;
constexpr Duration WindowLength = std::chrono::seconds(10);

// Fewer results than this in the window say little about a rate.
constexpr double WindowMinimum = 10;
constexpr double MinSuccessRate = 0.5;

constexpr Duration FirstEjection = std::chrono::seconds(5);
constexpr Duration LongestEjection = std::chrono::seconds(60);

// An upstream that served this long starts again with the first ejection time.
constexpr Duration EjectionMemory = std::chrono::seconds(120);

constexpr uint32_t SuccessesToServe = 3;
constexpr double ColdWeight = 0.1;

double secondsOf(Duration Given) {
  return std::chrono::duration<double>(Given).count();
}

} // namespace

HealthTracker::Counts HealthTracker::decayed(TimePoint Now) const {
  const double Factor =
      std::exp(-secondsOf(Now - WindowAt) / secondsOf(WindowLength));
  return {Window.Successes * Factor, Window.Failures * Factor};
}

void HealthTracker::recordSuccess(TimePoint Now) {
  Window = decayed(Now);
  Window.Successes += 1;
  WindowAt = LastResult = Now;
  FailuresInRow = 0;
  if (State == HealthState::Probation &&
      ++ProbationSuccesses >= SuccessesToServe) {
    State = HealthState::Serving;
    ServingSince = Now;
    startWarmup(Now);
  }
}

void HealthTracker::recordFailure(TimePoint Now) {
  Window = decayed(Now);
  Window.Failures += 1;
  WindowAt = LastResult = Now;
  ++FailuresInRow;
}

void HealthTracker::recordHealthStatus(HealthStatus Hint, TimePoint) {
  ReportedUnhealthy =
      Hint == HealthStatus::Unhealthy || Hint == HealthStatus::NoAnswer;
}

void HealthTracker::resumeWarmup(uint32_t WeightPercent, Duration Warmup,
                                 TimePoint Now) {
  if (WeightPercent >= 100)
    return;
  const double Done =
      std::max(0.0, WeightPercent / 100.0 - ColdWeight) / (1 - ColdWeight);
  WarmupSince = Now - Duration(static_cast<int64_t>(
                          Done * static_cast<double>(Warmup.count())));
}

bool HealthTracker::isFailing(TimePoint Now) const {
  if (State == HealthState::Ejected)
    return false;
  if (State == HealthState::Probation)
    return FailuresInRow > 0;
  if (FailuresInRow >= FailuresToEject)
    return true;
  const Counts Recent = decayed(Now);
  const double Total = Recent.Successes + Recent.Failures;
  return Total >= WindowMinimum && Recent.Successes < MinSuccessRate * Total;
}

void HealthTracker::eject(TimePoint Now) {
  const bool Recovered =
      State == HealthState::Serving && Now - ServingSince > EjectionMemory;
  LastEjection = LastEjection == Duration() || Recovered
                     ? FirstEjection
                     : std::min(LastEjection * 2, LongestEjection);
  State = HealthState::Ejected;
  EjectedUntil = Now + LastEjection;
  resetTraffic(Now);
}

void HealthTracker::resetTraffic(TimePoint Now) {
  Window = {};
  WindowAt = Now;
  FailuresInRow = 0;
  ProbationSuccesses = 0;
}

void HealthTracker::startProbation(TimePoint Now) {
  State = HealthState::Probation;
  resetTraffic(Now);
}

void HealthTracker::update(TimePoint Now) {
  if (State == HealthState::Ejected && Now >= EjectedUntil)
    startProbation(Now);
}

Duration HealthTracker::ejectionLeft(TimePoint Now) const {
  if (State != HealthState::Ejected)
    return {};
  return std::max(Duration(), EjectedUntil - Now);
}

double HealthTracker::weight(Duration Warmup, TimePoint Now) const {
  if (State == HealthState::Ejected)
    return 0;
  if (State == HealthState::Probation)
    return ColdWeight;
  // Without traffic the endpoint's word is all there is. It lowers the share
  // of new flows, and the first results overrule it.
  if (ReportedUnhealthy && Now - LastResult > WindowLength)
    return ColdWeight;
  if (WarmupSince == TimePoint() || Now - WarmupSince >= Warmup)
    return 1;
  return ColdWeight +
         (1 - ColdWeight) * secondsOf(Now - WarmupSince) / secondsOf(Warmup);
}

} // namespace indigopoint
