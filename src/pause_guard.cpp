#include "pause_guard.h"

namespace indigopoint {

namespace {

// The process has an event every quarter of a second. On a machine with little
// processor time, events can be late by some hundred milliseconds.
constexpr Duration MinPause = std::chrono::seconds(1);

// Data confirmed this long ago is as new as without a pause.
constexpr Duration MaxAge = std::chrono::seconds(1);

// Clients repeat an opening after 200 and 600 ms.
constexpr Duration MaxWait = std::chrono::milliseconds(500);

} // namespace

bool PauseGuard::recordActivity(TimePoint Now) {
  const bool WasPaused =
      LastActivity != TimePoint() && Now - LastActivity >= MinPause;
  LastActivity = Now;
  if (WasPaused)
    ResumedAt = Now;
  return WasPaused;
}

bool PauseGuard::isOutdated(TimePoint ConfirmedAt, TimePoint Now) const {
  return ResumedAt != TimePoint() && Now - ResumedAt < MaxWait &&
         ConfirmedAt < ResumedAt - MaxAge;
}

} // namespace indigopoint
