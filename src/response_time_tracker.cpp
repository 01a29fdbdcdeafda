#include "response_time_tracker.h"

#include <algorithm>

namespace indigopoint {

namespace {

// The weight of a new response time is 1 / Weight.
constexpr int Weight = 4;

// Response times differ widely between requests, so fewer say little about the
// upstream.
constexpr uint32_t MinSamples = 3;

// An upstream that turned slow may have recovered after this time. Without an
// average it gets new flows again, which measure it anew.
constexpr Duration SampleLifetime = std::chrono::seconds(3);

} // namespace

void ResponseTimeTracker::record(Duration ResponseTime, TimePoint Now) {
  if (Now - LastSample > SampleLifetime)
    Samples = 0;
  const int Divisor = std::min<int>(static_cast<int>(++Samples), Weight);
  Average += (ResponseTime - Average) / Divisor;
  LastSample = Now;
}

std::optional<Duration>
ResponseTimeTracker::recentAverage(TimePoint Now) const {
  if (Samples < MinSamples || Now - LastSample > SampleLifetime)
    return std::nullopt;
  return Average;
}

} // namespace indigopoint
