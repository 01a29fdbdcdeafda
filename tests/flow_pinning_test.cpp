#include <algorithm>

#include <gtest/gtest.h>

#include "home_fixture.h"

namespace indigopoint {
namespace {

class FlowPinningTest : public HomeFixture {
protected:
  /// Opens the flow on another upstream than its default.
  UpstreamId openRedirected() {
    give(request(1));
    const Submit First = submitted();
    SubmitResult Redirect = ended(First.Id, SubmitStatus::Redirect);
    Redirect.Redirect = sibling(First.Upstream);
    result(Redirect);
    result(ended(submitted().Id, SubmitStatus::Answered, "ok"));
    replied();
    return Redirect.Redirect;
  }

  std::vector<Pin> replicated() {
    std::vector<Pin> Pins;
    for (const PinReplica &Batch : take<PinReplica>())
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
  give(request(1));
  const Submit First = submitted();
  EXPECT_TRUE(First.MayRedirect);
  SubmitResult Redirect = ended(First.Id, SubmitStatus::Redirect);
  Redirect.Redirect = sibling(First.Upstream);
  result(Redirect);
  EXPECT_EQ(submitted().Upstream, Redirect.Redirect);
  EXPECT_EQ(stats().Redirects, 1U);
}

// Guards against a redirect that moves an established flow (P1).
TEST_F(FlowPinningTest, EstablishedFlowIsNotRedirected) {
  const UpstreamId Pinned = exchange(1);
  give(request(2));
  const Submit Sent = submitted();
  EXPECT_FALSE(Sent.MayRedirect);
  SubmitResult Redirect = ended(Sent.Id, SubmitStatus::Redirect);
  Redirect.Redirect = sibling(Pinned);
  result(Redirect);
  pass(20 * Milli);
  EXPECT_EQ(submitted().Upstream, Pinned);
}

// Guards against two requests of a new flow that split it.
TEST_F(FlowPinningTest, SecondRedirectFollowsTheFirst) {
  give(request(1));
  const Submit First = submitted();
  give(request(2));
  const Submit Second = submitted();
  SubmitResult Redirect = ended(First.Id, SubmitStatus::Redirect);
  Redirect.Redirect = sibling(First.Upstream);
  result(Redirect);
  submitted();
  SubmitResult Other = ended(Second.Id, SubmitStatus::Redirect);
  for (const UpstreamConfig &Upstream : Board.Config.Services[Chat].Upstreams)
    if (Upstream.Id != First.Upstream && Upstream.Id != Redirect.Redirect)
      Other.Redirect = Upstream.Id;
  result(Other);
  EXPECT_EQ(submitted().Upstream, Redirect.Redirect);
}

// Guards against a change of the default that moves established flows, when
// upstreams are added (P1, F3).
TEST_F(FlowPinningTest, NewUpstreamsMoveNoEstablishedFlow) {
  const UpstreamId Pinned = exchange(1);
  ServiceConfig &Service = Board.Config.Services[Chat];
  Service.Upstreams = service(Chat, "chat-core", 40).Upstreams;
  Board.Config.Version = ConfigVersion(2);
  applyConfig();
  setOwners(instanceIdOf("lim-b-1"));
  EXPECT_EQ(exchange(2), Pinned);
}

// Guards against an exception that only its home knows.
TEST_F(FlowPinningTest, ExceptionIsReplicatedToTheBackup) {
  const UpstreamId Pinned = openRedirected();
  pass(20 * Milli);
  EXPECT_TRUE(isReplicatedAs(Pinned));
}

TEST_F(FlowPinningTest, DefaultPinIsNotReplicated) {
  exchange(1);
  pass(2 * Second);
  EXPECT_TRUE(replicated().empty());
}

// Guards against one lost datagram that loses the exception.
TEST_F(FlowPinningTest, ReplicaIsSentAgain) {
  openRedirected();
  pass(20 * Milli);
  replicated();
  pass(600 * Milli);
  EXPECT_GE(replicated().size(), 1U);
}

TEST_F(FlowPinningTest, ClosedExceptionIsRemovedFromTheBackup) {
  openRedirected();
  pass(Second);
  replicated();
  Home.onPacket(Caller, CloseFlow{Flow, Chat}, 0, Sink);
  pass(20 * Milli);
  const std::vector<Pin> Pins = replicated();
  ASSERT_GE(Pins.size(), 1U);
  EXPECT_TRUE(Pins.back().Removed);
}

// Guards against a flow that is only on its default by an old configuration,
// and moves when its home dies after the change.
TEST_F(FlowPinningTest, ChangedDefaultMakesAnException) {
  const UpstreamId Pinned = exchange(1);
  drain(Pinned);
  pass(20 * Milli);
  EXPECT_TRUE(isReplicatedAs(Pinned));
}

// Guards against a backup that joined and never hears of older exceptions.
TEST_F(FlowPinningTest, NewBackupGetsTheExceptions) {
  const UpstreamId Pinned = openRedirected();
  pass(5 * Second);
  take<PinReplica>();
  Sink.Actions.clear();
  const InstanceId Before = Board.CurrentPlacement.backup(bucketOf(Flow));
  Board.Members.ById.erase(Before);
  applyConfig();
  const InstanceId After = Board.CurrentPlacement.backup(bucketOf(Flow));
  ASSERT_NE(After, Before);
  pass(20 * Milli);
  EXPECT_TRUE(isReplicatedAs(Pinned));
}

// Guards against exceptions that are lost when their home dies (P1).
TEST_F(FlowPinningTest, ReplicaSurvivesTheDeathOfItsHome) {
  const UpstreamId Pinned = openRedirected();
  pass(20 * Milli);
  const std::vector<PinReplica> Batches = take<PinReplica>();
  HomeRig Next("lim-a-2");
  Next.serveElsewhere("lim-a-1");
  for (const PinReplica &Batch : Batches)
    Next.Home.onPinReplica(Batch);
  Next.recordsCompleteFor(2 * Second);
  Next.give(Next.request(2));
  const Submit Sent = Next.submitted();
  EXPECT_EQ(Sent.Upstream, Pinned);
  EXPECT_FALSE(Sent.MayRedirect);
}

// Guards against replicas that the next home keeps to itself.
TEST_F(FlowPinningTest, AdoptedReplicaIsReplicatedAgain) {
  serveElsewhere("lim-a-2");
  const UpstreamId Pinned = Board.Config.Services[Chat].Upstreams[0].Id;
  const UpstreamId Other = Board.Config.Services[Chat].Upstreams[1].Id;
  const UpstreamConfig *Default =
      defaultUpstream(Flow, Board.Config.Services[Chat], Board.RegionZones);
  const UpstreamId Exception = Default->Id == Pinned ? Other : Pinned;
  Home.onPinReplica({{{Flow, Chat, Exception, false}}});
  recordsCompleteFor(Second);
  pass(1100 * Milli);
  const std::vector<Pin> Pins = replicated();
  ASSERT_GE(Pins.size(), 1U);
  EXPECT_EQ(Pins[0].Upstream, Exception);
}

// P6: within the grace, requests of established flows still go there.
TEST_F(FlowPinningTest, EstablishedFlowStaysDuringTheDrainGrace) {
  const UpstreamId Pinned = exchange(1);
  drain(Pinned);
  pass(2900 * Milli);
  EXPECT_EQ(exchange(2), Pinned);
}

// P6: no new work after the grace; the flow moves between two requests.
TEST_F(FlowPinningTest, EstablishedFlowMovesAfterTheDrainGrace) {
  const UpstreamId Pinned = exchange(1);
  drain(Pinned);
  pass(3 * Second);
  EXPECT_NE(exchange(2), Pinned);
  EXPECT_EQ(stats().FlowsMoved, 1U);
  EXPECT_EQ(stats().FlowsBroken, 0U);
  EXPECT_EQ(take<ReleaseFlow>().size(), 1U);
}

// P7: a request in progress ends on the leaving upstream.
TEST_F(FlowPinningTest, MoveCutsNoRequestInProgress) {
  const UpstreamId Pinned = exchange(1);
  give(request(2));
  const Submit Old = submitted();
  drain(Pinned);
  pass(3 * Second);
  Sink.Actions.clear();
  give(request(3));
  const Submit New = submitted();
  EXPECT_NE(New.Upstream, Pinned);
  EXPECT_TRUE(take<ReleaseFlow>().empty());
  EXPECT_TRUE(take<CancelSubmit>().empty());
  result(ended(Old.Id, SubmitStatus::Answered, "old"));
  EXPECT_EQ(replied().Payload, "old");
  EXPECT_EQ(take<ReleaseFlow>().size(), 1U);
}

// P6: new flows stop at once, whoever reported the drain.
TEST_F(FlowPinningTest, NewFlowAvoidsALeavingUpstream) {
  const UpstreamId Default =
      defaultUpstream(Flow, Board.Config.Services[Chat], Board.RegionZones)->Id;
  Board.ReportedLoads[Default].Load.Draining = true;
  pass(100 * Milli);
  EXPECT_NE(exchange(1), Default);
}

// Guards against a refusal by plan that ends a request of an established flow.
TEST_F(FlowPinningTest, RefusalOfALeavingUpstreamMovesTheFlow) {
  const UpstreamId Pinned = exchange(1);
  give(request(2));
  SubmitResult Refusal = ended(submitted().Id, SubmitStatus::NotRun);
  Refusal.UpstreamDraining = true;
  result(Refusal);
  const Submit Next = submitted();
  EXPECT_NE(Next.Upstream, Pinned);
  result(ended(Next.Id, SubmitStatus::Answered, "ok"));
  EXPECT_EQ(replied().Result, Outcome::Answered);
  EXPECT_EQ(stats().FlowsMoved, 1U);
}

// P7: a planned drain must not refuse requests because an overload has used up
// the retry budget.
TEST_F(FlowPinningTest, MoveOffALeavingUpstreamNeedsNoBudget) {
  const UpstreamId Pinned = exchange(1);
  for (uint64_t Id = 100; Id < 120; ++Id) {
    give(request(Id));
    for (std::vector<Submit> Sent = take<Submit>(); !Sent.empty();
         Sent = take<Submit>()) {
      result(ended(Sent[0].Id, SubmitStatus::NotRun));
      pass(10 * Milli);
    }
  }
  ASSERT_FALSE(take<Reply>().empty());
  give(request(2));
  SubmitResult Refusal = ended(submitted().Id, SubmitStatus::NotRun);
  Refusal.UpstreamDraining = true;
  result(Refusal);
  EXPECT_NE(submitted().Upstream, Pinned);
}

// P6 for a retry: it is new work for the leaving upstream.
TEST_F(FlowPinningTest, RetryAfterTheGraceGoesElsewhere) {
  const UpstreamId Pinned = exchange(1);
  give(request(2, true));
  const Submit Sent = submitted();
  drain(Pinned);
  pass(3 * Second);
  take<Submit>();
  result(ended(Sent.Id, SubmitStatus::Unknown));
  pass(20 * Milli);
  EXPECT_NE(submitted().Upstream, Pinned);
}

TEST_F(FlowPinningTest, EjectedUpstreamBreaksItsFlows) {
  const UpstreamId Pinned = exchange(1);
  Board.ReportedLoads[Pinned].Load.Ejected = true;
  Board.ReportedLoads[Pinned].ReportedAt = TimeSource.Now;
  EXPECT_NE(exchange(2), Pinned);
  EXPECT_EQ(stats().FlowsBroken, 1U);
}

// Guards against flows that stay on a failed upstream because their home gets
// no load reports of it.
TEST_F(FlowPinningTest, RefusalOfAnEjectedUpstreamMovesTheFlow) {
  const UpstreamId Pinned = exchange(1);
  give(request(2));
  SubmitResult Refusal = ended(submitted().Id, SubmitStatus::NotRun);
  Refusal.UpstreamEjected = true;
  result(Refusal);
  EXPECT_NE(submitted().Upstream, Pinned);
}

// The same when a load report of the owner came before its refusal.
TEST_F(FlowPinningTest, RefusalAfterAReportOfEjectionMovesTheFlow) {
  const UpstreamId Pinned = exchange(1);
  give(request(2));
  const Submit Sent = submitted();
  Board.ReportedLoads[Pinned].Load.Ejected = true;
  Board.ReportedLoads[Pinned].ReportedAt = TimeSource.Now;
  result(ended(Sent.Id, SubmitStatus::NotRun));
  EXPECT_NE(submitted().Upstream, Pinned);
}

// Guards against a log line per packet.
TEST_F(FlowPinningTest, LostUpstreamIsLoggedOnce) {
  for (uint64_t Key = 0; Key < 50; ++Key) {
    Flow = FlowKey(Key);
    exchange(1);
  }
  const UpstreamId Lost = Board.Config.Services[Chat].Upstreams[0].Id;
  Board.ReportedLoads[Lost].Load.Ejected = true;
  Board.ReportedLoads[Lost].ReportedAt = TimeSource.Now;
  Sink.Actions.clear();
  for (uint64_t Key = 0; Key < 50; ++Key) {
    Flow = FlowKey(Key);
    exchange(2);
  }
  EXPECT_GT(stats().FlowsBroken, 1U);
  EXPECT_EQ(std::count_if(Sink.Actions.begin(), Sink.Actions.end(),
                          [](const Action &Given) {
                            return std::holds_alternative<LogLine>(Given);
                          }),
            1);
}

TEST_F(FlowPinningTest, RemovedUpstreamLosesItsFlows) {
  const UpstreamId Pinned = exchange(1);
  std::erase_if(
      Board.Config.Services[Chat].Upstreams,
      [&](const UpstreamConfig &Given) { return Given.Id == Pinned; });
  Board.Config.Version = ConfigVersion(2);
  applyConfig();
  EXPECT_NE(exchange(2), Pinned);
  EXPECT_EQ(stats().FlowsBroken, 1U);
}

TEST_F(FlowPinningTest, RemovalAfterADrainIsAMove) {
  const UpstreamId Pinned = exchange(1);
  drain(Pinned);
  pass(5 * Second);
  std::erase_if(
      Board.Config.Services[Chat].Upstreams,
      [&](const UpstreamConfig &Given) { return Given.Id == Pinned; });
  Board.Config.Version = ConfigVersion(3);
  applyConfig();
  pass(60 * Second);
  EXPECT_NE(exchange(2), Pinned);
  EXPECT_EQ(stats().FlowsMoved, 1U);
  EXPECT_EQ(stats().FlowsBroken, 0U);
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
    give(Work);
    EXPECT_EQ(upstream(submitted().Upstream).Zone, "lim-a");
  }
}

} // namespace
} // namespace indigopoint
