#pragma once

#include "types.h"

namespace indigopoint {

/// Notices that the process was paused, and says for how long no flow should be
/// opened by what was known of the store before: an upstream may have left
/// meanwhile, or a route may have changed.
class PauseGuard {
public:
  /// Called at each event of the process, several times a second. Returns
  /// whether the process was paused since the previous call.
  bool recordActivity(TimePoint Now);

  /// Whether the data of the store, confirmed at \p ConfirmedAt, may be from
  /// before the pause. False after a time without an answer: in an outage of
  /// the store, instances go on with what they know.
  bool isOutdated(TimePoint ConfirmedAt, TimePoint Now) const;

private:
  TimePoint LastActivity{};
  TimePoint ResumedAt{};
};

} // namespace indigopoint
