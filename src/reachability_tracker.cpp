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
  if ((!HasRetransmission && !HasOpenTimeout) ||
      Now - LastCheck < MinCheckInterval)
    return false;
  LastCheck = Now;
  return true;
}

// An accepted connection is no answer of the upstream: after a crash its
// address may belong to an upstream of another service, which ignores the
// packets of this one's flows. It only ends the reasons for a check and a
// failed verdict.
void ReachabilityTracker::recordCheckResult(bool IsAccepting, TimePoint Now,
                                            ResetCause FailureCause) {
  if (IsAccepting) {
    HasRetransmission = false;
    HasOpenTimeout = false;
    DeadUntil = {};
  } else if (LastAnswer < LastCheck) {
    // An answer since the start of the check outweighs its failure.
    DeadUntil = Now + Opts->FailedCheckLifetime;
    LastVerdict = {FailureCause, Now};
  }
}

// A check of this instance tells more of the cause than what others found.
void ReachabilityTracker::recordPeerVerdict(TimePoint Now) {
  if (!isDead(Now))
    LastVerdict = {ResetCause::AgreedByPeers, Now};
  DeadUntil = Now + Opts->FailedCheckLifetime;
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
