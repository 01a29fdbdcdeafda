#include <gtest/gtest.h>

#include "home_fixture.h"

namespace indigopoint {
namespace {

/// Hands the bucket of the flow over from one home instance to another.
class HomeHandoverTest : public HomeFixture {
protected:
  HomeHandoverTest() { NewHome.setHomeOfAllBuckets("lim-a-1"); }

  void handOver() {
    HandoverBatch Batch;
    Controller.exportBucket(bucketOf(Flow), Batch);
    NewHome.Controller.importBatch(Batch, NewHome.Sink);
    setHomeOfAllBuckets("lim-a-2");
    Controller.dropBucket(bucketOf(Flow));
    NewHome.TimeSource.Now = TimeSource.Now;
    for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
      NewHome.Board.CurrentOwnership.setBucket(
          Bucket, {NewHome.Board.Self.Id, TimePoint()});
  }

  TestHomeInstance NewHome{"lim-a-2"};
};

// Guards against a second run of a request at the next home. No request may run
// twice.
TEST_F(HomeHandoverTest, RetransmissionGetsRecordedReply) {
  sendRequest(request(1));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered, "done"));
  handOver();
  NewHome.sendRequest(NewHome.request(1));
  EXPECT_TRUE(NewHome.popMessages<Submit>().empty());
  EXPECT_EQ(NewHome.popReply().Payload, "done");
}

// Guards against a request that a planned change interrupts or runs twice: the
// old home finishes it, and the new home relays retransmissions there.
TEST_F(HomeHandoverTest, RequestInProgressFinishesAtOldHome) {
  sendRequest(request(1));
  const Submit SentSubmit = popSubmit();
  handOver();
  EXPECT_EQ(Controller.requestsInProgress(), 1U);
  NewHome.sendRequest(NewHome.request(1));
  EXPECT_TRUE(NewHome.popMessages<Submit>().empty());
  const std::vector<Relay> RelayMessages = NewHome.popMessages<Relay>();
  ASSERT_EQ(RelayMessages.size(), 1U);
  Controller.onPacket(Caller, RelayMessages[0].Packet, RelayMessages[0].Hops,
                      Sink);
  EXPECT_TRUE(popMessages<Relay>().empty());
  sendResult(submitResult(SentSubmit.Id, SubmitStatus::Answered, "done"));
  EXPECT_EQ(popReply().Payload, "done");
  EXPECT_EQ(Controller.requestsInProgress(), 0U);
}

// Guards against a caller that never gets the reply of a request that was in
// progress during the handover, because the first reply was lost.
TEST_F(HomeHandoverTest, ReplyOfOldHomeIsRepeated) {
  sendRequest(request(1));
  const Submit SentSubmit = popSubmit();
  handOver();
  sendResult(submitResult(SentSubmit.Id, SubmitStatus::Answered, "done"));
  popReply();
  NewHome.sendRequest(NewHome.request(1));
  for (const Relay &RelayMessage : NewHome.popMessages<Relay>())
    Controller.onPacket(Caller, RelayMessage.Packet, RelayMessage.Hops, Sink);
  EXPECT_EQ(popReply().Payload, "done");
}

// Guards against an old home that closes a connection that the next home uses.
TEST_F(HomeHandoverTest, OldHomeReleasesNothing) {
  exchangeRequest(1);
  sendRequest(request(2));
  const Submit SentSubmit = popSubmit();
  handOver();
  sendResult(submitResult(SentSubmit.Id, SubmitStatus::Answered, "done"));
  pass(20 * Second);
  EXPECT_TRUE(popMessages<ReleaseFlow>().empty());
}

// Guards against the same failure when the bucket moved without dropBucket, as
// after a partition.
TEST_F(HomeHandoverTest, FlowMovedWithoutHandoverIsNotReleased) {
  Board.Config.Services[Chat].IdleTimeout = 5 * Second;
  exchangeRequest(1);
  setHomeOfAllBuckets("lim-a-2");
  pass(30 * Second);
  EXPECT_EQ(Board.OpenFlows, 0U);
  EXPECT_TRUE(popMessages<ReleaseFlow>().empty());
}

TEST_F(HomeHandoverTest, LossOfOldHomeGivesUnknownOutcome) {
  sendRequest(request(1));
  handOver();
  NewHome.Controller.onInstanceLost(instanceIdOf("lim-a-1"), NewHome.Sink);
  NewHome.Board.Members.ById.erase(instanceIdOf("lim-a-1"));
  NewHome.sendRequest(NewHome.request(1));
  EXPECT_TRUE(NewHome.popMessages<Submit>().empty());
  EXPECT_EQ(NewHome.popReply().Result, Outcome::Unknown);
}

TEST_F(HomeHandoverTest, CancelReachesTheOldHome) {
  sendRequest(request(1));
  popSubmit();
  handOver();
  NewHome.Controller.onPacket(Caller, Cancel{Flow, Chat, RequestId(1)}, 0,
                              NewHome.Sink);
  const std::vector<Relay> RelayMessages = NewHome.popMessages<Relay>();
  ASSERT_EQ(RelayMessages.size(), 1U);
  Controller.onPacket(Caller, RelayMessages[0].Packet, RelayMessages[0].Hops,
                      Sink);
  EXPECT_EQ(popMessages<CancelSubmit>().size(), 1U);
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// Guards against losing a reply that is too large for a batch: it stays at the
// old home.
TEST_F(HomeHandoverTest, LargeReplyIsRepeatedByOldHome) {
  sendRequest(request(1));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered,
                          std::string(5000, 'x')));
  popReply();
  handOver();
  NewHome.sendRequest(NewHome.request(1));
  for (const Relay &RelayMessage : NewHome.popMessages<Relay>())
    Controller.onPacket(Caller, RelayMessage.Packet, RelayMessage.Hops, Sink);
  EXPECT_EQ(popReply().Payload.size(), 5000U);
}

// Guards against a flow that changes its upstream because the two homes have
// different configurations: the next home already has more upstreams.
TEST_F(HomeHandoverTest, PinSurvivesSkewedConfigurations) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  NewHome.Board.Config.Services[Chat] = service(Chat, "chat-core", 40);
  NewHome.Board.Config.Version = ConfigVersion(2);
  NewHome.applyConfig();
  NewHome.setOwners(instanceIdOf("lim-b-1"));
  handOver();
  NewHome.sendRequest(NewHome.request(2));
  EXPECT_EQ(NewHome.popSubmit().Upstream, PinnedUpstream);
}

// Guards against the same failure for a flow that is idle until a later change.
TEST_F(HomeHandoverTest, IdleFlowKeepsPinAfterLaterChange) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  handOver();
  NewHome.Board.Config.Services[Chat] = service(Chat, "chat-core", 40);
  NewHome.Board.Config.Version = ConfigVersion(2);
  NewHome.applyConfig();
  NewHome.setOwners(instanceIdOf("lim-b-1"));
  NewHome.sendRequest(NewHome.request(2));
  EXPECT_EQ(NewHome.popSubmit().Upstream, PinnedUpstream);
}

// Guards against losing a pin replica that the home has not used before it
// hands the bucket over.
TEST_F(HomeHandoverTest, UnusedReplicaIsHandedOn) {
  const UpstreamId PinnedUpstream = sibling(
      defaultUpstream(Flow, Board.Config.Services[Chat], Board.RegionZones)
          ->Id);
  setHomeOfAllBuckets("lim-b-2");
  Controller.onPinReplica({{{Flow, Chat, PinnedUpstream, false}}});
  setRecordsCompleteFor(Second);
  handOver();
  NewHome.sendRequest(NewHome.request(1));
  EXPECT_EQ(NewHome.popSubmit().Upstream, PinnedUpstream);
}

// Guards against a request of the old home that fails because the pin of its
// flow was handed over.
TEST_F(HomeHandoverTest, HandedOverRequestMovesOffDrainingUpstream) {
  const UpstreamId PinnedUpstream = exchangeRequest(1);
  sendRequest(request(2));
  SubmitResult DrainingResult =
      submitResult(popSubmit().Id, SubmitStatus::NotRun);
  DrainingResult.UpstreamDraining = true;
  handOver();
  sendResult(DrainingResult);
  const Submit Resubmitted = popSubmit();
  EXPECT_NE(Resubmitted.Upstream, PinnedUpstream);
  sendResult(submitResult(Resubmitted.Id, SubmitStatus::Answered, "ok"));
  EXPECT_EQ(popReply().Result, Outcome::Answered);
}

} // namespace
} // namespace indigopoint
