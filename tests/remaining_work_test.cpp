#include "remaining_work.h"

#include <limits>

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr Endpoint ChatRoute{0xc6120001, 443};
constexpr Endpoint FirstPeer{1, 1};
constexpr Endpoint SecondPeer{2, 1};
constexpr UpstreamProcess First{UpstreamId(1), 1000};
constexpr UpstreamProcess FirstAfterRestart{UpstreamId(1), 2000};
constexpr UpstreamProcess Second{UpstreamId(2), 1000};

class RemainingWorkTest : public testing::Test {
protected:
  void learn() {
    for (int Index = 0; Index < 1000; ++Index)
      Costs.record(ChatRoute, Index % 33 == 0 ? 210ms : 30ms, Now);
  }

  void report(double Reported, Duration Age = 0ms, Endpoint Peer = FirstPeer,
              const UpstreamProcess &Target = First) {
    Work.recordReport({Target, Peer, Reported, Now - Age});
  }

  CostModel Costs;
  RemainingWork Work{Costs};
  TimePoint Now{1h};
};

TEST_F(RemainingWorkTest, OpenExchangesCountOneBeforeTheCostsAreKnown) {
  Work.start(First, ChatRoute, Now - 5s);
  Work.start(First, ChatRoute, Now);
  EXPECT_EQ(Work.ownWork(First, Now), 2);
  EXPECT_EQ(Work.ownWork(Second, Now), 0);
}

// Guards against a long request that counts the same as a new one.
TEST_F(RemainingWorkTest, LongOpenExchangeCountsMoreThanNewOne) {
  learn();
  Work.start(First, ChatRoute, Now - 100ms);
  Work.start(Second, ChatRoute, Now);
  EXPECT_GT(Work.ownWork(First, Now), 2 * Work.ownWork(Second, Now));
}

TEST_F(RemainingWorkTest, EndedExchangeDoesNotCount) {
  const auto Ended = Work.start(First, ChatRoute, Now);
  Work.start(First, ChatRoute, Now);
  Work.end(First.Id, Ended);
  Work.end(First.Id, Ended);
  Work.end(Second.Id, Ended);
  EXPECT_EQ(Work.ownWork(First, Now), 1);
}

// Guards against an upstream that is avoided for the exchanges of its earlier
// process.
TEST_F(RemainingWorkTest, RestartedUpstreamHasNoWork) {
  learn();
  const auto Old = Work.start(First, ChatRoute, Now);
  report(3);
  EXPECT_EQ(Work.ownWork(FirstAfterRestart, Now), 0);
  EXPECT_EQ(Work.reportedWork(FirstAfterRestart, Now), 0);
  Work.start(FirstAfterRestart, ChatRoute, Now);
  Work.end(First.Id, Old);
  EXPECT_NEAR(Work.ownWork(FirstAfterRestart, Now), 1, 0.01);
}

// Guards against a peer that knows of the restart later than this instance.
TEST_F(RemainingWorkTest, ReportOfAnEarlierProcessIsIgnored) {
  learn();
  Work.start(FirstAfterRestart, ChatRoute, Now);
  report(3);
  EXPECT_EQ(Work.reportedWork(FirstAfterRestart, Now), 0);
  EXPECT_NEAR(Work.ownWork(FirstAfterRestart, Now), 1, 0.01);
}

TEST_F(RemainingWorkTest, ReportsOfPeersAddUp) {
  learn();
  report(1);
  report(2, 0ms, SecondPeer);
  EXPECT_DOUBLE_EQ(Work.reportedWork(First, Now), 3);
  EXPECT_EQ(Work.ownWork(First, Now), 0);
}

TEST_F(RemainingWorkTest, ReportsLoseWeightWithAgeAndExpire) {
  learn();
  report(1);
  const double AtOnce = Work.reportedWork(First, Now);
  EXPECT_NEAR(Work.reportedWork(First, Now + 35ms), AtOnce * 0.37, 0.05);
  EXPECT_EQ(Work.reportedWork(First, Now + 2001ms), 0);
  Work.expire(Now + 2001ms);
  EXPECT_EQ(Work.size(), 0U);
}

TEST_F(RemainingWorkTest, LateReportDoesNotReplaceANewerOne) {
  learn();
  report(1);
  report(5, 100ms);
  EXPECT_DOUBLE_EQ(Work.reportedWork(First, Now), 1);
}

TEST_F(RemainingWorkTest, ImplausibleReportsAreIgnored) {
  learn();
  report(-1);
  report(std::numeric_limits<double>::quiet_NaN());
  report(std::numeric_limits<double>::infinity());
  EXPECT_EQ(Work.reportedWork(First, Now), 0);
  EXPECT_EQ(Work.size(), 0U);
}

// Without a mean response time, it is unknown how soon reports are out of date.
TEST_F(RemainingWorkTest, ReportsCountNothingBeforeTheCostsAreKnown) {
  report(3);
  EXPECT_EQ(Work.reportedWork(First, Now), 0);
}

} // namespace
} // namespace indigopoint
