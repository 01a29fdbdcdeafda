#pragma once

#include "types.h"

namespace indigopoint {

/// Whether one upstream answers, judged from the packets of its clients alone:
/// its answers do not pass through this instance.
class ReachabilityTracker {
public:
  /// A client made progress that only an answer of the upstream explains.
  void recordAnswer(TimePoint Now);

  /// An opening packet found no answer in time.
  void recordOpenTimeout(TimePoint Now);

  /// A client whose opening packet was sent there opens another flow instead
  /// of going on: it was refused. The second time in a row counts as silence.
  void recordRefusal(TimePoint Now);

  /// An opening packet is sent there. After a suspicion it is a trial: until
  /// its outcome is known, others go elsewhere.
  void recordOpening(TimePoint Now);

  /// The outcome of an opening is known, or it does not count any more.
  void recordOpeningEnd();

  /// A client of an open flow repeats data that nothing answered.
  void recordRetransmission(TimePoint Now);

  /// Whether a check of the upstream is called for: several clients wait in
  /// vain, or an opening found no answer. Asks at most once a second.
  bool startCheckIfDue(TimePoint Now);

  /// The outcome of a check: whether the upstream accepts connections.
  void recordCheckResult(bool IsAccepting, TimePoint Now);

  /// Whether new flows should go elsewhere.
  bool isSuspect(TimePoint Now) const;

  /// Whether a check failed lately and nothing answered since. Clients of its
  /// open flows wait in vain.
  bool isDead(TimePoint Now) const { return Now < DeadUntil; }

  TimePoint lastAnswer() const { return LastAnswer; }

private:
  TimePoint LastAnswer{};
  TimePoint SuspectUntil{};
  Duration Backoff{};
  uint32_t Refusals = 0;
  /// Openings whose outcome is not known, and since when there are any without
  /// an answer in between.
  uint32_t Pending = 0;
  TimePoint PendingSince{};
  /// Repeats of clients since the last answer.
  uint32_t Repeats = 0;
  bool Silent = false;
  TimePoint CheckedAt{};
  TimePoint DeadUntil{};
};

/// An opening packet without an answer for this long tells of a silent
/// upstream. Clients are some milliseconds away and repeat after 200 ms.
constexpr Duration OpenTimeout = std::chrono::milliseconds(80);

} // namespace indigopoint
