#include "reachability.h"

#include <algorithm>

namespace indigopoint {

namespace {

constexpr Duration FirstBackoff = std::chrono::seconds(1);
constexpr Duration LongestBackoff = std::chrono::seconds(8);

} // namespace

void Reachability::noteAnswer(TimePoint Now) {
  LastAnswer = Now;
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

void Reachability::noteTrial(TimePoint Now) {
  if (Backoff != Duration())
    SuspectUntil = std::max(SuspectUntil, Now + OpenTimeout);
}

} // namespace indigopoint
