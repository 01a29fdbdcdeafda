#pragma once

#include "policy_options.h"
#include "reset_evidence.h"
#include "types.h"

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
  /// the check. A check is due after a retransmission or a timed-out opening,
  /// at most once a second.
  bool startCheckIfDue(TimePoint Now);

  /// Records whether a check found that the upstream accepts connections, and
  /// if not, how it failed.
  void recordCheckResult(bool IsAccepting, TimePoint Now,
                         ResetCause FailureCause);

  /// Records that other instances found that the upstream has stopped.
  void recordPeerVerdict(TimePoint Now);

  /// Whether new flows should go to other upstreams.
  bool isSuspect(TimePoint Now) const {
    return hasOwnDoubts(Now) || isDead(Now);
  }

  /// Whether openings of this instance were left unanswered.
  bool hasOwnDoubts(TimePoint Now) const;

  /// Whether a check failed recently and the upstream has not answered since.
  /// The upstream is then assumed to have stopped, and its open flows are
  /// reset. A suspect upstream keeps its open flows, but new flows avoid it.
  bool isDead(TimePoint Now) const { return Now < DeadUntil; }

  /// Why the upstream was last found dead, and when.
  struct Verdict {
    ResetCause Cause = ResetCause::CheckTimedOut;
    TimePoint FoundAt{};
  };
  const Verdict &lastVerdict() const { return LastVerdict; }

  TimePoint lastAnswer() const { return LastAnswer; }

private:
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
  TimePoint LastCheck{};
  TimePoint DeadUntil{};
  Verdict LastVerdict;
};

/// An upstream that does not answer an opening packet within this time is
/// unresponsive. Clients have a round-trip time of some milliseconds and
/// retransmit after 200 ms.
constexpr Duration OpenTimeout = std::chrono::milliseconds(80);

} // namespace indigopoint
