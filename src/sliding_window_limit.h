#pragma once

#include <cstddef>
#include <deque>

#include "types.h"

namespace indigopoint {

/// Limits how often something happens in any window of a fixed length. Unlike a
/// token bucket, it never allows more than the limit by saving up.
class SlidingWindowLimit {
public:
  SlidingWindowLimit(size_t Limit, Duration Window)
      : Limit(Limit), Window(Window) {}

  bool isExhausted(TimePoint Now);

  /// Counts an event, also one beyond the limit.
  void record(TimePoint Now) { Events.push_back(Now); }

  /// Changes the limit. Events that were recorded still count.
  void setLimit(size_t NewLimit, Duration NewWindow);

private:
  size_t Limit;
  Duration Window;
  /// The events in the window that ends now.
  std::deque<TimePoint> Events;
};

} // namespace indigopoint
