#pragma once

#include "clock.h"

namespace indigopoint {

/// The monotonic clock of the system.
class SteadyClock : public Clock {
public:
  TimePoint now() const override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
};

/// The monotonic clock, refreshed once per event: engine components query the
/// time several times per datagram, and all code that handles one event should
/// see the same time.
class EventClock : public Clock {
public:
  TimePoint now() const override { return CachedTime; }
  void refresh() { CachedTime = SteadyClock().now(); }

private:
  TimePoint CachedTime = SteadyClock().now();
};

} // namespace indigopoint
