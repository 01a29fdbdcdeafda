#include <algorithm>

#include <gtest/gtest.h>

#include "home_fixture.h"

namespace indigopoint {
namespace {

class FlowPinningTest : public HomeFixture {
protected:
  /// Opens the flow on another upstream than its default.
  UpstreamId openRedirectedFlow() {
    sendRequest(request(1));
    const Submit FirstSubmit = popSubmit();
    SubmitResult RedirectResult =
        submitResult(FirstSubmit.Id, SubmitStatus::Redirect);
    RedirectResult.Redirect = sibling(FirstSubmit.Upstream);
    sendResult(RedirectResult);
    sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered, "ok"));
    popReply();
    return RedirectResult.Redirect;
  }

  /// Removes all pin replicas from the sink and returns their pins.
  std::vector<Pin> popReplicatedPins() {
    std::vector<Pin> Pins;
    for (const PinReplica &Batch : popMessages<PinReplica>())
      Pins.insert(Pins.end(), Batch.Pins.begin(), Batch.Pins.end());
    return Pins;
  }

  /// Removes all pin replicas from the sink. Returns whether there were any and
  /// all of them pin the flow to \p Upstream.
  bool popReplicasPinnedTo(UpstreamId Upstream) {
    const std::vector<Pin> Pins = popReplicatedPins();
    return !Pins.empty() &&
           std::all_of(Pins.begin(), Pins.end(), [&](const Pin &Replica) {
             return !Replica.Removed && Replica.Flow == Flow &&
                    Replica.Upstream == Upstream;
           });
  }
};

TEST_F(FlowPinningTest, NewFlowMayBeRedirected) {
  sendRequest(request(1));
  const Submit FirstSubmit = popSubmit();
  EXPECT_TRUE(FirstSubmit.MayRedirect);
  SubmitResult RedirectResult =
      submitResult(FirstSubmit.Id, SubmitStatus::Redirect);
  RedirectResult.Redirect = sibling(FirstSubmit.Upstream);
  sendResult(RedirectResult);
  EXPECT_EQ(popSubmit().Upstream, RedirectResult.Redirect);
  EXPECT_EQ(chatMetrics().Redirects, 1U);
}

// Guards against a redirect that moves an established flow.
TEST_F(FlowPinningTest, EstablishedFlowIsNotRedirected) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  sendRequest(request(2));
  const Submit SentSubmit = popSubmit();
  EXPECT_FALSE(SentSubmit.MayRedirect);
  SubmitResult RedirectResult =
      submitResult(SentSubmit.Id, SubmitStatus::Redirect);
  RedirectResult.Redirect = sibling(PinnedUpstream);
  sendResult(RedirectResult);
  pass(20 * Milli);
  EXPECT_EQ(popSubmit().Upstream, PinnedUpstream);
}

// Guards against two requests of a new flow running on different upstreams
// because each was redirected to another one.
TEST_F(FlowPinningTest, SecondRedirectFollowsTheFirst) {
  sendRequest(request(1));
  const Submit FirstSubmit = popSubmit();
  sendRequest(request(2));
  const Submit SecondSubmit = popSubmit();
  SubmitResult RedirectResult =
      submitResult(FirstSubmit.Id, SubmitStatus::Redirect);
  RedirectResult.Redirect = sibling(FirstSubmit.Upstream);
  sendResult(RedirectResult);
  popSubmit();
  SubmitResult SecondRedirect =
      submitResult(SecondSubmit.Id, SubmitStatus::Redirect);
  for (const UpstreamConfig &Upstream : Board.Config.Services[Chat].Upstreams)
    if (Upstream.Id != FirstSubmit.Upstream &&
        Upstream.Id != RedirectResult.Redirect)
      SecondRedirect.Redirect = Upstream.Id;
  sendResult(SecondRedirect);
  EXPECT_EQ(popSubmit().Upstream, RedirectResult.Redirect);
}

// Guards against established flows moving when added upstreams change their
// default upstream.
TEST_F(FlowPinningTest, NewUpstreamsMoveNoEstablishedFlow) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  ServiceConfig &Service = Board.Config.Services[Chat];
  Service.Upstreams = service(Chat, "chat-core", 40).Upstreams;
  Board.Config.Version = ConfigVersion(2);
  applyConfig();
  setOwners(instanceIdOf("lim-b-1"));
  EXPECT_EQ(exchangeRequest(2), PinnedUpstream);
}

// Guards against the loss of a non-default pin that only the home instance has.
TEST_F(FlowPinningTest, NonDefaultPinIsReplicatedToTheBackup) {
  const UpstreamId PinnedUpstream = openRedirectedFlow();
  pass(20 * Milli);
  EXPECT_TRUE(popReplicasPinnedTo(PinnedUpstream));
}

TEST_F(FlowPinningTest, DefaultPinIsNotReplicated) {
  exchangeRequest(1);
  pass(2 * Second);
  EXPECT_TRUE(popReplicatedPins().empty());
}

// Guards against the loss of a replica when one datagram is lost.
TEST_F(FlowPinningTest, ReplicaIsSentAgain) {
  openRedirectedFlow();
  pass(20 * Milli);
  popReplicatedPins();
  pass(600 * Milli);
  EXPECT_GE(popReplicatedPins().size(), 1U);
}

TEST_F(FlowPinningTest, ClosedNonDefaultPinIsRemovedFromTheBackup) {
  openRedirectedFlow();
  pass(Second);
  popReplicatedPins();
  Controller.onPacket(Caller, CloseFlow{Flow, Chat}, 0, Sink);
  pass(20 * Milli);
  const std::vector<Pin> Pins = popReplicatedPins();
  ASSERT_GE(Pins.size(), 1U);
  EXPECT_TRUE(Pins.back().Removed);
}

// Guards against a flow that moves when its home instance dies after a change
// of the configuration. The change gives the flow another default, so its pin
// has to be replicated from then on.
TEST_F(FlowPinningTest, ChangedDefaultMakesPinNonDefault) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  drain(PinnedUpstream);
  pass(20 * Milli);
  EXPECT_TRUE(popReplicasPinnedTo(PinnedUpstream));
}

// Guards against a new backup instance that never receives the non-default pins
// made before it became the backup.
TEST_F(FlowPinningTest, NewBackupGetsTheNonDefaultPins) {
  const UpstreamId PinnedUpstream = openRedirectedFlow();
  pass(5 * Second);
  popMessages<PinReplica>();
  Sink.Actions.clear();
  const InstanceId OldBackup = Board.CurrentPlacement.backup(bucketOf(Flow));
  Board.Members.ById.erase(OldBackup);
  applyConfig();
  const InstanceId NewBackup = Board.CurrentPlacement.backup(bucketOf(Flow));
  ASSERT_NE(NewBackup, OldBackup);
  pass(20 * Milli);
  EXPECT_TRUE(popReplicasPinnedTo(PinnedUpstream));
}

// Guards against an established flow moving when its home instance dies: the
// backup instance has to use the replicated pin.
TEST_F(FlowPinningTest, ReplicaSurvivesTheDeathOfItsHome) {
  const UpstreamId PinnedUpstream = openRedirectedFlow();
  pass(20 * Milli);
  const std::vector<PinReplica> Batches = popMessages<PinReplica>();
  TestHomeInstance NextHome("lim-a-2");
  NextHome.setHomeOfAllBuckets("lim-a-1");
  for (const PinReplica &Batch : Batches)
    NextHome.Controller.onPinReplica(Batch);
  NextHome.setRecordsCompleteFor(2 * Second);
  NextHome.sendRequest(NextHome.request(2));
  const Submit SentSubmit = NextHome.popSubmit();
  EXPECT_EQ(SentSubmit.Upstream, PinnedUpstream);
  EXPECT_FALSE(SentSubmit.MayRedirect);
}

// Guards against a new home instance that uses replicas but does not replicate
// them to its own backup instance.
TEST_F(FlowPinningTest, RestoredReplicaIsReplicatedAgain) {
  setHomeOfAllBuckets("lim-a-2");
  const UpstreamId FirstUpstream = Board.Config.Services[Chat].Upstreams[0].Id;
  const UpstreamId SecondUpstream = Board.Config.Services[Chat].Upstreams[1].Id;
  const UpstreamConfig *Default =
      defaultUpstream(Flow, Board.Config.Services[Chat], Board.RegionZones);
  const UpstreamId NonDefault =
      Default->Id == FirstUpstream ? SecondUpstream : FirstUpstream;
  Controller.onPinReplica({{{Flow, Chat, NonDefault, false}}});
  setRecordsCompleteFor(Second);
  pass(1100 * Milli);
  const std::vector<Pin> Pins = popReplicatedPins();
  ASSERT_GE(Pins.size(), 1U);
  EXPECT_EQ(Pins[0].Upstream, NonDefault);
}

// Requests of established flows still go to a draining upstream during its
// drain grace.
TEST_F(FlowPinningTest, EstablishedFlowStaysDuringTheDrainGrace) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  drain(PinnedUpstream);
  pass(2900 * Milli);
  EXPECT_EQ(exchangeRequest(2), PinnedUpstream);
}

// Guards against new requests to a draining upstream after the grace; the flow
// has to move between two requests.
TEST_F(FlowPinningTest, EstablishedFlowMovesAfterTheDrainGrace) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  drain(PinnedUpstream);
  pass(3 * Second);
  EXPECT_NE(exchangeRequest(2), PinnedUpstream);
  EXPECT_EQ(chatMetrics().FlowsMoved, 1U);
  EXPECT_EQ(chatMetrics().FlowsBroken, 0U);
  EXPECT_EQ(popMessages<ReleaseFlow>().size(), 1U);
}

// Guards against aborting a request in progress on a draining upstream when its
// flow moves.
TEST_F(FlowPinningTest, MoveAbortsNoRequestInProgress) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  sendRequest(request(2));
  const Submit OldSubmit = popSubmit();
  drain(PinnedUpstream);
  pass(3 * Second);
  Sink.Actions.clear();
  sendRequest(request(3));
  const Submit NewSubmit = popSubmit();
  EXPECT_NE(NewSubmit.Upstream, PinnedUpstream);
  EXPECT_TRUE(popMessages<ReleaseFlow>().empty());
  EXPECT_TRUE(popMessages<CancelSubmit>().empty());
  sendResult(submitResult(OldSubmit.Id, SubmitStatus::Answered, "old"));
  EXPECT_EQ(popReply().Payload, "old");
  EXPECT_EQ(popMessages<ReleaseFlow>().size(), 1U);
}

// Guards against new flows on a draining upstream when only a load report says
// that it drains.
TEST_F(FlowPinningTest, NewFlowAvoidsADrainingUpstream) {
  const UpstreamId Default =
      defaultUpstream(Flow, Board.Config.Services[Chat], Board.RegionZones)->Id;
  Board.ReportedLoads[Default].Load.Draining = true;
  pass(100 * Milli);
  EXPECT_NE(exchangeRequest(1), Default);
}

// Guards against a request of an established flow failing because a draining
// upstream refused it.
TEST_F(FlowPinningTest, RefusalByADrainingUpstreamMovesTheFlow) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  sendRequest(request(2));
  SubmitResult Refusal = submitResult(popSubmit().Id, SubmitStatus::NotRun);
  Refusal.UpstreamDraining = true;
  sendResult(Refusal);
  const Submit Retry = popSubmit();
  EXPECT_NE(Retry.Upstream, PinnedUpstream);
  sendResult(submitResult(Retry.Id, SubmitStatus::Answered, "ok"));
  EXPECT_EQ(popReply().Result, Outcome::Answered);
  EXPECT_EQ(chatMetrics().FlowsMoved, 1U);
}

// Guards against a planned drain that makes requests fail because an overload
// has used up the retry budget.
TEST_F(FlowPinningTest, MoveFromADrainingUpstreamNeedsNoRetryBudget) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  for (uint64_t Id = 100; Id < 120; ++Id) {
    sendRequest(request(Id));
    for (std::vector<Submit> Submits = popMessages<Submit>(); !Submits.empty();
         Submits = popMessages<Submit>()) {
      sendResult(submitResult(Submits[0].Id, SubmitStatus::NotRun));
      pass(10 * Milli);
    }
  }
  ASSERT_FALSE(popMessages<Reply>().empty());
  sendRequest(request(2));
  SubmitResult Refusal = submitResult(popSubmit().Id, SubmitStatus::NotRun);
  Refusal.UpstreamDraining = true;
  sendResult(Refusal);
  EXPECT_NE(popSubmit().Upstream, PinnedUpstream);
}

// Guards against a retry on a draining upstream after the grace: a retry counts
// as a new request there.
TEST_F(FlowPinningTest, RetryAfterTheGraceUsesAnotherUpstream) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  sendRequest(request(2, true));
  const Submit SentSubmit = popSubmit();
  drain(PinnedUpstream);
  pass(3 * Second);
  popMessages<Submit>();
  sendResult(submitResult(SentSubmit.Id, SubmitStatus::Unknown));
  pass(20 * Milli);
  EXPECT_NE(popSubmit().Upstream, PinnedUpstream);
}

TEST_F(FlowPinningTest, EjectedUpstreamBreaksItsFlows) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  Board.ReportedLoads[PinnedUpstream].Load.Ejected = true;
  Board.ReportedLoads[PinnedUpstream].ReportedAt = TimeSource.Now;
  EXPECT_NE(exchangeRequest(2), PinnedUpstream);
  EXPECT_EQ(chatMetrics().FlowsBroken, 1U);
}

// Guards against flows that stay on a failed upstream because their home
// instance receives no load reports about it.
TEST_F(FlowPinningTest, RefusalByAnEjectedUpstreamMovesTheFlow) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  sendRequest(request(2));
  SubmitResult Refusal = submitResult(popSubmit().Id, SubmitStatus::NotRun);
  Refusal.UpstreamEjected = true;
  sendResult(Refusal);
  EXPECT_NE(popSubmit().Upstream, PinnedUpstream);
}

// Guards against flows that stay on a failed upstream when the owner's load
// report arrives before its refusal, which does not repeat the failure.
TEST_F(FlowPinningTest, RefusalAfterAReportOfEjectionMovesTheFlow) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  sendRequest(request(2));
  const Submit SentSubmit = popSubmit();
  Board.ReportedLoads[PinnedUpstream].Load.Ejected = true;
  Board.ReportedLoads[PinnedUpstream].ReportedAt = TimeSource.Now;
  sendResult(submitResult(SentSubmit.Id, SubmitStatus::NotRun));
  EXPECT_NE(popSubmit().Upstream, PinnedUpstream);
}

// Guards against one log line for each flow of a failed upstream.
TEST_F(FlowPinningTest, LostUpstreamIsLoggedOnce) {
  for (uint64_t Key = 0; Key < 50; ++Key) {
    Flow = FlowKey(Key);
    exchangeRequest(1);
  }
  const UpstreamId Failed = Board.Config.Services[Chat].Upstreams[0].Id;
  Board.ReportedLoads[Failed].Load.Ejected = true;
  Board.ReportedLoads[Failed].ReportedAt = TimeSource.Now;
  Sink.Actions.clear();
  for (uint64_t Key = 0; Key < 50; ++Key) {
    Flow = FlowKey(Key);
    exchangeRequest(2);
  }
  EXPECT_GT(chatMetrics().FlowsBroken, 1U);
  EXPECT_EQ(std::count_if(Sink.Actions.begin(), Sink.Actions.end(),
                          [](const Action &SentAction) {
                            return std::holds_alternative<LogLine>(SentAction);
                          }),
            1);
}

TEST_F(FlowPinningTest, RemovedUpstreamLosesItsFlows) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  std::erase_if(Board.Config.Services[Chat].Upstreams,
                [&](const UpstreamConfig &Upstream) {
                  return Upstream.Id == PinnedUpstream;
                });
  Board.Config.Version = ConfigVersion(2);
  applyConfig();
  EXPECT_NE(exchangeRequest(2), PinnedUpstream);
  EXPECT_EQ(chatMetrics().FlowsBroken, 1U);
}

TEST_F(FlowPinningTest, RemovalAfterADrainIsAMove) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  drain(PinnedUpstream);
  pass(5 * Second);
  std::erase_if(Board.Config.Services[Chat].Upstreams,
                [&](const UpstreamConfig &Upstream) {
                  return Upstream.Id == PinnedUpstream;
                });
  Board.Config.Version = ConfigVersion(3);
  applyConfig();
  pass(60 * Second);
  EXPECT_NE(exchangeRequest(2), PinnedUpstream);
  EXPECT_EQ(chatMetrics().FlowsMoved, 1U);
  EXPECT_EQ(chatMetrics().FlowsBroken, 0U);
}

// Guards against new flows on upstreams in a zone without instances, which is
// probably cut off.
TEST_F(FlowPinningTest, NewFlowAvoidsAZoneWithoutInstances) {
  Board.Members.ById.erase(instanceIdOf("lim-b-1"));
  Board.Members.ById.erase(instanceIdOf("lim-b-2"));
  applyConfig();
  setOwners(instanceIdOf("lim-a-2"));
  for (uint64_t Key = 0; Key < 100; ++Key) {
    Request NewRequest = request(1);
    NewRequest.Flow = FlowKey(Key);
    sendRequest(NewRequest);
    EXPECT_EQ(upstream(popSubmit().Upstream).Zone, "lim-a");
  }
}

} // namespace
} // namespace indigopoint
