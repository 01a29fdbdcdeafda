#include "reachability.h"

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

} // namespace

void Reachability::noteAnswer(TimePoint Now) {
  LastAnswer = Now;
  PendingSince = Now;
  Refusals = 0;
  SuspectUntil = {};
  Backoff = {};
}

void Reachability::noteSilence(TimePoint Now) {
  // Several openings that were sent together tell of one silence.
  if (SuspectUntil > Now + OpenTimeout)
    return;
  Backoff = Backoff == Duration() ? FirstBackoff
                                  : std::min(Backoff * 2, LongestBackoff);
  SuspectUntil = Now + Backoff;
}

void Reachability::noteRefusal(TimePoint Now) {
  if (++Refusals >= RefusalsToSuspect)
    noteSilence(Now);
}

void Reachability::noteOpening(TimePoint Now) {
  if (Pending++ == 0)
    PendingSince = Now;
  if (Backoff != Duration())
    SuspectUntil = std::max(SuspectUntil, Now + OpenTimeout);
}

void Reachability::noteOpeningEnded() {
  if (Pending > 0)
    --Pending;
}

bool Reachability::isSuspect(TimePoint Now) const {
  return Now < SuspectUntil ||
         (Pending >= ManyPending && Now - PendingSince > PendingLimit);
}

} // namespace indigopoint
