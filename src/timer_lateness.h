#pragma once

#include <array>
#include <cstddef>

#include "metrics.h"
#include "types.h"

namespace indigopoint {

/// Measures how late a periodic timer fires. A process that gets no processor
/// time, or was paused, fires late; one whose network is silent does not.
class TimerLateness {
public:
  explicit TimerLateness(Duration Period) : Period(Period) {}

  /// Called each time the timer fires.
  void recordFiring(TimePoint Now);

  /// The longest lateness of the last firings, including one that is overdue.
  Duration recentMax(TimePoint Now) const;

  /// The longest lateness since the start.
  Duration max() const { return Max; }

  const LatencyHistogram &histogram() const { return Histogram; }
  /// Sum of the values in the histogram.
  Duration sum() const { return Sum; }

private:
  static constexpr size_t RecentFirings = 20;

  Duration overdue(TimePoint Now) const;

  Duration Period;
  /// When the timer fires next; unknown before it has fired.
  TimePoint DueAt = TimePoint::max();
  /// Latenesses of the last firings, overwritten in turn.
  std::array<Duration, RecentFirings> Recent{};
  size_t NextRecent = 0;
  Duration Max{};
  Duration Sum{};
  LatencyHistogram Histogram = makeLatencyHistogram();
};

} // namespace indigopoint
