#include "retry_budget.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

constexpr Duration Second = std::chrono::seconds(1);
constexpr TimePoint Start{std::chrono::seconds(1000)};

// Takes as many retries as there are at each of the requests of \p Span.
int retriesAt(RetryBudget &Budget, int RequestsPerSecond, int Seconds) {
  int Taken = 0;
  for (int Index = 0; Index < RequestsPerSecond * Seconds; ++Index) {
    const TimePoint Now = Start + Index * Second / RequestsPerSecond;
    Budget.onRequest(Now);
    while (Budget.tryAcquire(Now))
      ++Taken;
  }
  return Taken;
}

TEST(RetryBudgetTest, BusyServiceRetriesATenthOfItsRequests) {
  RetryBudget Budget;
  EXPECT_NEAR(retriesAt(Budget, 1000, 10), 1000, 10);
}

TEST(RetryBudgetTest, QuietServiceRetriesThreeASecond) {
  RetryBudget Budget;
  EXPECT_NEAR(retriesAt(Budget, 2, 100), 300, 10);
}

// Guards against a quiet hour that pays for a burst of retries.
TEST(RetryBudgetTest, UnusedRetriesDoNotAddUp) {
  RetryBudget Budget;
  Budget.onRequest(Start);
  int Taken = 0;
  while (Budget.tryAcquire(Start + 3600 * Second))
    ++Taken;
  EXPECT_EQ(Taken, 3);
}

// Guards against a burst at an owner's death that is refused although the
// service had hardly any retries before.
TEST(RetryBudgetTest, BurstMayUseOneSecondOfTheBudget) {
  RetryBudget Budget;
  for (int Index = 0; Index < 3000; ++Index)
    Budget.onRequest(Start + Index * Second / 1000);
  int Taken = 0;
  while (Budget.tryAcquire(Start + 3 * Second))
    ++Taken;
  EXPECT_NEAR(Taken, 100, 3);
}

} // namespace
} // namespace indigopoint
