#include "responsiveness_tracker.h"

#include <algorithm>

namespace indigopoint {

namespace {

// Limits the backoff to four times the first one, so that a recovered upstream
// gets flows again.
constexpr uint32_t MaxDoublings = 2;

// An upstream that answers only some of its requests also answers some trials,
// so an answer does not end the backoff.
constexpr Duration BackoffLifetime = std::chrono::seconds(10);

// A client may also give up a single request for reasons of its own.
constexpr uint32_t MinUnansweredExchanges = 2;

} // namespace

void ResponsivenessTracker::reset(TimePoint Now) {
  *this = ResponsivenessTracker();
  ResetAt = Now;
}

bool ResponsivenessTracker::recordOverdueExchange(TimePoint StartedAt,
                                                  TimePoint Now,
                                                  Duration InitialBackoff) {
  // Exchanges that were open together count as one failure, so that the backoff
  // is doubled only once.
  if (StartedAt < ResetAt || StartedAt < EvidenceAt)
    return false;
  const bool IsRepeated =
      EvidenceAt != TimePoint() && Now - EvidenceAt <= BackoffLifetime;
  Doublings = IsRepeated ? std::min(Doublings + 1, MaxDoublings) : 0;
  EvidenceAt = Now;
  EvidenceStartedAt = StartedAt;
  AvoidUntil = Now + InitialBackoff * (1U << Doublings);
  UnansweredInRow = 0;
  NeedsTrial = true;
  return true;
}

bool ResponsivenessTracker::recordUnansweredExchange(TimePoint StartedAt,
                                                     TimePoint Now,
                                                     Duration InitialBackoff) {
  if (StartedAt < ResetAt || StartedAt < EvidenceAt ||
      ++UnansweredInRow < MinUnansweredExchanges)
    return false;
  return recordOverdueExchange(StartedAt, Now, InitialBackoff);
}

void ResponsivenessTracker::recordAnswer(TimePoint StartedAt, TimePoint Now) {
  if (StartedAt < ResetAt)
    return;
  LastAnswer = Now;
  UnansweredInRow = 0;
  PeerEvidenceUntil = {};
  // A request that took long was no failure. Such requests occur at all
  // upstreams and would make most of them unresponsive under high load.
  const bool IsEvidenceVoid = StartedAt == EvidenceStartedAt;
  if (IsEvidenceVoid)
    EvidenceAt = {};
  if (!IsEvidenceVoid && StartedAt < EvidenceAt)
    return;
  AvoidUntil = {};
  NeedsTrial = false;
}

void ResponsivenessTracker::recordOpening(TimePoint Now, Duration TrialTime) {
  if (NeedsTrial)
    AvoidUntil = std::max(AvoidUntil, Now + TrialTime);
}

// After the evidence of other instances has expired, all of them would send
// their next flow to the upstream, since it has the fewest.
void ResponsivenessTracker::setPeerEvidence(TimePoint Until, TimePoint Now) {
  PeerEvidenceUntil = Until;
  if (Now < Until)
    NeedsTrial = true;
}

} // namespace indigopoint
