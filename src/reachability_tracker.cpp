#include "reachability_tracker.h"

#include <algorithm>

namespace indigopoint {

namespace {

// The upstream has probably crashed if several openings have been pending for
// longer than the usual time to the client's next packet, and the upstream has
// answered nothing since the first of these openings.
constexpr uint32_t MinPendingToSuspect = 2;
constexpr Duration PendingTimeout = std::chrono::milliseconds(30);

constexpr uint32_t MinRefusalsToSuspect = 2;

// Clients also retransmit requests that take long to process, so
// retransmissions only lead to a check. In a large fleet an instance has about
// one flow at each upstream, so the first retransmission is the only early sign
// of a crash.
constexpr Duration MinTimeWithoutAnswer = std::chrono::milliseconds(200);
constexpr Duration MinCheckInterval = std::chrono::seconds(1);

} // namespace

void ReachabilityTracker::recordAnswer(TimePoint Now) {
  LastAnswer = Now;
  WaitStartedAt = Now;
  Refusals = 0;
  HasRetransmission = false;
  HasOpenTimeout = false;
  DeadUntil = {};
  AvoidedUntil = {};
  LastUnansweredCheck = {};
  SuspectUntil = {};
  Backoff = {};
}

void ReachabilityTracker::recordOpenTimeout(TimePoint Now) {
  HasOpenTimeout = true;
  // Openings that were sent together and time out together count as one
  // timeout, so that the backoff is doubled only once.
  if (SuspectUntil > Now + OpenTimeout)
    return;
  Backoff = Backoff == Duration() ? Opts->InitialBackoff
                                  : std::min(Backoff * 2, Opts->MaxBackoff);
  SuspectUntil = Now + Backoff;
}

void ReachabilityTracker::recordRefusal(TimePoint Now) {
  if (++Refusals >= MinRefusalsToSuspect)
    recordOpenTimeout(Now);
}

void ReachabilityTracker::recordRetransmission(TimePoint Now) {
  if (Now - LastAnswer >= MinTimeWithoutAnswer)
    HasRetransmission = true;
}

bool ReachabilityTracker::startCheckIfDue(TimePoint Now) {
  if ((!HasRetransmission && !HasOpenTimeout && !IsCheckRequested) ||
      Now - LastCheck < MinCheckInterval)
    return false;
  LastCheck = Now;
  IsCheckRequested = false;
  return true;
}

// An accepted connection is no answer of the upstream: after a crash its
// address may belong to an upstream of another service, which ignores the
// packets of this one's flows. It only ends the reasons for a check and a
// failed verdict.
// A refusal is the word of the upstream's machine. The lack of an answer may
// also come from a congested path or a full queue of connections, so a second
// check or another instance has to confirm it.
bool ReachabilityTracker::recordCheckResult(CheckResult Result, bool HasWitness,
                                            TimePoint Now) {
  if (Result == CheckResult::Accepted) {
    HasRetransmission = false;
    HasOpenTimeout = false;
    LastAcceptedCheck = Now;
    LastUnansweredCheck = {};
    DeadUntil = {};
    return false;
  }
  // An answer since the start of the check outweighs its failure.
  if (LastAnswer >= LastCheck)
    return false;
  const bool IsConfirmed = Result == CheckResult::Refused || HasWitness ||
                           hasUnansweredCheck(Now) || isDead(Now);
  if (Result == CheckResult::NoAnswer)
    LastUnansweredCheck = Now;
  if (IsConfirmed)
    recordVerdict(Result == CheckResult::Refused ? ResetCause::CheckRefused
                                                 : ResetCause::CheckTimedOut,
                  Now);
  else
    LastCheck = Now;
  return !IsConfirmed;
}

void ReachabilityTracker::recordWitness(TimePoint Now) {
  if (hasUnansweredCheck(Now))
    recordVerdict(ResetCause::CheckTimedOut, Now);
  else
    requestCheck();
}

void ReachabilityTracker::recordVerdict(ResetCause Cause, TimePoint Now) {
  DeadUntil = Now + Opts->FailedCheckLifetime;
  LastVerdict = {Cause, Now};
}

bool ReachabilityTracker::hasUnansweredCheck(TimePoint Now) const {
  return LastUnansweredCheck != TimePoint() &&
         Now - LastUnansweredCheck <= Opts->FailedCheckLifetime;
}

void ReachabilityTracker::recordOpening(TimePoint Now) {
  if (PendingOpenings++ == 0)
    WaitStartedAt = Now;
  if (Backoff != Duration())
    SuspectUntil = std::max(SuspectUntil, Now + OpenTimeout);
}

void ReachabilityTracker::recordOpeningEnd() {
  if (PendingOpenings > 0)
    --PendingOpenings;
}

bool ReachabilityTracker::hasOwnDoubts(TimePoint Now) const {
  return Now < SuspectUntil || (Opts->SuspectPendingOpenings &&
                                PendingOpenings >= MinPendingToSuspect &&
                                Now - WaitStartedAt > PendingTimeout);
}

} // namespace indigopoint
