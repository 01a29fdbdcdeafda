#pragma once

#include <cstdint>

#include "types.h"

namespace indigopoint {

/// Tracks whether one upstream leaves requests unanswered although it accepts
/// flows. Unlike a suspect or dead upstream, an unresponsive one may answer
/// other requests, so it is only ranked behind others for new flows.
class ResponsivenessTracker {
public:
  /// Forgets everything about the upstream, which was restarted at \p Now.
  void reset(TimePoint Now);

  /// Records that an exchange has been open for too long. The upstream is
  /// avoided for \p InitialBackoff after the first evidence, and longer after
  /// more. Returns whether this is new evidence, which the exchange of an
  /// earlier process or one that began before the last evidence is not.
  bool recordOverdueExchange(TimePoint StartedAt, TimePoint Now,
                             Duration InitialBackoff);

  /// Records that an exchange ended without an answer at the client's time
  /// limit. Several of them in a row are evidence. Returns whether there is new
  /// evidence.
  bool recordUnansweredExchange(TimePoint StartedAt, TimePoint Now,
                                Duration InitialBackoff);

  /// Records the answer to an exchange.
  void recordAnswer(TimePoint StartedAt, TimePoint Now);

  /// Called when an opening packet is sent to this upstream. If the upstream
  /// has been unresponsive and has not answered since, the flow is a trial: for
  /// \p TrialTime, new flows go to others.
  void recordOpening(TimePoint Now, Duration TrialTime);

  /// Sets how long the evidence of other instances counts; a time in the past
  /// withdraws it.
  void setPeerEvidence(TimePoint Until, TimePoint Now);

  /// Sets whether the evidence of this instance is disregarded because it has
  /// such evidence of too many upstreams.
  void setOverLimit(bool Value) { IsOverLimit = Value; }

  /// Whether new flows should go to other upstreams.
  bool isUnresponsive(TimePoint Now) const {
    return (hasOwnEvidence(Now) && !IsOverLimit) || Now < PeerEvidenceUntil;
  }

  /// Whether this instance itself has evidence, or waits for the outcome of a
  /// trial.
  bool hasOwnEvidence(TimePoint Now) const { return Now < AvoidUntil; }

  /// The time of the last evidence of this instance.
  TimePoint lastEvidence() const { return EvidenceAt; }

  /// Whether the next new flow is a trial.
  bool needsTrial() const { return NeedsTrial; }

  /// The time of the last answer to a request.
  TimePoint lastAnswer() const { return LastAnswer; }

  /// Whether evidence from \p Origin is older than the last answer or restart.
  bool isOutdated(TimePoint Origin) const {
    return Origin <= LastAnswer || Origin <= ResetAt;
  }

private:
  TimePoint ResetAt{};
  TimePoint LastAnswer{};
  TimePoint EvidenceAt{};
  /// When the exchange began that is the last evidence.
  TimePoint EvidenceStartedAt{};
  TimePoint AvoidUntil{};
  TimePoint PeerEvidenceUntil{};
  /// Number of times that the backoff was doubled.
  uint32_t Doublings = 0;
  uint32_t UnansweredInRow = 0;
  bool NeedsTrial = false;
  bool IsOverLimit = false;
};

} // namespace indigopoint
