#include "retry_budget.h"

#include <algorithm>

namespace indigopoint {

namespace {

constexpr double RetriesPerRequest = 0.1;
constexpr double MinRetriesPerSecond = 3;
constexpr Duration Window = std::chrono::seconds(1);

double secondsOf(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

void RetryBudget::onRequest(TimePoint Now) {
  ++RequestsInWindow;
  refill(Now, RetriesPerRequest);
}

bool RetryBudget::tryAcquire(TimePoint Now) {
  refill(Now, 0);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

// Unused tokens are limited to the number that is earned in one second at the
// last request rate.
// Without the limit, an hour with few requests would permit a burst of retries.
void RetryBudget::refill(TimePoint Now, double EarnedTokens) {
  if (Now - WindowStart >= Window) {
    const double Rate = static_cast<double>(RequestsInWindow) /
                        std::max(1.0, secondsOf(Now - WindowStart));
    Limit = std::max(MinRetriesPerSecond, Rate * RetriesPerRequest);
    RequestsInWindow = 0;
    WindowStart = Now;
  }
  const double TokensByTime = MinRetriesPerSecond * secondsOf(Now - LastRefill);
  LastRefill = Now;
  Tokens = std::min(Tokens + std::max(EarnedTokens, TokensByTime),
                    std::max(Limit, MinRetriesPerSecond));
}

} // namespace indigopoint
