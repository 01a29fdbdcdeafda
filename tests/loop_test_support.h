#pragma once

#include <functional>

#include "event_loop.h"
#include "steady_clock.h"

namespace indigopoint {

/// A loopback address with a port that the system chooses.
constexpr Endpoint AnyPort{0x7f000001, 0};

/// Runs \p Loop until \p Done returns true. Returns false after a timeout of
/// five seconds.
inline bool runUntil(EventLoop &Loop, const std::function<bool()> &Done) {
  const SteadyClock TimeSource;
  const TimePoint Deadline = TimeSource.now() + std::chrono::seconds(5);
  const LoopEvent Check =
      LoopEvent::every(Loop, std::chrono::milliseconds(1), [&] {
        if (Done() || TimeSource.now() > Deadline)
          Loop.stop();
      });
  Loop.run();
  return Done();
}

/// Runs \p Loop for \p Period.
inline void runFor(EventLoop &Loop, Duration Period) {
  const LoopEvent Timer = LoopEvent::after(Loop, Period, [&] { Loop.stop(); });
  Loop.run();
}

} // namespace indigopoint
