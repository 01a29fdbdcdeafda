#pragma once

#include "engine_io.h"
#include "types.h"

namespace indigopoint {

enum class HealthState : uint8_t { Serving, Ejected, Probation };

/// Judges one upstream by its real traffic. Hints of its health endpoint count
/// only while there is no traffic.
class HealthTracker {
public:
  void recordSuccess(TimePoint Now);
  void recordFailure(TimePoint Now);
  void recordHealthStatus(HealthStatus Status, TimePoint Now);

  /// Starts the warm-up ramp.
  void startWarmup(TimePoint Now) { WarmupStart = Now; }

  /// Starts the ramp where a previous owner was in it.
  void resumeWarmup(uint32_t WeightPercent, Duration Warmup, TimePoint Now);

  /// The traffic calls for an ejection.
  bool isFailing(TimePoint Now) const;

  void eject(TimePoint Now);

  /// Ends an ejection early, because too many siblings are ejected.
  void startProbation(TimePoint Now);

  /// Moves on from an ejection that is over.
  void update(TimePoint Now);

  HealthState state() const { return State; }

  /// Time left of an ejection.
  Duration ejectionLeft(TimePoint Now) const;

  /// The share of a full upstream's traffic, from 0 (ejected) to 1.
  double weight(Duration Warmup, TimePoint Now) const;

private:
  struct Counts {
    double Successes = 0;
    double Failures = 0;
  };

  Counts decayedCounts(TimePoint Now) const;
  void resetTraffic(TimePoint Now);

  HealthState State = HealthState::Serving;
  Counts Window;
  TimePoint WindowUpdatedAt{};
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
