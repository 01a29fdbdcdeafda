#include "health_tracker.h"
#include "owner_fixture.h"

namespace indigopoint {
namespace {

class OwnerHealthTest : public OwnerTest {
protected:
  OwnerHealthTest() {
    for (int Index = 0; Index < 5; ++Index)
      Ids.push_back(addUpstream("chat-" + std::to_string(Index)));
    configure();
    pass(seconds(1));
  }

  bool isEjected(UpstreamId Id) { return Board.ReportedLoads[Id].Load.Ejected; }
  uint32_t weight(UpstreamId Id) {
    return Board.ReportedLoads[Id].Load.WeightPercent;
  }

  std::vector<UpstreamId> Ids;
};

// Guards against continuing to send to an unresponsive upstream.
TEST_F(OwnerHealthTest, FiveFailuresInARowEject) {
  timeOutRequests(Ids[0], 100, 4);
  EXPECT_FALSE(isEjected(Ids[0]));
  timeOutRequests(Ids[0], 200, 1);
  EXPECT_TRUE(isEjected(Ids[0]));
  submit(submission(300, Ids[0], 100));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  const SubmitResult Refusal = takeOneSent<SubmitResult>();
  EXPECT_EQ(Refusal.Status, SubmitStatus::NotRun);
  EXPECT_TRUE(Refusal.UpstreamEjected);
  EXPECT_GT(Refusal.RetryAfter, seconds(4));
  // The load report arrives together with the refusal, so that the home
  // instance can move the flow.
  EXPECT_TRUE(takeOneSent<LoadReport>().Loads.at(0).Ejected);
}

// Guards against ejecting a working upstream whose health endpoint reports a
// wrong status.
TEST_F(OwnerHealthTest, HealthStatusDoesNotEjectServingUpstream) {
  serve(1, Ids[0], 1);
  for (int Index = 0; Index < 20; ++Index) {
    observeHealth(Ids[0], HealthStatus::Unhealthy);
    observeHealth(Ids[0], HealthStatus::NoAnswer);
  }
  pass(milliseconds(600));
  EXPECT_FALSE(isEjected(Ids[0]));
  EXPECT_EQ(weight(Ids[0]), 100U);
}

// Guards against keeping a failing upstream because its health endpoint reports
// Healthy.
TEST_F(OwnerHealthTest, HealthyStatusDoesNotPreventEjection) {
  for (uint64_t Round = 0; Round < 5; ++Round) {
    observeHealth(Ids[0], HealthStatus::Healthy);
    timeOutRequests(Ids[0], 100 + Round, 1);
  }
  EXPECT_TRUE(isEjected(Ids[0]));
}

// Guards against ejecting an upstream for being full or for cancellations.
TEST_F(OwnerHealthTest, ShedAndExpiredAreNoFailures) {
  for (uint64_t Id = 1; Id <= 20; ++Id) {
    submit(submission(Id, Ids[0], 1));
    answer(takeOneSent<Dispatch>(), Ids[0],
           Id % 2 == 0 ? DispatchStatus::Shed : DispatchStatus::Expired);
  }
  pass(seconds(1));
  EXPECT_FALSE(isEjected(Ids[0]));
}

// Guards against overloading the remaining upstreams when many fail at once.
TEST_F(OwnerHealthTest, AtMost40PercentAreEjected) {
  for (size_t Index = 0; Index < Ids.size(); ++Index)
    timeOutRequests(Ids[Index], 1000 * (Index + 1), 5);
  pass(milliseconds(600));
  int EjectedCount = 0;
  for (UpstreamId Id : Ids)
    EjectedCount += isEjected(Id) ? 1 : 0;
  EXPECT_EQ(EjectedCount, 2);
}

// Guards against exceeding the limit on ejected upstreams when several owners
// eject before they get each other's reports.
TEST_F(OwnerHealthTest, EjectionsBeyondTheLimitAreEnded) {
  std::vector<UpstreamId> Sorted = Ids;
  std::sort(Sorted.begin(), Sorted.end());
  timeOutRequests(Sorted[4], 100, 5);
  ASSERT_TRUE(isEjected(Sorted[4]));
  for (int Index = 0; Index < 2; ++Index) {
    Board.CurrentOwnership.setOwner(Sorted[Index], instanceIdOf("sibling"));
    pass(seconds(1));
    UpstreamLoad Load;
    Load.Upstream = Sorted[Index];
    Load.Ejected = true;
    receiveLoad(Load);
  }
  pass(milliseconds(20));
  EXPECT_FALSE(isEjected(Sorted[4]));
}

// Guards against sending full traffic to an upstream that has just recovered.
TEST_F(OwnerHealthTest, EjectedUpstreamComesBackThroughProbationAndWarmup) {
  timeOutRequests(Ids[0], 100, 5);
  pass(seconds(5));
  EXPECT_FALSE(isEjected(Ids[0]));
  EXPECT_EQ(weight(Ids[0]), 10U);
  for (uint64_t Id = 1; Id <= 2; ++Id)
    submit(submission(Id, Ids[0], 100 + Id));
  const Dispatch ProbationDispatch = takeOneSent<Dispatch>();
  answer(ProbationDispatch, Ids[0]);
  answer(takeOneSent<Dispatch>(), Ids[0]);
  serve(3, Ids[0], 101);
  pass(seconds(5));
  EXPECT_NEAR(weight(Ids[0]), 55, 6);
  pass(seconds(6));
  EXPECT_EQ(weight(Ids[0]), 100U);
}

// Guards against a new upstream that starts at full weight.
TEST_F(OwnerHealthTest, AddedUpstreamWarmsUp) {
  const UpstreamId NewUpstream = addUpstream("chat-new");
  configure();
  pass(milliseconds(600));
  EXPECT_LT(weight(NewUpstream), 20U);
  EXPECT_EQ(weight(Ids[0]), 100U);
  pass(seconds(10));
  EXPECT_EQ(weight(NewUpstream), 100U);
}

// A draining upstream gets no new flows from the first Draining answer on;
// requests of established flows are still sent until 3 s later.
TEST_F(OwnerHealthTest, DrainingAnswerStopsNewFlowsAtOnce) {
  serve(1, Ids[0], 1);
  submit(submission(2, Ids[0], 1));
  answer(takeOneSent<Dispatch>(), Ids[0], DispatchStatus::Draining);
  EXPECT_TRUE(takeOneSent<SubmitResult>().UpstreamDraining);
  pass(milliseconds(10));
  EXPECT_TRUE(Board.ReportedLoads[Ids[0]].Load.Draining);
  Submit NewSubmit = submission(3, Ids[0], 3);
  NewSubmit.MayRedirect = true;
  submit(NewSubmit);
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::Redirect);
  submit(submission(4, Ids[0], 1));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
}

TEST_F(OwnerHealthTest, DrainingUpstreamGetsNoRequestsAfterTheGrace) {
  for (uint64_t Id = 1; Id <= 3; ++Id)
    submit(submission(Id, Ids[0], Id, seconds(20)));
  const std::vector<Dispatch> Dispatches = takeSent<Dispatch>();
  configOf(Ids[0]).Draining = true;
  configure();
  pass(milliseconds(2900));
  EXPECT_TRUE(takeSent<SubmitResult>().empty());
  pass(milliseconds(100));
  // The queued request is refused; those in progress continue.
  const SubmitResult QueuedResult = takeOneSent<SubmitResult>();
  EXPECT_EQ(QueuedResult.Status, SubmitStatus::NotRun);
  EXPECT_TRUE(QueuedResult.UpstreamDraining);
  submit(submission(9, Ids[0], 1));
  EXPECT_TRUE(takeOneSent<SubmitResult>().UpstreamDraining);
  answer(Dispatches.at(0), Ids[0]);
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::Answered);
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

TEST_F(OwnerHealthTest, DrainingHealthStatusStartsDrainAtOnce) {
  observeHealth(Ids[0], HealthStatus::Draining);
  pass(seconds(3));
  submit(submission(1, Ids[0], 1));
  EXPECT_TRUE(takeOneSent<SubmitResult>().UpstreamDraining);
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards against an outdated Healthy status that ends a drain.
TEST_F(OwnerHealthTest, OnlyALateHealthyStatusEndsADrain) {
  observeHealth(Ids[0], HealthStatus::Draining);
  pass(seconds(1));
  observeHealth(Ids[0], HealthStatus::Healthy);
  pass(seconds(1));
  EXPECT_TRUE(Board.ReportedLoads[Ids[0]].Load.Draining);
  pass(seconds(10));
  observeHealth(Ids[0], HealthStatus::Healthy);
  pass(seconds(1));
  EXPECT_FALSE(Board.ReportedLoads[Ids[0]].Load.Draining);
  EXPECT_EQ(weight(Ids[0]), 10U);
}

TEST(HealthTrackerTest, EjectionDoublesFromFiveToSixtySeconds) {
  HealthTracker Health;
  TimePoint Now = TimePoint() + std::chrono::hours(1);
  for (int Expected : {5, 10, 20, 40, 60, 60}) {
    Health.eject(Now);
    EXPECT_EQ(Health.ejectionLeft(Now), seconds(Expected));
    Now += seconds(Expected);
    Health.endExpiredEjection(Now);
    Health.recordFailure(Now);
    ASSERT_TRUE(Health.isFailing(Now));
  }
}

// Guards against an upstream that fails most requests but never 5 consecutive
// ones.
TEST(HealthTrackerTest, LowSuccessRateFails) {
  HealthTracker Health;
  const TimePoint Now = TimePoint() + std::chrono::hours(1);
  for (int Index = 0; Index < 12; ++Index)
    if (Index % 4 == 0)
      Health.recordSuccess(Now);
    else
      Health.recordFailure(Now);
  EXPECT_TRUE(Health.isFailing(Now));
  EXPECT_FALSE(Health.isFailing(Now + seconds(20)));
}

} // namespace
} // namespace indigopoint
