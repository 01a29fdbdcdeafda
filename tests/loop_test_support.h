#pragma once

#include <functional>

#include "event_loop.h"
#include "steady_clock.h"

namespace indigopoint {

constexpr Endpoint AnyPort{0x7f000001, 0};

/// Runs \p Loop until \p Done holds. Returns false after five seconds.
inline bool runUntil(EventLoop &Loop, const std::function<bool()> &Done) {
  const SteadyClock TimeSource;
  const TimePoint End = TimeSource.now() + std::chrono::seconds(5);
  const LoopEvent Check =
      LoopEvent::every(Loop, std::chrono::milliseconds(1), [&] {
        if (Done() || TimeSource.now() > End)
          Loop.stop();
      });
  Loop.run();
  return Done();
}

/// Runs \p Loop for \p Time.
inline void runFor(EventLoop &Loop, Duration Time) {
  const LoopEvent End = LoopEvent::after(Loop, Time, [&] { Loop.stop(); });
  Loop.run();
}

} // namespace indigopoint
