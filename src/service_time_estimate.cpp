#include "service_time_estimate.h"

#include <algorithm>

namespace indigopoint {

namespace {

// Inverse weight of one answer. With 2 slots and a service time of 100 ms the
// mean follows a change within about 1 s.
constexpr int64_t SampleDivisor = 10;

// Upper bound of the retry delay. The load at a later time cannot be predicted,
// so callers that would get a longer delay all get this one.
constexpr Duration MaxRetryDelay = std::chrono::seconds(5);

// Used before the first answer, when no service time has been measured.
constexpr Duration DefaultRetryDelay = std::chrono::milliseconds(100);

} // namespace

void ServiceTimeEstimate::record(Duration ServiceTime) {
  Mean = Mean == Duration() ? ServiceTime
                            : Mean + (ServiceTime - Mean) / SampleDivisor;
}

Duration ServiceTimeEstimate::waitFor(size_t RequestsAhead,
                                      uint32_t Limit) const {
  return Mean * static_cast<int64_t>(RequestsAhead + 1) /
         static_cast<int64_t>(std::max(Limit, 1U));
}

Duration ServiceTimeEstimate::nextRetryDelay(Duration Earliest, uint32_t Limit,
                                             TimePoint Now) {
  const Duration SlotInterval =
      Mean == Duration() ? DefaultRetryDelay : waitFor(0, Limit);
  NextRetryAt = std::max(NextRetryAt + SlotInterval,
                         Now + std::max(Earliest, SlotInterval));
  NextRetryAt = std::min(NextRetryAt, Now + MaxRetryDelay);
  return NextRetryAt - Now;
}

} // namespace indigopoint
