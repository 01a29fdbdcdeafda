#pragma once

#include "engine_io.h"
#include "types.h"

namespace indigopoint {

enum class HealthState : uint8_t { Serving, Ejected, Probation };

/// Derives the health of one upstream from the results of its requests. The
/// status of its health endpoint counts only while there is no traffic.
class HealthTracker {
public:
  void recordSuccess(TimePoint Now);
  void recordFailure(TimePoint Now);
  void recordHealthStatus(HealthStatus Status, TimePoint Now);

  /// Starts the warm-up ramp.
  void startWarmup(TimePoint Now) { WarmupStart = Now; }

  /// Continues the warm-up ramp at the weight that the previous owner instance
  /// had reached.
  void resumeWarmup(uint32_t WeightPercent, Duration Warmup, TimePoint Now);

  /// Whether the results of recent requests justify an ejection.
  bool isFailing(TimePoint Now) const;

  void eject(TimePoint Now);

  /// Lets the upstream receive requests again with a reduced weight that grows
  /// during the warm-up. Also ends an ejection early if too many siblings are
  /// ejected.
  void startProbation(TimePoint Now);

  /// Starts probation when the ejection time is over.
  void endExpiredEjection(TimePoint Now);

  HealthState state() const { return State; }

  /// Remaining time of the ejection.
  Duration ejectionLeft(TimePoint Now) const;

  /// The share of the traffic of a fully warmed-up upstream, from 0 (ejected)
  /// to 1.
  double weight(Duration Warmup, TimePoint Now) const;

private:
  struct Counts {
    double Successes = 0;
    double Failures = 0;
  };

  Counts decayedCounts(TimePoint Now) const;
  void resetResultCounts(TimePoint Now);

  HealthState State = HealthState::Serving;
  /// Result counts that decay with time.
  Counts RecentResults;
  TimePoint ResultsUpdatedAt{};
  TimePoint LastResultAt{};
  uint32_t ConsecutiveFailures = 0;
  uint32_t ProbationSuccesses = 0;
  Duration LastEjectionLength{};
  TimePoint EjectedUntil{};
  TimePoint ServingSince{};
  TimePoint WarmupStart{};
  bool ReportedUnhealthy = false;
};

} // namespace indigopoint
