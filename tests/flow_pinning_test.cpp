#include <algorithm>

#include <gtest/gtest.h>

#include "home_fixture.h"

namespace indigopoint {
namespace {

class FlowPinningTest : public HomeFixture {
protected:
  /// Opens the flow on another upstream than its default.
  UpstreamId openRedirected() {
    sendRequest(request(1));
    const Submit First = popSubmit();
    SubmitResult Redirect = submitResult(First.Id, SubmitStatus::Redirect);
    Redirect.Redirect = sibling(First.Upstream);
    sendResult(Redirect);
    sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered, "ok"));
    popReply();
    return Redirect.Redirect;
  }

  std::vector<Pin> replicated() {
    std::vector<Pin> Pins;
    for (const PinReplica &Batch : popMessages<PinReplica>())
      Pins.insert(Pins.end(), Batch.Pins.begin(), Batch.Pins.end());
    return Pins;
  }

  /// Whether replicas were sent, and all of them as pinned to \p Upstream.
  bool isReplicatedAs(UpstreamId Upstream) {
    const std::vector<Pin> Pins = replicated();
    return !Pins.empty() &&
           std::all_of(Pins.begin(), Pins.end(), [&](const Pin &Sent) {
             return !Sent.Removed && Sent.Flow == Flow &&
                    Sent.Upstream == Upstream;
           });
  }
};

TEST_F(FlowPinningTest, NewFlowMayBeRedirected) {
  sendRequest(request(1));
  const Submit First = popSubmit();
  EXPECT_TRUE(First.MayRedirect);
  SubmitResult Redirect = submitResult(First.Id, SubmitStatus::Redirect);
  Redirect.Redirect = sibling(First.Upstream);
  sendResult(Redirect);
  EXPECT_EQ(popSubmit().Upstream, Redirect.Redirect);
  EXPECT_EQ(chatMetrics().Redirects, 1U);
}

// Guards against a redirect that moves an established flow (P1).
TEST_F(FlowPinningTest, EstablishedFlowIsNotRedirected) {
  const UpstreamId Pinned = exchangeRequest(1);
  sendRequest(request(2));
  const Submit Sent = popSubmit();
  EXPECT_FALSE(Sent.MayRedirect);
  SubmitResult Redirect = submitResult(Sent.Id, SubmitStatus::Redirect);
  Redirect.Redirect = sibling(Pinned);
  sendResult(Redirect);
  advanceTime(20 * Milli);
  EXPECT_EQ(popSubmit().Upstream, Pinned);
}

// Guards against two requests of a new flow that split it.
TEST_F(FlowPinningTest, SecondRedirectFollowsTheFirst) {
  sendRequest(request(1));
  const Submit First = popSubmit();
  sendRequest(request(2));
  const Submit Second = popSubmit();
  SubmitResult Redirect = submitResult(First.Id, SubmitStatus::Redirect);
  Redirect.Redirect = sibling(First.Upstream);
  sendResult(Redirect);
  popSubmit();
  SubmitResult Other = submitResult(Second.Id, SubmitStatus::Redirect);
  for (const UpstreamConfig &Upstream : Board.Config.Services[Chat].Upstreams)
    if (Upstream.Id != First.Upstream && Upstream.Id != Redirect.Redirect)
      Other.Redirect = Upstream.Id;
  sendResult(Other);
  EXPECT_EQ(popSubmit().Upstream, Redirect.Redirect);
}

// Guards against a change of the default that moves established flows, when
// upstreams are added (P1, F3).
TEST_F(FlowPinningTest, NewUpstreamsMoveNoEstablishedFlow) {
  const UpstreamId Pinned = exchangeRequest(1);
  ServiceConfig &Service = Board.Config.Services[Chat];
  Service.Upstreams = service(Chat, "chat-core", 40).Upstreams;
  Board.Config.Version = ConfigVersion(2);
  applyConfig();
  setOwners(instanceIdOf("lim-b-1"));
  EXPECT_EQ(exchangeRequest(2), Pinned);
}

// Guards against an exception that only its home knows.
TEST_F(FlowPinningTest, ExceptionIsReplicatedToTheBackup) {
  const UpstreamId Pinned = openRedirected();
  advanceTime(20 * Milli);
  EXPECT_TRUE(isReplicatedAs(Pinned));
}

TEST_F(FlowPinningTest, DefaultPinIsNotReplicated) {
  exchangeRequest(1);
  advanceTime(2 * Second);
  EXPECT_TRUE(replicated().empty());
}

// Guards against one lost datagram that loses the exception.
TEST_F(FlowPinningTest, ReplicaIsSentAgain) {
  openRedirected();
  advanceTime(20 * Milli);
  replicated();
  advanceTime(600 * Milli);
  EXPECT_GE(replicated().size(), 1U);
}

TEST_F(FlowPinningTest, ClosedExceptionIsRemovedFromTheBackup) {
  openRedirected();
  advanceTime(Second);
  replicated();
  Controller.onPacket(Caller, CloseFlow{Flow, Chat}, 0, Sink);
  advanceTime(20 * Milli);
  const std::vector<Pin> Pins = replicated();
  ASSERT_GE(Pins.size(), 1U);
  EXPECT_TRUE(Pins.back().Removed);
}

// Guards against a flow that is only on its default by an old configuration,
// and moves when its home dies after the change.
TEST_F(FlowPinningTest, ChangedDefaultMakesAnException) {
  const UpstreamId Pinned = exchangeRequest(1);
  drain(Pinned);
  advanceTime(20 * Milli);
  EXPECT_TRUE(isReplicatedAs(Pinned));
}

// Guards against a backup that joined and never hears of older exceptions.
TEST_F(FlowPinningTest, NewBackupGetsTheExceptions) {
  const UpstreamId Pinned = openRedirected();
  advanceTime(5 * Second);
  popMessages<PinReplica>();
  Sink.Actions.clear();
  const InstanceId Before = Board.CurrentPlacement.backup(bucketOf(Flow));
  Board.Members.ById.erase(Before);
  applyConfig();
  const InstanceId After = Board.CurrentPlacement.backup(bucketOf(Flow));
  ASSERT_NE(After, Before);
  advanceTime(20 * Milli);
  EXPECT_TRUE(isReplicatedAs(Pinned));
}

// Guards against exceptions that are lost when their home dies (P1).
TEST_F(FlowPinningTest, ReplicaSurvivesTheDeathOfItsHome) {
  const UpstreamId Pinned = openRedirected();
  advanceTime(20 * Milli);
  const std::vector<PinReplica> Batches = popMessages<PinReplica>();
  TestHomeInstance Next("lim-a-2");
  Next.setHomeOfAllBuckets("lim-a-1");
  for (const PinReplica &Batch : Batches)
    Next.Controller.onPinReplica(Batch);
  Next.setRecordsCompleteFor(2 * Second);
  Next.sendRequest(Next.request(2));
  const Submit Sent = Next.popSubmit();
  EXPECT_EQ(Sent.Upstream, Pinned);
  EXPECT_FALSE(Sent.MayRedirect);
}

// Guards against replicas that the next home keeps to itself.
TEST_F(FlowPinningTest, AdoptedReplicaIsReplicatedAgain) {
  setHomeOfAllBuckets("lim-a-2");
  const UpstreamId Pinned = Board.Config.Services[Chat].Upstreams[0].Id;
  const UpstreamId Other = Board.Config.Services[Chat].Upstreams[1].Id;
  const UpstreamConfig *Default =
      defaultUpstream(Flow, Board.Config.Services[Chat], Board.RegionZones);
  const UpstreamId Exception = Default->Id == Pinned ? Other : Pinned;
  Controller.onPinReplica({{{Flow, Chat, Exception, false}}});
  setRecordsCompleteFor(Second);
  advanceTime(1100 * Milli);
  const std::vector<Pin> Pins = replicated();
  ASSERT_GE(Pins.size(), 1U);
  EXPECT_EQ(Pins[0].Upstream, Exception);
}

// P6: within the grace, requests of established flows still go there.
TEST_F(FlowPinningTest, EstablishedFlowStaysDuringTheDrainGrace) {
  const UpstreamId Pinned = exchangeRequest(1);
  drain(Pinned);
  advanceTime(2900 * Milli);
  EXPECT_EQ(exchangeRequest(2), Pinned);
}

// P6: no new work after the grace; the flow moves between two requests.
TEST_F(FlowPinningTest, EstablishedFlowMovesAfterTheDrainGrace) {
  const UpstreamId Pinned = exchangeRequest(1);
  drain(Pinned);
  advanceTime(3 * Second);
  EXPECT_NE(exchangeRequest(2), Pinned);
  EXPECT_EQ(chatMetrics().FlowsMoved, 1U);
  EXPECT_EQ(chatMetrics().FlowsBroken, 0U);
  EXPECT_EQ(popMessages<ReleaseFlow>().size(), 1U);
}

// P7: a request in progress ends on the leaving upstream.
TEST_F(FlowPinningTest, MoveCutsNoRequestInProgress) {
  const UpstreamId Pinned = exchangeRequest(1);
  sendRequest(request(2));
  const Submit Old = popSubmit();
  drain(Pinned);
  advanceTime(3 * Second);
  Sink.Actions.clear();
  sendRequest(request(3));
  const Submit New = popSubmit();
  EXPECT_NE(New.Upstream, Pinned);
  EXPECT_TRUE(popMessages<ReleaseFlow>().empty());
  EXPECT_TRUE(popMessages<CancelSubmit>().empty());
  sendResult(submitResult(Old.Id, SubmitStatus::Answered, "old"));
  EXPECT_EQ(popReply().Payload, "old");
  EXPECT_EQ(popMessages<ReleaseFlow>().size(), 1U);
}

// P6: new flows stop at once, whoever reported the drain.
TEST_F(FlowPinningTest, NewFlowAvoidsALeavingUpstream) {
  const UpstreamId Default =
      defaultUpstream(Flow, Board.Config.Services[Chat], Board.RegionZones)->Id;
  Board.ReportedLoads[Default].Load.Draining = true;
  advanceTime(100 * Milli);
  EXPECT_NE(exchangeRequest(1), Default);
}

// Guards against a refusal by plan that ends a request of an established flow.
TEST_F(FlowPinningTest, RefusalOfALeavingUpstreamMovesTheFlow) {
  const UpstreamId Pinned = exchangeRequest(1);
  sendRequest(request(2));
  SubmitResult Refusal = submitResult(popSubmit().Id, SubmitStatus::NotRun);
  Refusal.UpstreamDraining = true;
  sendResult(Refusal);
  const Submit Next = popSubmit();
  EXPECT_NE(Next.Upstream, Pinned);
  sendResult(submitResult(Next.Id, SubmitStatus::Answered, "ok"));
  EXPECT_EQ(popReply().Result, Outcome::Answered);
  EXPECT_EQ(chatMetrics().FlowsMoved, 1U);
}

// P7: a planned drain must not refuse requests because an overload has used up
// the retry budget.
TEST_F(FlowPinningTest, MoveOffALeavingUpstreamNeedsNoBudget) {
  const UpstreamId Pinned = exchangeRequest(1);
  for (uint64_t Id = 100; Id < 120; ++Id) {
    sendRequest(request(Id));
    for (std::vector<Submit> Sent = popMessages<Submit>(); !Sent.empty();
         Sent = popMessages<Submit>()) {
      sendResult(submitResult(Sent[0].Id, SubmitStatus::NotRun));
      advanceTime(10 * Milli);
    }
  }
  ASSERT_FALSE(popMessages<Reply>().empty());
  sendRequest(request(2));
  SubmitResult Refusal = submitResult(popSubmit().Id, SubmitStatus::NotRun);
  Refusal.UpstreamDraining = true;
  sendResult(Refusal);
  EXPECT_NE(popSubmit().Upstream, Pinned);
}

// P6 for a retry: it is new work for the leaving upstream.
TEST_F(FlowPinningTest, RetryAfterTheGraceGoesElsewhere) {
  const UpstreamId Pinned = exchangeRequest(1);
  sendRequest(request(2, true));
  const Submit Sent = popSubmit();
  drain(Pinned);
  advanceTime(3 * Second);
  popMessages<Submit>();
  sendResult(submitResult(Sent.Id, SubmitStatus::Unknown));
  advanceTime(20 * Milli);
  EXPECT_NE(popSubmit().Upstream, Pinned);
}

TEST_F(FlowPinningTest, EjectedUpstreamBreaksItsFlows) {
  const UpstreamId Pinned = exchangeRequest(1);
  Board.ReportedLoads[Pinned].Load.Ejected = true;
  Board.ReportedLoads[Pinned].ReportedAt = TimeSource.Now;
  EXPECT_NE(exchangeRequest(2), Pinned);
  EXPECT_EQ(chatMetrics().FlowsBroken, 1U);
}

// Guards against flows that stay on a failed upstream because their home gets
// no load reports of it.
TEST_F(FlowPinningTest, RefusalOfAnEjectedUpstreamMovesTheFlow) {
  const UpstreamId Pinned = exchangeRequest(1);
  sendRequest(request(2));
  SubmitResult Refusal = submitResult(popSubmit().Id, SubmitStatus::NotRun);
  Refusal.UpstreamEjected = true;
  sendResult(Refusal);
  EXPECT_NE(popSubmit().Upstream, Pinned);
}

// The same when a load report of the owner came before its refusal.
TEST_F(FlowPinningTest, RefusalAfterAReportOfEjectionMovesTheFlow) {
  const UpstreamId Pinned = exchangeRequest(1);
  sendRequest(request(2));
  const Submit Sent = popSubmit();
  Board.ReportedLoads[Pinned].Load.Ejected = true;
  Board.ReportedLoads[Pinned].ReportedAt = TimeSource.Now;
  sendResult(submitResult(Sent.Id, SubmitStatus::NotRun));
  EXPECT_NE(popSubmit().Upstream, Pinned);
}

// Guards against a log line per packet.
TEST_F(FlowPinningTest, LostUpstreamIsLoggedOnce) {
  for (uint64_t Key = 0; Key < 50; ++Key) {
    Flow = FlowKey(Key);
    exchangeRequest(1);
  }
  const UpstreamId Lost = Board.Config.Services[Chat].Upstreams[0].Id;
  Board.ReportedLoads[Lost].Load.Ejected = true;
  Board.ReportedLoads[Lost].ReportedAt = TimeSource.Now;
  Sink.Actions.clear();
  for (uint64_t Key = 0; Key < 50; ++Key) {
    Flow = FlowKey(Key);
    exchangeRequest(2);
  }
  EXPECT_GT(chatMetrics().FlowsBroken, 1U);
  EXPECT_EQ(std::count_if(Sink.Actions.begin(), Sink.Actions.end(),
                          [](const Action &Given) {
                            return std::holds_alternative<LogLine>(Given);
                          }),
            1);
}

TEST_F(FlowPinningTest, RemovedUpstreamLosesItsFlows) {
  const UpstreamId Pinned = exchangeRequest(1);
  std::erase_if(
      Board.Config.Services[Chat].Upstreams,
      [&](const UpstreamConfig &Given) { return Given.Id == Pinned; });
  Board.Config.Version = ConfigVersion(2);
  applyConfig();
  EXPECT_NE(exchangeRequest(2), Pinned);
  EXPECT_EQ(chatMetrics().FlowsBroken, 1U);
}

TEST_F(FlowPinningTest, RemovalAfterADrainIsAMove) {
  const UpstreamId Pinned = exchangeRequest(1);
  drain(Pinned);
  advanceTime(5 * Second);
  std::erase_if(
      Board.Config.Services[Chat].Upstreams,
      [&](const UpstreamConfig &Given) { return Given.Id == Pinned; });
  Board.Config.Version = ConfigVersion(3);
  applyConfig();
  advanceTime(60 * Second);
  EXPECT_NE(exchangeRequest(2), Pinned);
  EXPECT_EQ(chatMetrics().FlowsMoved, 1U);
  EXPECT_EQ(chatMetrics().FlowsBroken, 0U);
}

// Guards against new flows on upstreams that are cut off with their zone (F10).
TEST_F(FlowPinningTest, NewFlowAvoidsAZoneWithoutInstances) {
  Board.Members.ById.erase(instanceIdOf("lim-b-1"));
  Board.Members.ById.erase(instanceIdOf("lim-b-2"));
  applyConfig();
  setOwners(instanceIdOf("lim-a-2"));
  for (uint64_t Key = 0; Key < 100; ++Key) {
    Request Work = request(1);
    Work.Flow = FlowKey(Key);
    sendRequest(Work);
    EXPECT_EQ(upstream(popSubmit().Upstream).Zone, "lim-a");
  }
}

} // namespace
} // namespace indigopoint
