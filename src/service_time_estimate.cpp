#include "service_time_estimate.h"

#include <algorithm>

namespace indigopoint {

namespace {

// Weight of one answer: 2 slots of 100 ms see a change within about 1 s.
constexpr int64_t SampleDivisor = 10;

// Retry times of callers beyond this are not told apart; the load may be
// anywhere by then.
constexpr Duration MaxRetry = std::chrono::seconds(5);

// Before the first answer there is no measured time to derive a retry from.
constexpr Duration UnmeasuredRetry = std::chrono::milliseconds(100);

} // namespace

void ServiceTimeEstimate::record(Duration Taken) {
  Mean = Mean == Duration() ? Taken : Mean + (Taken - Mean) / SampleDivisor;
}

Duration ServiceTimeEstimate::waitFor(size_t Ahead, uint32_t Limit) const {
  return Mean * static_cast<int64_t>(Ahead + 1) /
         static_cast<int64_t>(std::max(Limit, 1U));
}

Duration ServiceTimeEstimate::reserveRetry(Duration Earliest, uint32_t Limit,
                                           TimePoint Now) {
  const Duration Step =
      Mean == Duration() ? UnmeasuredRetry : waitFor(0, Limit);
  NextRoom = std::max(NextRoom + Step, Now + std::max(Earliest, Step));
  NextRoom = std::min(NextRoom, Now + MaxRetry);
  return NextRoom - Now;
}

} // namespace indigopoint
