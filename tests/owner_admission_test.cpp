#include "admission.h"
#include "owner_fixture.h"

namespace indigopoint {
namespace {

class OwnerAdmissionTest : public OwnerTest {
protected:
  OwnerAdmissionTest()
      : Own(addUpstream("chat-own")), Other(addUpstream("chat-b", false)),
        Third(addUpstream("chat-c", false)) {
    configure();
    report(Other, 100);
    report(Third, 100);
  }

  /// Lets the own upstream hold flows of a former owner.
  void holdFlows(uint32_t Flows) {
    HandoverBatch Batch;
    Batch.Upstreams.push_back({Own, 0, Flows, 0});
    Owner->importBatch(Batch);
  }

  SubmitResult submitNew(uint64_t Id, uint64_t Flow) {
    Submit Body = submission(Id, Own, Flow);
    Body.MayRedirect = true;
    submit(Body);
    const std::vector<Dispatch> Admitted = take<Dispatch>();
    if (!Admitted.empty())
      answer(Admitted.front(), Own);
    return takeOne<SubmitResult>();
  }

  UpstreamId Own;
  UpstreamId Other;
  UpstreamId Third;
};

TEST_F(OwnerAdmissionTest, FlowWithinTheShareIsAdmitted) {
  holdFlows(100);
  EXPECT_EQ(submitNew(1, 1).Status, SubmitStatus::Answered);
}

// Guards against imbalance: hashing alone loads upstreams unevenly.
TEST_F(OwnerAdmissionTest, FlowBeyondTheShareIsRedirectedToTheLeastLoaded) {
  holdFlows(150);
  report(Other, 60);
  const SubmitResult Result = submitNew(1, 1);
  EXPECT_EQ(Result.Status, SubmitStatus::Redirect);
  EXPECT_EQ(Result.Redirect, Other);
}

// Guards P1: a flow is not moved because others arrived.
TEST_F(OwnerAdmissionTest, KnownFlowIsNeverRedirected) {
  holdFlows(100);
  EXPECT_EQ(submitNew(1, 1).Status, SubmitStatus::Answered);
  holdFlows(500);
  EXPECT_EQ(submitNew(2, 1).Status, SubmitStatus::Answered);
}

// Guards P1: an established flow stays although this owner does not know it.
TEST_F(OwnerAdmissionTest, PinnedFlowIsNeverRedirected) {
  holdFlows(500);
  submit(submission(1, Own, 1));
  EXPECT_EQ(take<Dispatch>().size(), 1U);
}

// Guards against sending flows where they cannot be served.
TEST_F(OwnerAdmissionTest, LeavingEjectedAndSilentSiblingsGetNothing) {
  holdFlows(500);
  UpstreamLoad Leaving;
  Leaving.Upstream = Other;
  Leaving.Draining = true;
  report(Leaving);
  for (uint64_t Id = 1; Id <= 20; ++Id)
    EXPECT_EQ(submitNew(Id, Id).Redirect, Third);
  UpstreamLoad Ejected;
  Ejected.Upstream = Third;
  Ejected.Ejected = true;
  report(Ejected);
  EXPECT_EQ(submitNew(30, 30).Status, SubmitStatus::Answered);
  report(Third, 10);
  report(Other, 10);
  pass(milliseconds(3100));
  EXPECT_EQ(submitNew(31, 31).Status, SubmitStatus::Answered);
}

// Guards against a herd: between two reports one target must not get more than
// it lacks.
TEST_F(OwnerAdmissionTest, OwnRedirectsCountUntilTheNextReport) {
  holdFlows(150);
  report(Other, 100);
  report(Third, 122);
  int ToOther = 0;
  for (uint64_t Id = 1; Id <= 45; ++Id)
    ToOther += submitNew(Id, Id).Redirect == Other ? 1 : 0;
  // Both end near 133; by the report alone Other would get 41 of the 45.
  EXPECT_GE(ToOther, 29);
  EXPECT_LE(ToOther, 37);
}

// Guards against uneven busy slots: equal flows with unequal request rates.
TEST(AdmissionTest, BusyFlowsCountMore) {
  std::vector<SiblingLoad> All = {{UpstreamId(1), 100, 0, 2, 1000, 4000},
                                  {UpstreamId(2), 100, 0, 2, 1000, 2000},
                                  {UpstreamId(3), 100, 0, 2, 1000, 0}};
  EXPECT_TRUE(isWithinShare(All[0], All, 0.1));
  addRates(All);
  EXPECT_FALSE(isWithinShare(All[0], All, 0.1));
  EXPECT_EQ(redirectTarget(UpstreamId(1), All, 0.5)->Upstream, UpstreamId(2));
  EXPECT_EQ(All[2].Flows, 100);
}

TEST(RateMeterTest, MeasuresTheRate) {
  RateMeter Meter;
  TimePoint Now = TimePoint() + std::chrono::hours(1);
  EXPECT_EQ(Meter.perSecond(Now), 0);
  for (int Index = 0; Index < 200; ++Index, Now += milliseconds(100))
    Meter.record(Now);
  EXPECT_NEAR(Meter.perSecond(Now), 10, 0.5);
  EXPECT_LT(Meter.perSecond(Now + seconds(60)), 3);
}

// Guards against full load on a cold sibling.
TEST_F(OwnerAdmissionTest, ColdSiblingGetsItsShareOnly) {
  holdFlows(200);
  UpstreamLoad Cold;
  Cold.Upstream = Other;
  Cold.Flows = 10;
  Cold.WeightPercent = 10;
  report(Cold);
  int ToCold = 0;
  for (uint64_t Id = 1; Id <= 50; ++Id)
    ToCold += submitNew(Id, Id).Redirect == Other ? 1 : 0;
  EXPECT_LE(ToCold, 10);
}

TEST_F(OwnerAdmissionTest, FullUpstreamRedirects) {
  configOf(Own).Connections = 100;
  configure();
  holdFlows(100);
  EXPECT_EQ(submitNew(1, 1).Status, SubmitStatus::Redirect);
}

// Guards the control budget: reports go to owners of siblings only, and an
// unchanged load once a second.
TEST_F(OwnerAdmissionTest, ReportsGoToSiblingOwnersOnceASecondAtRest) {
  pass(seconds(2));
  take<LoadReport>();
  pass(seconds(10));
  EXPECT_LE(take<LoadReport>().size(), 10U);
  for (const SendDatagram &Each : Sent)
    EXPECT_EQ(Each.To, (Endpoint{1, 7002}));
}

TEST_F(OwnerAdmissionTest, ChangedLoadIsReportedTwiceASecond) {
  pass(seconds(2));
  take<LoadReport>();
  for (uint64_t Step = 0; Step < 20; ++Step) {
    holdFlows(static_cast<uint32_t>(100 + 10 * Step));
    pass(milliseconds(500));
  }
  EXPECT_GE(take<LoadReport>().size(), 18U);
}

// Guards against a home that goes on with an upstream that is leaving.
TEST_F(OwnerAdmissionTest, LeavingIsReportedToRecentHomesAtOnce) {
  submitNew(1, 1);
  pass(seconds(1));
  Sent.clear();
  hint(Own, HealthStatus::Draining);
  pass(milliseconds(10));
  bool Told = false;
  for (const SendDatagram &Each : Sent)
    Told = Told || (Each.To == Endpoint{1, 7001} &&
                    std::holds_alternative<LoadReport>(Each.Body));
  EXPECT_TRUE(Told);
}

// Guards against a home that avoids an upstream for ever, because nobody told
// it of the upstream's return.
TEST_F(OwnerAdmissionTest, ReportsAreForgottenAfterAMinute) {
  UpstreamLoad Leaving;
  Leaving.Upstream = Other;
  Leaving.Draining = true;
  report(Leaving);
  pass(seconds(30));
  EXPECT_EQ(Board.ReportedLoads.count(Other), 1U);
  pass(seconds(31));
  EXPECT_EQ(Board.ReportedLoads.count(Other), 0U);
  EXPECT_EQ(Board.ReportedLoads.count(Own), 1U);
}

} // namespace
} // namespace indigopoint
