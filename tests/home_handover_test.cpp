#include <gtest/gtest.h>

#include "home_fixture.h"

namespace indigopoint {
namespace {

/// Hands the bucket of the flow over from one home instance to another.
class HomeHandoverTest : public HomeFixture {
protected:
  HomeHandoverTest() { Next.serveElsewhere("lim-a-1"); }

  void handOver() {
    HandoverBatch Batch;
    Home.exportBucket(bucketOf(Flow), Batch);
    Next.Home.importBatch(Batch, Next.Sink);
    serveElsewhere("lim-a-2");
    Home.dropBucket(bucketOf(Flow));
    Next.TimeSource.Now = TimeSource.Now;
    for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
      Next.Board.CurrentOwnership.setBucket(Bucket,
                                            {Next.Board.Self.Id, TimePoint()});
  }

  HomeRig Next{"lim-a-2"};
};

// Guards against a second run of a request at the next home. No request may run
// twice.
TEST_F(HomeHandoverTest, RetransmissionGetsRecordedReply) {
  give(request(1));
  result(ended(submitted().Id, SubmitStatus::Answered, "done"));
  handOver();
  Next.give(Next.request(1));
  EXPECT_TRUE(Next.take<Submit>().empty());
  EXPECT_EQ(Next.replied().Payload, "done");
}

// Guards against a request that a planned change interrupts or runs twice: the
// old home finishes it, and the new home relays retransmissions there.
TEST_F(HomeHandoverTest, RequestInProgressFinishesAtOldHome) {
  give(request(1));
  const Submit Sent = submitted();
  handOver();
  EXPECT_EQ(Home.requestsInProgress(), 1U);
  Next.give(Next.request(1));
  EXPECT_TRUE(Next.take<Submit>().empty());
  const std::vector<Relay> RelayMessages = Next.take<Relay>();
  ASSERT_EQ(RelayMessages.size(), 1U);
  Home.onPacket(Caller, RelayMessages[0].Packet, RelayMessages[0].Hops, Sink);
  EXPECT_TRUE(take<Relay>().empty());
  result(ended(Sent.Id, SubmitStatus::Answered, "done"));
  EXPECT_EQ(replied().Payload, "done");
  EXPECT_EQ(Home.requestsInProgress(), 0U);
}

// Guards against a caller that never gets the reply of a request that was in
// progress during the handover, because the first reply was lost.
TEST_F(HomeHandoverTest, ReplyOfOldHomeIsRepeated) {
  give(request(1));
  const Submit Sent = submitted();
  handOver();
  result(ended(Sent.Id, SubmitStatus::Answered, "done"));
  replied();
  Next.give(Next.request(1));
  for (const Relay &RelayMessage : Next.take<Relay>())
    Home.onPacket(Caller, RelayMessage.Packet, RelayMessage.Hops, Sink);
  EXPECT_EQ(replied().Payload, "done");
}

// Guards against an old home that closes a connection that the next home uses.
TEST_F(HomeHandoverTest, OldHomeReleasesNothing) {
  exchange(1);
  give(request(2));
  const Submit Sent = submitted();
  handOver();
  result(ended(Sent.Id, SubmitStatus::Answered, "done"));
  pass(20 * Second);
  EXPECT_TRUE(take<ReleaseFlow>().empty());
}

// Guards against the same failure when the bucket moved without dropBucket, as
// after a partition.
TEST_F(HomeHandoverTest, FlowMovedWithoutHandoverIsNotReleased) {
  Board.Config.Services[Chat].IdleTimeout = 5 * Second;
  exchange(1);
  serveElsewhere("lim-a-2");
  pass(30 * Second);
  EXPECT_EQ(Board.OpenFlows, 0U);
  EXPECT_TRUE(take<ReleaseFlow>().empty());
}

TEST_F(HomeHandoverTest, LossOfTheOldHomeEndsItsRequestUnknown) {
  give(request(1));
  handOver();
  Next.Home.onInstanceLost(instanceIdOf("lim-a-1"), Next.Sink);
  Next.Board.Members.ById.erase(instanceIdOf("lim-a-1"));
  Next.give(Next.request(1));
  EXPECT_TRUE(Next.take<Submit>().empty());
  EXPECT_EQ(Next.replied().Result, Outcome::Unknown);
}

TEST_F(HomeHandoverTest, CancelReachesTheOldHome) {
  give(request(1));
  submitted();
  handOver();
  Next.Home.onPacket(Caller, Cancel{Flow, Chat, RequestId(1)}, 0, Next.Sink);
  const std::vector<Relay> RelayMessages = Next.take<Relay>();
  ASSERT_EQ(RelayMessages.size(), 1U);
  Home.onPacket(Caller, RelayMessages[0].Packet, RelayMessages[0].Hops, Sink);
  EXPECT_EQ(take<CancelSubmit>().size(), 1U);
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

// Guards against losing a reply that is too large for a batch: it stays at the
// old home.
TEST_F(HomeHandoverTest, LargeReplyIsRepeatedByOldHome) {
  give(request(1));
  result(ended(submitted().Id, SubmitStatus::Answered, std::string(5000, 'x')));
  replied();
  handOver();
  Next.give(Next.request(1));
  for (const Relay &RelayMessage : Next.take<Relay>())
    Home.onPacket(Caller, RelayMessage.Packet, RelayMessage.Hops, Sink);
  EXPECT_EQ(replied().Payload.size(), 5000U);
}

// Guards against a flow that changes its upstream because the two homes have
// different configurations: the next home already has more upstreams.
TEST_F(HomeHandoverTest, PinSurvivesSkewedConfigurations) {
  const UpstreamId Pinned = exchange(1);
  Next.Board.Config.Services[Chat] = service(Chat, "chat-core", 40);
  Next.Board.Config.Version = ConfigVersion(2);
  Next.applyConfig();
  Next.setOwners(instanceIdOf("lim-b-1"));
  handOver();
  Next.give(Next.request(2));
  EXPECT_EQ(Next.submitted().Upstream, Pinned);
}

// Guards against the same failure for a flow that is idle until a later change.
TEST_F(HomeHandoverTest, IdleFlowKeepsPinAfterLaterChange) {
  const UpstreamId Pinned = exchange(1);
  handOver();
  Next.Board.Config.Services[Chat] = service(Chat, "chat-core", 40);
  Next.Board.Config.Version = ConfigVersion(2);
  Next.applyConfig();
  Next.setOwners(instanceIdOf("lim-b-1"));
  Next.give(Next.request(2));
  EXPECT_EQ(Next.submitted().Upstream, Pinned);
}

// Guards against losing a pin replica that the home has not used before it
// hands the bucket over.
TEST_F(HomeHandoverTest, UnusedReplicaIsHandedOn) {
  const UpstreamId PinnedUpstream = sibling(
      defaultUpstream(Flow, Board.Config.Services[Chat], Board.RegionZones)
          ->Id);
  serveElsewhere("lim-b-2");
  Home.onPinReplica({{{Flow, Chat, PinnedUpstream, false}}});
  recordsCompleteFor(Second);
  handOver();
  Next.give(Next.request(1));
  EXPECT_EQ(Next.submitted().Upstream, PinnedUpstream);
}

// Guards against a request of the old home that fails because the pin of its
// flow was handed over.
TEST_F(HomeHandoverTest, HandedOverRequestMovesOffDrainingUpstream) {
  const UpstreamId Pinned = exchange(1);
  give(request(2));
  SubmitResult DrainingResult = ended(submitted().Id, SubmitStatus::NotRun);
  DrainingResult.UpstreamDraining = true;
  handOver();
  result(DrainingResult);
  const Submit Resubmitted = submitted();
  EXPECT_NE(Resubmitted.Upstream, Pinned);
  result(ended(Resubmitted.Id, SubmitStatus::Answered, "ok"));
  EXPECT_EQ(replied().Result, Outcome::Answered);
}

} // namespace
} // namespace indigopoint
