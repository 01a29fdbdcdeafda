#pragma once

#include "clock.h"

namespace indigopoint {

/// A clock that advances only when a test sets it.
class ManualClock : public Clock {
public:
  TimePoint now() const override { return Now; }
  void advance(Duration Length) { Now += Length; }

  /// Long after the epoch, so that past times differ from TimePoint(), which
  /// means that no time is set.
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace indigopoint
