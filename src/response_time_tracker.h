#pragma once

#include <cstdint>
#include <optional>

#include "types.h"

namespace indigopoint {

/// Average time from a request to its answer at one upstream, as seen by this
/// instance.
class ResponseTimeTracker {
public:
  void record(Duration ResponseTime, TimePoint Now);

  /// The moving average of the recent response times. Nothing if there are too
  /// few of them, or if the last one is too old.
  std::optional<Duration> recentAverage(TimePoint Now) const;

private:
  Duration Average{};
  uint32_t Samples = 0;
  TimePoint LastSample{};
};

} // namespace indigopoint
