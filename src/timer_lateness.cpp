#include "timer_lateness.h"

#include <algorithm>

namespace indigopoint {

Duration TimerLateness::overdue(TimePoint Now) const {
  return Now > DueAt ? Now - DueAt : Duration();
}

// The event loop counts from the time when the timer was due, or from its
// firing if a whole period was missed. A timer that fires early was due earlier
// than assumed.
void TimerLateness::recordFiring(TimePoint Now) {
  const Duration Lateness = overdue(Now);
  Recent[NextRecent] = Lateness;
  NextRecent = (NextRecent + 1) % RecentFirings;
  Max = std::max(Max, Lateness);
  Sum += Lateness;
  Histogram(static_cast<double>(Lateness.count()));
  DueAt = std::min(DueAt, Now) + Period;
  if (DueAt < Now)
    DueAt = Now + Period;
}

Duration TimerLateness::recentMax(TimePoint Now) const {
  return std::max(*std::max_element(Recent.begin(), Recent.end()),
                  overdue(Now));
}

} // namespace indigopoint
