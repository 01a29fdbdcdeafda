#include "admission.h"
#include "owner_fixture.h"

namespace indigopoint {
namespace {

class OwnerAdmissionTest : public OwnerTest {
protected:
  OwnerAdmissionTest()
      : OwnUpstream(addUpstream("chat-own")),
        Sibling(addUpstream("chat-b", false)),
        OtherSibling(addUpstream("chat-c", false)) {
    configure();
    receiveLoad(Sibling, 100);
    receiveLoad(OtherSibling, 100);
  }

  /// Hands over flows of a previous owner to OwnUpstream.
  void importFlows(uint32_t Flows) {
    HandoverBatch Batch;
    Batch.Upstreams.push_back({OwnUpstream, 0, Flows, 0});
    Owner->importBatch(Batch);
  }

  SubmitResult submitRequestOfNewFlow(uint64_t Id, uint64_t Flow) {
    Submit Body = submission(Id, OwnUpstream, Flow);
    Body.MayRedirect = true;
    submit(Body);
    const std::vector<Dispatch> Dispatches = takeSent<Dispatch>();
    if (!Dispatches.empty())
      answer(Dispatches.front(), OwnUpstream);
    return takeOneSent<SubmitResult>();
  }

  UpstreamId OwnUpstream;
  UpstreamId Sibling;
  UpstreamId OtherSibling;
};

TEST_F(OwnerAdmissionTest, FlowWithinTheShareIsAdmitted) {
  importFlows(100);
  EXPECT_EQ(submitRequestOfNewFlow(1, 1).Status, SubmitStatus::Answered);
}

// Guards against the uneven load that hashing alone produces.
TEST_F(OwnerAdmissionTest, FlowBeyondTheShareIsRedirectedToTheLeastLoaded) {
  importFlows(150);
  receiveLoad(Sibling, 60);
  const SubmitResult Result = submitRequestOfNewFlow(1, 1);
  EXPECT_EQ(Result.Status, SubmitStatus::Redirect);
  EXPECT_EQ(Result.Redirect, Sibling);
}

// Guards against moving an established flow because new flows arrived.
TEST_F(OwnerAdmissionTest, EstablishedFlowIsNeverRedirected) {
  importFlows(100);
  EXPECT_EQ(submitRequestOfNewFlow(1, 1).Status, SubmitStatus::Answered);
  importFlows(500);
  EXPECT_EQ(submitRequestOfNewFlow(2, 1).Status, SubmitStatus::Answered);
}

// Guards against moving an established flow that this owner has not seen yet.
TEST_F(OwnerAdmissionTest, EstablishedFlowNewToOwnerIsNotRedirected) {
  importFlows(500);
  submit(submission(1, OwnUpstream, 1));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
}

// Guards against redirecting flows to upstreams that are draining, ejected or
// whose load reports stopped.
TEST_F(OwnerAdmissionTest, DrainingEjectedAndUnreportedSiblingsGetNoFlows) {
  importFlows(500);
  UpstreamLoad DrainingLoad;
  DrainingLoad.Upstream = Sibling;
  DrainingLoad.Draining = true;
  receiveLoad(DrainingLoad);
  for (uint64_t Id = 1; Id <= 20; ++Id)
    EXPECT_EQ(submitRequestOfNewFlow(Id, Id).Redirect, OtherSibling);
  UpstreamLoad EjectedLoad;
  EjectedLoad.Upstream = OtherSibling;
  EjectedLoad.Ejected = true;
  receiveLoad(EjectedLoad);
  EXPECT_EQ(submitRequestOfNewFlow(30, 30).Status, SubmitStatus::Answered);
  receiveLoad(OtherSibling, 10);
  receiveLoad(Sibling, 10);
  pass(milliseconds(3100));
  EXPECT_EQ(submitRequestOfNewFlow(31, 31).Status, SubmitStatus::Answered);
}

// Guards against overloading one sibling: between two of its load reports it
// must not get more flows than it lacks to the mean.
TEST_F(OwnerAdmissionTest, OwnRedirectsCountUntilTheNextReport) {
  importFlows(150);
  receiveLoad(Sibling, 100);
  receiveLoad(OtherSibling, 122);
  int SiblingRedirects = 0;
  for (uint64_t Id = 1; Id <= 45; ++Id)
    SiblingRedirects +=
        submitRequestOfNewFlow(Id, Id).Redirect == Sibling ? 1 : 0;
  // Both siblings end near 133 flows; if only the reports counted, Sibling
  // would get 41 of the 45.
  EXPECT_GE(SiblingRedirects, 29);
  EXPECT_LE(SiblingRedirects, 37);
}

// Guards against unevenly busy slots when upstreams have equal flow counts but
// different request rates.
TEST(AdmissionTest, BusyFlowsCountMore) {
  std::vector<SiblingLoad> Loads = {{UpstreamId(1), 100, 0, 2, 1000, 4000},
                                    {UpstreamId(2), 100, 0, 2, 1000, 2000},
                                    {UpstreamId(3), 100, 0, 2, 1000, 0}};
  EXPECT_TRUE(isWithinShare(Loads[0], Loads, 0.1));
  weightFlowsByRequestRate(Loads);
  EXPECT_FALSE(isWithinShare(Loads[0], Loads, 0.1));
  EXPECT_EQ(redirectTarget(UpstreamId(1), Loads, 0.5)->Upstream, UpstreamId(2));
  EXPECT_EQ(Loads[2].Flows, 100);
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

// Guards against sending a full share of flows to a sibling in warm-up.
TEST_F(OwnerAdmissionTest, ColdSiblingGetsItsShareOnly) {
  importFlows(200);
  UpstreamLoad ColdLoad;
  ColdLoad.Upstream = Sibling;
  ColdLoad.Flows = 10;
  ColdLoad.WeightPercent = 10;
  receiveLoad(ColdLoad);
  int ColdRedirects = 0;
  for (uint64_t Id = 1; Id <= 50; ++Id)
    ColdRedirects += submitRequestOfNewFlow(Id, Id).Redirect == Sibling ? 1 : 0;
  EXPECT_LE(ColdRedirects, 10);
}

TEST_F(OwnerAdmissionTest, FullUpstreamRedirects) {
  configOf(OwnUpstream).Connections = 100;
  configure();
  importFlows(100);
  EXPECT_EQ(submitRequestOfNewFlow(1, 1).Status, SubmitStatus::Redirect);
}

// Limits the control traffic: reports go to owners of siblings only, and an
// unchanged load is reported once a second.
TEST_F(OwnerAdmissionTest, UnchangedLoadIsReportedToSiblingOwnersOnceASecond) {
  pass(seconds(2));
  takeSent<LoadReport>();
  pass(seconds(10));
  EXPECT_LE(takeSent<LoadReport>().size(), 10U);
  for (const SendDatagram &Datagram : SentDatagrams)
    EXPECT_EQ(Datagram.To, (Endpoint{1, 7002}));
}

TEST_F(OwnerAdmissionTest, ChangedLoadIsReportedTwiceASecond) {
  pass(seconds(2));
  takeSent<LoadReport>();
  for (uint64_t Step = 0; Step < 20; ++Step) {
    importFlows(static_cast<uint32_t>(100 + 10 * Step));
    pass(milliseconds(500));
  }
  EXPECT_GE(takeSent<LoadReport>().size(), 18U);
}

// Guards against a home instance that continues to submit to a draining
// upstream.
TEST_F(OwnerAdmissionTest, DrainIsReportedToRecentHomesAtOnce) {
  submitRequestOfNewFlow(1, 1);
  pass(seconds(1));
  SentDatagrams.clear();
  observeHealth(OwnUpstream, HealthStatus::Draining);
  pass(milliseconds(10));
  bool IsReported = false;
  for (const SendDatagram &Datagram : SentDatagrams)
    IsReported =
        IsReported || (Datagram.To == Endpoint{1, 7001} &&
                       std::holds_alternative<LoadReport>(Datagram.Body));
  EXPECT_TRUE(IsReported);
}

// Guards against a home instance that avoids an upstream forever because it
// gets no report of the upstream's recovery.
TEST_F(OwnerAdmissionTest, ReportsExpireAfterAMinute) {
  UpstreamLoad DrainingLoad;
  DrainingLoad.Upstream = Sibling;
  DrainingLoad.Draining = true;
  receiveLoad(DrainingLoad);
  pass(seconds(30));
  EXPECT_EQ(Board.ReportedLoads.count(Sibling), 1U);
  pass(seconds(31));
  EXPECT_EQ(Board.ReportedLoads.count(Sibling), 0U);
  EXPECT_EQ(Board.ReportedLoads.count(OwnUpstream), 1U);
}

} // namespace
} // namespace indigopoint
