#include "health_tracker.h"

#include <algorithm>
#include <cmath>

namespace indigopoint {

namespace {

constexpr uint32_t FailuresToEject = 5;
constexpr Duration WindowLength = std::chrono::seconds(10);

// With fewer results in the window the success rate is not meaningful.
constexpr double MinResults = 10;
constexpr double MinSuccessRate = 0.5;

constexpr Duration MinEjection = std::chrono::seconds(5);
constexpr Duration MaxEjection = std::chrono::seconds(60);

// After serving for this long, the ejection time of an upstream starts again at
// MinEjection.
constexpr Duration BackoffResetTime = std::chrono::seconds(120);

constexpr uint32_t SuccessesToServe = 3;
constexpr double ColdWeight = 0.1;

double secondsOf(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

HealthTracker::Counts HealthTracker::decayedCounts(TimePoint Now) const {
  const double Factor =
      std::exp(-secondsOf(Now - ResultsUpdatedAt) / secondsOf(WindowLength));
  return {RecentResults.Successes * Factor, RecentResults.Failures * Factor};
}

void HealthTracker::recordSuccess(TimePoint Now) {
  RecentResults = decayedCounts(Now);
  RecentResults.Successes += 1;
  ResultsUpdatedAt = LastResultAt = Now;
  ConsecutiveFailures = 0;
  if (State == HealthState::Probation &&
      ++ProbationSuccesses >= SuccessesToServe) {
    State = HealthState::Serving;
    ServingSince = Now;
    startWarmup(Now);
  }
}

void HealthTracker::recordFailure(TimePoint Now) {
  RecentResults = decayedCounts(Now);
  RecentResults.Failures += 1;
  ResultsUpdatedAt = LastResultAt = Now;
  ++ConsecutiveFailures;
}

void HealthTracker::recordHealthStatus(HealthStatus Status, TimePoint) {
  ReportedUnhealthy =
      Status == HealthStatus::Unhealthy || Status == HealthStatus::NoAnswer;
}

void HealthTracker::resumeWarmup(uint32_t WeightPercent, Duration Warmup,
                                 TimePoint Now) {
  if (WeightPercent >= 100)
    return;
  const double WarmupFraction =
      std::max(0.0, WeightPercent / 100.0 - ColdWeight) / (1 - ColdWeight);
  WarmupStart =
      Now - Duration(static_cast<int64_t>(WarmupFraction *
                                          static_cast<double>(Warmup.count())));
}

bool HealthTracker::isFailing(TimePoint Now) const {
  if (State == HealthState::Ejected)
    return false;
  if (State == HealthState::Probation)
    return ConsecutiveFailures > 0;
  if (ConsecutiveFailures >= FailuresToEject)
    return true;
  const Counts RecentCounts = decayedCounts(Now);
  const double Total = RecentCounts.Successes + RecentCounts.Failures;
  return Total >= MinResults && RecentCounts.Successes < MinSuccessRate * Total;
}

void HealthTracker::eject(TimePoint Now) {
  const bool HasRecovered =
      State == HealthState::Serving && Now - ServingSince > BackoffResetTime;
  LastEjectionLength = LastEjectionLength == Duration() || HasRecovered
                           ? MinEjection
                           : std::min(LastEjectionLength * 2, MaxEjection);
  State = HealthState::Ejected;
  EjectedUntil = Now + LastEjectionLength;
  resetResultCounts(Now);
}

void HealthTracker::resetResultCounts(TimePoint Now) {
  RecentResults = {};
  ResultsUpdatedAt = Now;
  ConsecutiveFailures = 0;
  ProbationSuccesses = 0;
}

void HealthTracker::startProbation(TimePoint Now) {
  State = HealthState::Probation;
  resetResultCounts(Now);
}

void HealthTracker::endExpiredEjection(TimePoint Now) {
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
  // Without traffic only the status of the health endpoint is available. It
  // lowers the share of new flows until the first results replace it.
  if (ReportedUnhealthy && Now - LastResultAt > WindowLength)
    return ColdWeight;
  if (WarmupStart == TimePoint() || Now - WarmupStart >= Warmup)
    return 1;
  return ColdWeight +
         (1 - ColdWeight) * secondsOf(Now - WarmupStart) / secondsOf(Warmup);
}

} // namespace indigopoint
