#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "event_loop.h"
#include "types.h"

namespace indigopoint::standin {

/// An event loop with any number of timers. It ends on SIGTERM, SIGINT or
/// stop().
class TimerLoop {
public:
  using Job = std::function<void()>;

  TimerLoop();
  TimerLoop(const TimerLoop &) = delete;
  TimerLoop &operator=(const TimerLoop &) = delete;

  EventLoop &eventLoop() { return Loop; }
  event_base *base() const { return Loop.base(); }
  TimePoint now() const;
  void after(Duration Delay, Job Callback);
  void every(Duration Period, Job Callback);
  void run();
  void stop();

private:
  struct PeriodicJob {
    Duration Period;
    Job Callback;
  };

  void runDueTimers();
  void armTimer();
  void schedule(PeriodicJob &Entry);

  EventLoop Loop;
  std::vector<LoopEvent> Signals;
  LoopEvent Timer;
  std::multimap<TimePoint, Job> Timers;
  std::vector<std::unique_ptr<PeriodicJob>> PeriodicJobs;
};

/// Milliseconds since the epoch, for times that processes compare.
int64_t wallClockMs();

} // namespace indigopoint::standin
