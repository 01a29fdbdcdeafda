#pragma once

#include <cstdint>

#include "types.h"

namespace indigopoint {

/// Limits the retries of one service to a tenth of its requests, and to 3 a
/// second where that is more, so that retries cannot feed an overload.
class RetryBudget {
public:
  /// Counts an arriving request, which earns a tenth of a retry.
  void onRequest(TimePoint Now);

  /// Uses one retry. Returns false if the budget is used up.
  bool tryAcquire(TimePoint Now);

private:
  void refill(TimePoint Now, double EarnedTokens);

  /// Starts above zero, so that the first failures after a restart can be
  /// retried.
  double Tokens = 3;
  double Limit = 3;
  uint64_t RequestsInWindow = 0;
  TimePoint WindowStart{};
  TimePoint LastRefill{};
};

} // namespace indigopoint
