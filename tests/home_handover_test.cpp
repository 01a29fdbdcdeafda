#include <gtest/gtest.h>

#include "home_fixture.h"

namespace indigopoint {
namespace {

/// Moves the bucket of the flow from this home to another one.
class HomeHandoverTest : public HomeFixture {
protected:
  HomeHandoverTest() { Next.setHomeOfAllBuckets("lim-a-1"); }

  void handOver() {
    HandoverBatch Batch;
    Controller.exportBucket(bucketOf(Flow), Batch);
    Next.Controller.importBatch(Batch, Next.Sink);
    setHomeOfAllBuckets("lim-a-2");
    Controller.dropBucket(bucketOf(Flow));
    Next.TimeSource.Now = TimeSource.Now;
    for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
      Next.Board.CurrentOwnership.setBucket(Bucket,
                                            {Next.Board.Self.Id, TimePoint()});
  }

  TestHomeInstance Next{"lim-a-2"};
};

// Guards against a second run at the next home (P5).
TEST_F(HomeHandoverTest, RetransmissionMeetsItsRecord) {
  sendRequest(request(1));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered, "done"));
  handOver();
  Next.sendRequest(Next.request(1));
  EXPECT_TRUE(Next.popMessages<Submit>().empty());
  EXPECT_EQ(Next.popReply().Payload, "done");
}

// Guards against a request that is cut, or run twice, by a planned change
// (P5, P7).
TEST_F(HomeHandoverTest, RequestInProgressEndsAtTheOldHome) {
  sendRequest(request(1));
  const Submit Sent = popSubmit();
  handOver();
  EXPECT_EQ(Controller.requestsInProgress(), 1U);
  Next.sendRequest(Next.request(1));
  EXPECT_TRUE(Next.popMessages<Submit>().empty());
  const std::vector<Relay> Passed = Next.popMessages<Relay>();
  ASSERT_EQ(Passed.size(), 1U);
  Controller.onPacket(Caller, Passed[0].Packet, Passed[0].Hops, Sink);
  EXPECT_TRUE(popMessages<Relay>().empty());
  sendResult(submitResult(Sent.Id, SubmitStatus::Answered, "done"));
  EXPECT_EQ(popReply().Payload, "done");
  EXPECT_EQ(Controller.requestsInProgress(), 0U);
}

// Guards against a lost reply of such a request.
TEST_F(HomeHandoverTest, AnswerOfTheOldHomeIsRepeated) {
  sendRequest(request(1));
  const Submit Sent = popSubmit();
  handOver();
  sendResult(submitResult(Sent.Id, SubmitStatus::Answered, "done"));
  popReply();
  Next.sendRequest(Next.request(1));
  for (const Relay &Passed : Next.popMessages<Relay>())
    Controller.onPacket(Caller, Passed.Packet, Passed.Hops, Sink);
  EXPECT_EQ(popReply().Payload, "done");
}

// Guards against a connection that the old home closes under the next one.
TEST_F(HomeHandoverTest, OldHomeReleasesNothing) {
  exchangeRequest(1);
  sendRequest(request(2));
  const Submit Sent = popSubmit();
  handOver();
  sendResult(submitResult(Sent.Id, SubmitStatus::Answered, "done"));
  pass(20 * Second);
  EXPECT_TRUE(popMessages<ReleaseFlow>().empty());
}

// The same when the bucket went without dropBucket, as after a partition.
TEST_F(HomeHandoverTest, FlowThatIsServedElsewhereIsNotReleased) {
  Board.Config.Services[Chat].IdleTimeout = 5 * Second;
  exchangeRequest(1);
  setHomeOfAllBuckets("lim-a-2");
  pass(30 * Second);
  EXPECT_EQ(Board.OpenFlows, 0U);
  EXPECT_TRUE(popMessages<ReleaseFlow>().empty());
}

TEST_F(HomeHandoverTest, LossOfTheOldHomeEndsItsRequestUnknown) {
  sendRequest(request(1));
  handOver();
  Next.Controller.onInstanceLost(instanceIdOf("lim-a-1"), Next.Sink);
  Next.Board.Members.ById.erase(instanceIdOf("lim-a-1"));
  Next.sendRequest(Next.request(1));
  EXPECT_TRUE(Next.popMessages<Submit>().empty());
  EXPECT_EQ(Next.popReply().Result, Outcome::Unknown);
}

TEST_F(HomeHandoverTest, CancelReachesTheOldHome) {
  sendRequest(request(1));
  popSubmit();
  handOver();
  Next.Controller.onPacket(Caller, Cancel{Flow, Chat, RequestId(1)}, 0,
                           Next.Sink);
  const std::vector<Relay> Passed = Next.popMessages<Relay>();
  ASSERT_EQ(Passed.size(), 1U);
  Controller.onPacket(Caller, Passed[0].Packet, Passed[0].Hops, Sink);
  EXPECT_EQ(popMessages<CancelSubmit>().size(), 1U);
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// An answer too large for a batch stays at the old home.
TEST_F(HomeHandoverTest, LargeAnswerIsRepeatedByTheOldHome) {
  sendRequest(request(1));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered,
                          std::string(5000, 'x')));
  popReply();
  handOver();
  Next.sendRequest(Next.request(1));
  for (const Relay &Passed : Next.popMessages<Relay>())
    Controller.onPacket(Caller, Passed.Packet, Passed.Hops, Sink);
  EXPECT_EQ(popReply().Payload.size(), 5000U);
}

// Guards against a flow that moves because the two homes have different
// configurations (P1, F3): the next home has more upstreams already.
TEST_F(HomeHandoverTest, PinSurvivesSkewedConfigurations) {
  const UpstreamId Pinned = exchangeRequest(1);
  Next.Board.Config.Services[Chat] = service(Chat, "chat-core", 40);
  Next.Board.Config.Version = ConfigVersion(2);
  Next.applyConfig();
  Next.setOwners(instanceIdOf("lim-b-1"));
  handOver();
  Next.sendRequest(Next.request(2));
  EXPECT_EQ(Next.popSubmit().Upstream, Pinned);
}

// The same for a flow that is silent until a later change.
TEST_F(HomeHandoverTest, SilentFlowKeepsItsPinAfterALaterChange) {
  const UpstreamId Pinned = exchangeRequest(1);
  handOver();
  Next.Board.Config.Services[Chat] = service(Chat, "chat-core", 40);
  Next.Board.Config.Version = ConfigVersion(2);
  Next.applyConfig();
  Next.setOwners(instanceIdOf("lim-b-1"));
  Next.sendRequest(Next.request(2));
  EXPECT_EQ(Next.popSubmit().Upstream, Pinned);
}

// Guards against replicas that a new home has not used yet and loses.
TEST_F(HomeHandoverTest, UnusedReplicaIsHandedOn) {
  const UpstreamId Other = sibling(
      defaultUpstream(Flow, Board.Config.Services[Chat], Board.RegionZones)
          ->Id);
  setHomeOfAllBuckets("lim-b-2");
  Controller.onPinReplica({{{Flow, Chat, Other, false}}});
  setRecordsCompleteFor(Second);
  handOver();
  Next.sendRequest(Next.request(1));
  EXPECT_EQ(Next.popSubmit().Upstream, Other);
}

// Guards against a request of the old home that ends for lack of a pin.
TEST_F(HomeHandoverTest, HandedOverRequestStillMovesOffALeavingUpstream) {
  const UpstreamId Pinned = exchangeRequest(1);
  sendRequest(request(2));
  SubmitResult Refusal = submitResult(popSubmit().Id, SubmitStatus::NotRun);
  Refusal.UpstreamDraining = true;
  handOver();
  sendResult(Refusal);
  const Submit Again = popSubmit();
  EXPECT_NE(Again.Upstream, Pinned);
  sendResult(submitResult(Again.Id, SubmitStatus::Answered, "ok"));
  EXPECT_EQ(popReply().Result, Outcome::Answered);
}

} // namespace
} // namespace indigopoint
