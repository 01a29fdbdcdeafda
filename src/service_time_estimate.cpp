#include "service_time_estimate.h"

#include <algorithm>

namespace indigopoint {

namespace {

// Weight of one answer: 2 slots of 100 ms see a change within about 1 s.
constexpr int64_t SampleDivisor = 10;

// Retry times of callers beyond this are not told apart; the load may be
// anywhere by then.
constexpr Duration MaxRetryDelay = std::chrono::seconds(5);

// Before the first answer there is no measured time to derive a retry from.
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

Duration ServiceTimeEstimate::reserveRetry(Duration Earliest, uint32_t Limit,
                                           TimePoint Now) {
  const Duration SlotInterval =
      Mean == Duration() ? DefaultRetryDelay : waitFor(0, Limit);
  NextRetryAt = std::max(NextRetryAt + SlotInterval,
                         Now + std::max(Earliest, SlotInterval));
  NextRetryAt = std::min(NextRetryAt, Now + MaxRetryDelay);
  return NextRetryAt - Now;
}

} // namespace indigopoint
