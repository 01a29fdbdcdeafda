#include "retry_budget.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

constexpr Duration Second = std::chrono::seconds(1);
constexpr TimePoint Start{std::chrono::seconds(1000)};

// Sends requests at a constant rate, uses all available retries after each
// request and returns the number of retries.
int countRetries(RetryBudget &Budget, int RequestsPerSecond, int Seconds) {
  int Retries = 0;
  for (int Index = 0; Index < RequestsPerSecond * Seconds; ++Index) {
    const TimePoint Now = Start + Index * Second / RequestsPerSecond;
    Budget.onRequest(Now);
    while (Budget.tryAcquire(Now))
      ++Retries;
  }
  return Retries;
}

TEST(RetryBudgetTest, BusyServiceRetriesATenthOfItsRequests) {
  RetryBudget Budget;
  EXPECT_NEAR(countRetries(Budget, 1000, 10), 1000, 10);
}

TEST(RetryBudgetTest, QuietServiceRetriesThreeASecond) {
  RetryBudget Budget;
  EXPECT_NEAR(countRetries(Budget, 2, 100), 300, 10);
}

// Guards against a burst of retries after an hour without requests.
TEST(RetryBudgetTest, UnusedRetriesDoNotAccumulate) {
  RetryBudget Budget;
  Budget.onRequest(Start);
  int Retries = 0;
  while (Budget.tryAcquire(Start + 3600 * Second))
    ++Retries;
  EXPECT_EQ(Retries, 3);
}

// Guards against refusing the burst of retries that follows the death of an
// owner, although the service had hardly any retries before.
TEST(RetryBudgetTest, BurstMayUseOneSecondOfTheBudget) {
  RetryBudget Budget;
  for (int Index = 0; Index < 3000; ++Index)
    Budget.onRequest(Start + Index * Second / 1000);
  int Retries = 0;
  while (Budget.tryAcquire(Start + 3 * Second))
    ++Retries;
  EXPECT_NEAR(Retries, 100, 3);
}

} // namespace
} // namespace indigopoint
