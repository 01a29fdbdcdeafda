#include "rate_meter.h"

#include <cmath>

namespace indigopoint {

namespace {

// A longer window gives a smaller error, a shorter one shows a change earlier.
// With this length, the error at 10 requests a second is 6%, and a change of a
// flow's rate shows long before the flow ends.
constexpr double WindowSeconds = 30;

constexpr double MinMeasuredSeconds = 5;

double secondsOf(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

void RateMeter::record(TimePoint Now) {
  if (FirstEventAt == TimePoint())
    FirstEventAt = LastEventAt = Now;
  DecayedCount =
      DecayedCount * std::exp(-secondsOf(Now - LastEventAt) / WindowSeconds) +
      1;
  LastEventAt = Now;
}

double RateMeter::perSecond(TimePoint Now) const {
  const double Age =
      FirstEventAt == TimePoint() ? 0 : secondsOf(Now - FirstEventAt);
  if (Age < MinMeasuredSeconds)
    return 0;
  const double EffectiveSeconds =
      WindowSeconds * (1 - std::exp(-Age / WindowSeconds));
  return DecayedCount *
         std::exp(-secondsOf(Now - LastEventAt) / WindowSeconds) /
         EffectiveSeconds;
}

} // namespace indigopoint
