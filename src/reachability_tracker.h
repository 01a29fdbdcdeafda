#pragma once

#include "check_result.h"
#include "policy_options.h"
#include "reset_evidence.h"
#include "types.h"
#include <algorithm>

namespace indigopoint {

/// Tracks whether one upstream answers. The answers do not pass through this
/// instance, so they are inferred from the packets of the upstream's clients.
class ReachabilityTracker {
public:
  /// \p Opts must outlive the tracker.
  explicit ReachabilityTracker(const ReachabilityOptions &Opts) : Opts(&Opts) {}

  /// Forgets everything about the upstream, which was restarted.
  void reset() { *this = ReachabilityTracker(*Opts); }

  /// Called when a client's packet shows that the upstream has answered.
  void recordAnswer(TimePoint Now);

  /// Called when an opening packet was not answered within OpenTimeout.
  void recordOpenTimeout(TimePoint Now);

  /// Called when a client whose opening packet was sent to this upstream opens
  /// another flow instead of continuing, which means that it was refused. From
  /// the second refusal in a row, each counts as a timeout.
  void recordRefusal(TimePoint Now);

  /// Called when an opening packet is sent to this upstream. If the upstream
  /// has been suspect since its last answer, the flow is a trial: until its
  /// outcome is known, the upstream is suspect and new flows go to others.
  void recordOpening(TimePoint Now);

  /// Called when the outcome of an opening is known or no longer matters.
  void recordOpeningEnd();

  /// Called when a client of an open flow retransmits unacknowledged data.
  void recordRetransmission(TimePoint Now);

  /// Returns whether to check the upstream now, and if so records the start of
  /// the check. A check is due after a retransmission, a timed-out opening or
  /// a request for it, at most once a second.
  bool startCheckIfDue(TimePoint Now);

  /// Records what a check of this instance found. \p HasWitness: a check of
  /// another instance failed as well since the upstream's last answer. Returns
  /// whether the check has to be repeated at once, since nothing else confirms
  /// its failure.
  bool recordCheckResult(CheckResult Result, bool HasWitness, TimePoint Now);

  /// Records that the check of another instance failed. It confirms a failed
  /// check of this instance, and else is a reason for one.
  void recordWitness(TimePoint Now);

  /// Records that other instances and the silence of the whole zone confirm
  /// each other.
  void recordSilence(TimePoint Now) {
    recordVerdict(ResetCause::ZoneSilent, Now);
  }

  /// Makes a check due even without silence of this upstream; also called if a
  /// check told nothing, since its reference failed as well.
  void requestCheck() { IsCheckRequested = true; }
  bool isCheckRequested() const { return IsCheckRequested; }

  /// Records that other instances found that the upstream has stopped: new
  /// flows avoid it.
  void recordPeerVerdict(TimePoint Now) {
    AvoidedUntil = Now + Opts->FailedCheckLifetime;
  }

  /// Whether new flows should go to other upstreams.
  bool isSuspect(TimePoint Now) const {
    return hasOwnDoubts(Now) || Now < AvoidedUntil || isDead(Now);
  }

  /// Whether openings of this instance were left unanswered.
  bool hasOwnDoubts(TimePoint Now) const;

  /// Whether it was confirmed recently that the upstream has stopped, and it
  /// has not answered since. Its open flows are then reset. A
  /// suspect upstream keeps its open flows, but new flows avoid it.
  bool isDead(TimePoint Now) const { return Now < DeadUntil; }

  /// Why the upstream was last found dead, and when.
  struct Verdict {
    ResetCause Cause = ResetCause::CheckTimedOut;
    TimePoint FoundAt{};
  };
  const Verdict &lastVerdict() const { return LastVerdict; }

  TimePoint lastAnswer() const { return LastAnswer; }

  /// The last answer or accepted check. Older reports of others are outdated.
  TimePoint lastSignOfLife() const {
    return std::max(LastAnswer, LastAcceptedCheck);
  }

private:
  bool hasUnansweredCheck(TimePoint Now) const;
  void recordVerdict(ResetCause Cause, TimePoint Now);

  const ReachabilityOptions *Opts;
  TimePoint LastAnswer{};
  TimePoint SuspectUntil{};
  Duration Backoff{};
  uint32_t Refusals = 0;
  /// Number of openings whose outcome is not known yet.
  uint32_t PendingOpenings = 0;
  /// When the current wait for an answer started: when the first of these
  /// openings was sent, or at the last answer after it.
  TimePoint WaitStartedAt{};
  /// Whether a client has retransmitted data since the last answer.
  bool HasRetransmission = false;
  bool HasOpenTimeout = false;
  /// Whether a check was requested since the last one.
  bool IsCheckRequested = false;
  /// The start of the latest check.
  TimePoint LastCheck{};
  TimePoint LastAcceptedCheck{};
  /// When a check was left without an answer; not set if the upstream has
  /// answered since.
  TimePoint LastUnansweredCheck{};
  /// Until when the word of other instances counts.
  TimePoint AvoidedUntil{};
  TimePoint DeadUntil{};
  Verdict LastVerdict;
};

/// An upstream that does not answer an opening packet within this time is
/// unresponsive. Clients have a round-trip time of some milliseconds and
/// retransmit after 200 ms.
constexpr Duration OpenTimeout = std::chrono::milliseconds(80);

} // namespace indigopoint
