#include "timer_loop.h"

#include <algorithm>
#include <csignal>

namespace indigopoint::standin {

using std::chrono::duration_cast;

TimerLoop::TimerLoop() {
  for (const int Number : {SIGTERM, SIGINT})
    Signals.push_back(LoopEvent::onSignal(Loop, Number, [this] { stop(); }));
}

TimePoint TimerLoop::now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

void TimerLoop::after(Duration Delay, Job Callback) {
  const auto It = Timers.emplace(now() + Delay, std::move(Callback));
  if (It == Timers.begin())
    armTimer();
}

void TimerLoop::every(Duration Period, Job Callback) {
  PeriodicJobs.push_back(
      std::make_unique<PeriodicJob>(PeriodicJob{Period, std::move(Callback)}));
  schedule(*PeriodicJobs.back());
}

void TimerLoop::schedule(PeriodicJob &Entry) {
  after(Entry.Period, [this, &Entry] {
    Entry.Callback();
    schedule(Entry);
  });
}

void TimerLoop::armTimer() {
  if (Timers.empty())
    return;
  const Duration Remaining =
      std::max(Duration(0), Timers.begin()->first - now());
  Timer = LoopEvent::after(Loop, Remaining, [this] { runDueTimers(); });
}

void TimerLoop::runDueTimers() {
  // Timers added by a job wait for the next round, so that a job that adds a
  // timer without delay does not starve the sockets.
  const TimePoint Now = now();
  std::vector<Job> Due;
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    Due.push_back(std::move(Timers.begin()->second));
    Timers.erase(Timers.begin());
  }
  for (const Job &Callback : Due)
    Callback();
  armTimer();
}

void TimerLoop::run() { Loop.run(); }

void TimerLoop::stop() { Loop.stop(); }

int64_t wallClockMs() {
  return duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace indigopoint::standin
