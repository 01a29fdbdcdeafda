#include "cost_model.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr Endpoint ChatRoute{0xc6120001, 443};
constexpr Endpoint PhotoRoute{0xc6120001, 8443};

class CostModelTest : public testing::Test {
protected:
  void record(Endpoint Route, Duration ResponseTime, int Count) {
    for (int Index = 0; Index < Count; ++Index)
      Model.record(Route, ResponseTime, Now);
  }

  // 3% of the requests take 7 times as long.
  void recordHeavyTail() {
    record(ChatRoute, 30ms, 970);
    record(ChatRoute, 210ms, 30);
  }

  CostModel Model;
  TimePoint Now{1h};
};

// Guards against costs that follow from a handful of requests after a start.
TEST_F(CostModelTest, RouteHasNoCostBeforeEnoughSamples) {
  record(ChatRoute, 30ms, 20);
  EXPECT_FALSE(Model.expectedCost(ChatRoute));
  EXPECT_FALSE(Model.meanResponseTime());
  EXPECT_EQ(Model.meanResidual(ChatRoute, 10s), 1);
}

TEST_F(CostModelTest, UnknownRouteCountsOne) {
  recordHeavyTail();
  EXPECT_FALSE(Model.expectedCost(PhotoRoute));
  EXPECT_EQ(Model.meanResidual(PhotoRoute, 10s), 1);
}

// The width of a bin is 21%, so a mean may be off by 10%.
TEST_F(CostModelTest, CostsAreRelativeToTheMeanOfAllRoutes) {
  record(ChatRoute, 20ms, 100);
  record(PhotoRoute, 60ms, 100);
  EXPECT_NEAR(*Model.expectedCost(ChatRoute), 0.5, 0.08);
  EXPECT_NEAR(*Model.expectedCost(PhotoRoute), 1.5, 0.08);
  EXPECT_NEAR(static_cast<double>(Model.meanResponseTime()->count()), 40e3,
              4e3);
}

// Guards against an exchange of a long request that counts as nearly finished
// because it has been open for longer than usual.
TEST_F(CostModelTest, ResidualOfHeavyTailRisesWithAge) {
  recordHeavyTail();
  EXPECT_NEAR(Model.meanResidual(ChatRoute, 0ms), 1, 0.01);
  EXPECT_LT(Model.meanResidual(ChatRoute, 20ms), 1);
  EXPECT_NEAR(Model.meanResidual(ChatRoute, 100ms), 110.0 / 35.4, 0.7);
}

// Guards against an unresponsive upstream whose exchanges count as idle once
// they are older than any response time.
TEST_F(CostModelTest, AgesBeyondTheDataKeepTheLastResidual) {
  recordHeavyTail();
  const double Last = Model.meanResidual(ChatRoute, 1s);
  EXPECT_GT(Last, 0);
  for (const Duration Age : {2s, 10s, 60s, 600s})
    EXPECT_DOUBLE_EQ(Model.meanResidual(ChatRoute, Age), Last);
}

// Guards against a version of a service that is judged by its predecessor.
TEST_F(CostModelTest, OldResponseTimesLoseWeight) {
  record(ChatRoute, 30ms, 100);
  Now += 10min;
  record(ChatRoute, 90ms, 100);
  EXPECT_NEAR(static_cast<double>(Model.meanResponseTime()->count()), 90e3,
              9e3);
}

// Guards against a route that keeps its cost from one busy minute although only
// few requests followed.
TEST_F(CostModelTest, RouteIsUnknownAgainWithoutRecentSamples) {
  record(ChatRoute, 30ms, 100);
  Now += 10min;
  record(ChatRoute, 30ms, 1);
  EXPECT_FALSE(Model.expectedCost(ChatRoute));
}

TEST_F(CostModelTest, ExtremeResponseTimesAreAccepted) {
  record(ChatRoute, -5ms, 50);
  record(ChatRoute, 24h, 50);
  EXPECT_GT(*Model.expectedCost(ChatRoute), 0);
  EXPECT_GE(Model.meanResidual(ChatRoute, -5ms), 0);
}

// Guards against growth by routes that come and go.
TEST_F(CostModelTest, MemoryIsBoundedAndNewRoutesReplaceUnusedOnes) {
  for (uint32_t Route = 0; Route < 3000; ++Route) {
    Now += 1s;
    record({Route, 1}, 30ms, 1);
  }
  EXPECT_EQ(Model.size(), 1024U);
  record(ChatRoute, 30ms, 60);
  EXPECT_EQ(Model.size(), 1024U);
  EXPECT_NEAR(*Model.expectedCost(ChatRoute), 1, 0.01);
}

} // namespace
} // namespace indigopoint
