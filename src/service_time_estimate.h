#pragma once

#include "types.h"

namespace indigopoint {

/// The measured service time of one upstream, and the wait and retry times of
/// queued and refused requests derived from it.
class ServiceTimeEstimate {
public:
  void record(Duration ServiceTime);

  /// 0 until the first answer.
  Duration mean() const { return Mean; }

  /// How long a request waits that has \p RequestsAhead requests ahead of it
  /// while all \p Limit slots are busy.
  Duration waitFor(size_t RequestsAhead, uint32_t Limit) const;

  /// The delay after which a refused request may be retried. Each call reserves
  /// a later time, so that refused callers retry at the rate at which slots
  /// become free.
  Duration nextRetryDelay(Duration Earliest, uint32_t Limit, TimePoint Now);

private:
  Duration Mean{};
  TimePoint NextRetryAt{};
};

} // namespace indigopoint
