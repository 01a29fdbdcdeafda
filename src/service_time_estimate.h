#pragma once

#include "types.h"

namespace indigopoint {

/// The measured service time of one upstream and what follows from it for
/// requests that have to wait.
class ServiceTimeEstimate {
public:
  void record(Duration ServiceTime);

  /// 0 until the first answer.
  Duration mean() const { return Mean; }

  /// When a request starts that has \p RequestsAhead others before it, all \p
  /// Limit slots being busy.
  Duration waitFor(size_t RequestsAhead, uint32_t Limit) const;

  /// When a refused request may come back. Each call reserves a later time,
  /// so that refused callers return at the rate at which slots get free.
  Duration reserveRetry(Duration Earliest, uint32_t Limit, TimePoint Now);

private:
  Duration Mean{};
  TimePoint NextRetryAt{};
};

} // namespace indigopoint
