#include "reachability_tracker.h"

#include <algorithm>

namespace indigopoint {

namespace {

constexpr Duration FirstBackoff = std::chrono::seconds(1);
constexpr Duration LongestBackoff = std::chrono::seconds(8);

// Several openings that wait longer than clients usually take, and no answer
// since the first of them, look like a crash.
constexpr uint32_t ManyPending = 2;
constexpr Duration PendingLimit = std::chrono::milliseconds(30);

constexpr uint32_t RefusalsToSuspect = 2;

// Requests that take long are repeated as well, so repeats only lead to a
// check.
constexpr uint32_t RepeatsToCheck = 2;
constexpr Duration QuietToCheck = std::chrono::milliseconds(200);
constexpr Duration CheckPeriod = std::chrono::seconds(1);

// A verdict is renewed by the next check; until then the upstream may be back.
constexpr Duration DeadTime = std::chrono::milliseconds(1500);

} // namespace

void ReachabilityTracker::recordAnswer(TimePoint Now) {
  LastAnswer = Now;
  PendingSince = Now;
  Refusals = 0;
  Repeats = 0;
  Silent = false;
  DeadUntil = {};
  SuspectUntil = {};
  Backoff = {};
}

void ReachabilityTracker::recordOpenTimeout(TimePoint Now) {
  Silent = true;
  // Several openings that were sent together tell of one silence.
  if (SuspectUntil > Now + OpenTimeout)
    return;
  Backoff = Backoff == Duration() ? FirstBackoff
                                  : std::min(Backoff * 2, LongestBackoff);
  SuspectUntil = Now + Backoff;
}

void ReachabilityTracker::recordRefusal(TimePoint Now) {
  if (++Refusals >= RefusalsToSuspect)
    recordOpenTimeout(Now);
}

void ReachabilityTracker::recordRetransmission(TimePoint Now) {
  if (Now - LastAnswer >= QuietToCheck)
    ++Repeats;
}

bool ReachabilityTracker::startCheckIfDue(TimePoint Now) {
  if ((Repeats < RepeatsToCheck && !Silent) || Now - CheckedAt < CheckPeriod)
    return false;
  CheckedAt = Now;
  return true;
}

void ReachabilityTracker::recordCheckResult(bool IsAccepting, TimePoint Now) {
  // An answer that came meanwhile says more than a check.
  if (IsAccepting)
    recordAnswer(Now);
  else if (LastAnswer < CheckedAt)
    DeadUntil = Now + DeadTime;
}

void ReachabilityTracker::recordOpening(TimePoint Now) {
  if (Pending++ == 0)
    PendingSince = Now;
  if (Backoff != Duration())
    SuspectUntil = std::max(SuspectUntil, Now + OpenTimeout);
}

void ReachabilityTracker::recordOpeningEnd() {
  if (Pending > 0)
    --Pending;
}

bool ReachabilityTracker::isSuspect(TimePoint Now) const {
  return Now < SuspectUntil || isDead(Now) ||
         (Pending >= ManyPending && Now - PendingSince > PendingLimit);
}

} // namespace indigopoint
