#pragma once

#include <ctime>

#include "clock.h"

namespace indigopoint {

/// The monotonic clock of the system. It also counts the time for which the
/// machine was suspended, since whatever is valid for a limited time runs out
/// meanwhile.
class SteadyClock : public Clock {
public:
  TimePoint now() const override {
    timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(Time.tv_sec) +
        std::chrono::nanoseconds(Time.tv_nsec)));
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
