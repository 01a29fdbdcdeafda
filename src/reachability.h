#pragma once

#include "types.h"

namespace indigopoint {

/// Whether one upstream answers, judged from the packets of its clients alone:
/// its answers do not pass through this instance.
class Reachability {
public:
  /// A client made progress that only an answer of the upstream explains.
  void noteAnswer(TimePoint Now);

  /// An opening packet found no answer in time.
  void noteSilence(TimePoint Now);

  /// Whether new flows should go elsewhere.
  bool isSuspect(TimePoint Now) const { return Now < SuspectUntil; }

  /// A new flow is sent there. After a suspicion it is a trial: until its
  /// outcome is known, others go elsewhere.
  void noteTrial(TimePoint Now);

  TimePoint lastAnswer() const { return LastAnswer; }

private:
  TimePoint LastAnswer{};
  TimePoint SuspectUntil{};
  Duration Backoff{};
};

/// An opening packet without an answer for this long tells of a silent
/// upstream. Clients are some milliseconds away and repeat after 200 ms.
constexpr Duration OpenTimeout = std::chrono::milliseconds(80);

} // namespace indigopoint
