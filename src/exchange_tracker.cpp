#include "exchange_tracker.h"

namespace indigopoint {

// Exchanges of the process before a restart end without an entry; one of the
// new process that began at the same time must stay.
void ExchangeTracker::end(TimePoint StartedAt) {
  if (StartedAt < ResetAt)
    return;
  if (const auto It = Starts.find(StartedAt); It != Starts.end())
    Starts.erase(It);
}

void ExchangeTracker::reset(TimePoint Now) {
  Starts.clear();
  ResetAt = Now;
}

std::optional<Duration> ExchangeTracker::oldestAge(TimePoint Now) const {
  if (Starts.empty())
    return std::nullopt;
  return Now - *Starts.begin();
}

} // namespace indigopoint
