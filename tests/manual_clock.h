#pragma once

#include "clock.h"

namespace indigopoint {

/// A clock that moves only when a test moves it.
class ManualClock : public Clock {
public:
  TimePoint now() const override { return Now; }
  void advance(Duration By) { Now += By; }

  /// Long after the epoch, so that times in the past can be told from none.
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace indigopoint
