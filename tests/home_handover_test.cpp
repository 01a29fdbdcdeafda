#include <gtest/gtest.h>

#include "home_fixture.h"

namespace indigopoint {
namespace {

/// Moves the bucket of the flow from this home to another one.
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

// Guards against a second run at the next home (P5).
TEST_F(HomeHandoverTest, RetransmissionMeetsItsRecord) {
  give(request(1));
  result(ended(submitted().Id, SubmitStatus::Answered, "done"));
  handOver();
  Next.give(Next.request(1));
  EXPECT_TRUE(Next.take<Submit>().empty());
  EXPECT_EQ(Next.replied().Payload, "done");
}

// Guards against a request that is cut, or run twice, by a planned change
// (P5, P7).
TEST_F(HomeHandoverTest, RequestInProgressEndsAtTheOldHome) {
  give(request(1));
  const Submit Sent = submitted();
  handOver();
  EXPECT_EQ(Home.requestsInProgress(), 1U);
  Next.give(Next.request(1));
  EXPECT_TRUE(Next.take<Submit>().empty());
  const std::vector<Relay> Passed = Next.take<Relay>();
  ASSERT_EQ(Passed.size(), 1U);
  Home.onPacket(Caller, Passed[0].Packet, Passed[0].Hops, Sink);
  EXPECT_TRUE(take<Relay>().empty());
  result(ended(Sent.Id, SubmitStatus::Answered, "done"));
  EXPECT_EQ(replied().Payload, "done");
  EXPECT_EQ(Home.requestsInProgress(), 0U);
}

// Guards against a lost reply of such a request.
TEST_F(HomeHandoverTest, AnswerOfTheOldHomeIsRepeated) {
  give(request(1));
  const Submit Sent = submitted();
  handOver();
  result(ended(Sent.Id, SubmitStatus::Answered, "done"));
  replied();
  Next.give(Next.request(1));
  for (const Relay &Passed : Next.take<Relay>())
    Home.onPacket(Caller, Passed.Packet, Passed.Hops, Sink);
  EXPECT_EQ(replied().Payload, "done");
}

// Guards against a connection that the old home closes under the next one.
TEST_F(HomeHandoverTest, OldHomeReleasesNothing) {
  exchange(1);
  give(request(2));
  const Submit Sent = submitted();
  handOver();
  result(ended(Sent.Id, SubmitStatus::Answered, "done"));
  pass(20 * Second);
  EXPECT_TRUE(take<ReleaseFlow>().empty());
}

// The same when the bucket went without dropBucket, as after a partition.
TEST_F(HomeHandoverTest, FlowThatIsServedElsewhereIsNotReleased) {
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
  const std::vector<Relay> Passed = Next.take<Relay>();
  ASSERT_EQ(Passed.size(), 1U);
  Home.onPacket(Caller, Passed[0].Packet, Passed[0].Hops, Sink);
  EXPECT_EQ(take<CancelSubmit>().size(), 1U);
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

// An answer too large for a batch stays at the old home.
TEST_F(HomeHandoverTest, LargeAnswerIsRepeatedByTheOldHome) {
  give(request(1));
  result(ended(submitted().Id, SubmitStatus::Answered, std::string(5000, 'x')));
  replied();
  handOver();
  Next.give(Next.request(1));
  for (const Relay &Passed : Next.take<Relay>())
    Home.onPacket(Caller, Passed.Packet, Passed.Hops, Sink);
  EXPECT_EQ(replied().Payload.size(), 5000U);
}

// Guards against a flow that moves because the two homes have different
// configurations (P1, F3): the next home has more upstreams already.
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

// The same for a flow that is silent until a later change.
TEST_F(HomeHandoverTest, SilentFlowKeepsItsPinAfterALaterChange) {
  const UpstreamId Pinned = exchange(1);
  handOver();
  Next.Board.Config.Services[Chat] = service(Chat, "chat-core", 40);
  Next.Board.Config.Version = ConfigVersion(2);
  Next.applyConfig();
  Next.setOwners(instanceIdOf("lim-b-1"));
  Next.give(Next.request(2));
  EXPECT_EQ(Next.submitted().Upstream, Pinned);
}

// Guards against replicas that a new home has not used yet and loses.
TEST_F(HomeHandoverTest, UnusedReplicaIsHandedOn) {
  const UpstreamId Other = sibling(
      defaultUpstream(Flow, Board.Config.Services[Chat], Board.RegionZones)
          ->Id);
  serveElsewhere("lim-b-2");
  Home.onPinReplica({{{Flow, Chat, Other, false}}});
  recordsCompleteFor(Second);
  handOver();
  Next.give(Next.request(1));
  EXPECT_EQ(Next.submitted().Upstream, Other);
}

// Guards against a request of the old home that ends for lack of a pin.
TEST_F(HomeHandoverTest, HandedOverRequestStillMovesOffALeavingUpstream) {
  const UpstreamId Pinned = exchange(1);
  give(request(2));
  SubmitResult Refusal = ended(submitted().Id, SubmitStatus::NotRun);
  Refusal.UpstreamDraining = true;
  handOver();
  result(Refusal);
  const Submit Again = submitted();
  EXPECT_NE(Again.Upstream, Pinned);
  result(ended(Again.Id, SubmitStatus::Answered, "ok"));
  EXPECT_EQ(replied().Result, Outcome::Answered);
}

} // namespace
} // namespace indigopoint
