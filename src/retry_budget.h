#pragma once

#include <cstdint>

#include "types.h"

namespace indigopoint {

/// Limits the retries of one service to a tenth of its requests, and to 3 a
/// second where that is more, so that retries cannot feed an overload.
class RetryBudget {
public:
  /// A request arrived.
  void onRequest(TimePoint Now);

  /// Takes one retry; false if the budget is used up.
  bool tryAcquire(TimePoint Now);

private:
  void refill(TimePoint Now, double Earned);

  /// A start with tokens lets the first failures after a restart be retried.
  double Tokens = 3;
  double Limit = 3;
  uint64_t RequestsInWindow = 0;
  TimePoint WindowStart{};
  TimePoint LastRefill{};
};

} // namespace indigopoint
