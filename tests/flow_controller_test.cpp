#include "flow_controller.h"

#include <gtest/gtest.h>

#include "home_fixture.h"

namespace indigopoint {
namespace {

class FlowControllerTest : public HomeFixture {};

// Guards against a reply that another flow or request gets (P3).
TEST_F(FlowControllerTest, CrossedAnswersReachTheirOwnRequests) {
  sendRequest(request(1));
  const Submit First = popSubmit();
  sendRequest(request(2));
  const Submit Second = popSubmit();
  sendResult(submitResult(Second.Id, SubmitStatus::Answered, "two"));
  sendResult(submitResult(First.Id, SubmitStatus::Answered, "one"));
  const std::vector<Reply> Replies = popMessages<Reply>();
  ASSERT_EQ(Replies.size(), 2U);
  EXPECT_EQ(Replies[0].Id, RequestId(2));
  EXPECT_EQ(Replies[0].Payload, "two");
  EXPECT_EQ(Replies[1].Id, RequestId(1));
  EXPECT_EQ(Replies[1].Payload, "one");
}

// Guards against a second run when the fabric or a relay duplicates a packet
// (P5).
TEST_F(FlowControllerTest, RelayedDuplicateInProgressIsNotSubmitted) {
  sendRequest(request(1));
  popSubmit();
  sendRequest(request(1), 1);
  sendRequest(request(1), 3);
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_TRUE(popMessages<Reply>().empty());
  EXPECT_EQ(chatMetrics().Duplicates, 2U);
}

// Guards against a second run, or silence, when a reply was lost (P5).
TEST_F(FlowControllerTest, RetransmissionGetsTheSameAnswer) {
  sendRequest(request(1));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered, "done"));
  popReply();
  advanceTime(20 * Second);
  sendRequest(request(1));
  EXPECT_TRUE(popMessages<Submit>().empty());
  const Reply Again = popReply();
  EXPECT_EQ(Again.Result, Outcome::Answered);
  EXPECT_EQ(Again.Payload, "done");
}

// Guards against a run after the record of the first run expired while the
// caller still repeats.
TEST_F(FlowControllerTest, RepeatsKeepTheRecordAlive) {
  sendRequest(request(1));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered, "done"));
  for (int Round = 0; Round < 4; ++Round) {
    advanceTime(25 * Second);
    sendRequest(request(1));
  }
  EXPECT_TRUE(popMessages<Submit>().empty());
}

// Guards against an empty answer in place of one that was dropped (P3).
TEST_F(FlowControllerTest, DroppedLargeAnswerIsUnknownNotEmpty) {
  sendRequest(request(1));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered,
                          std::string(5000, 'x')));
  popReply();
  advanceTime(Second);
  sendRequest(request(1));
  EXPECT_EQ(popReply().Payload.size(), 5000U);
  advanceTime(3 * Second);
  sendRequest(request(1));
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
  EXPECT_TRUE(popMessages<Submit>().empty());
}

// Guards against a stuck idempotent request whose answer was dropped.
TEST_F(FlowControllerTest, IdempotentRequestRunsAgainWithoutItsAnswer) {
  sendRequest(request(1, true));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered,
                          std::string(5000, 'x')));
  popReply();
  advanceTime(3 * Second);
  sendRequest(request(1, true));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered, "again"));
  EXPECT_EQ(popReply().Payload, "again");
}

// Guards against "not run" for a request that an earlier run has answered.
TEST_F(FlowControllerTest, SecondRunIsNeverRefusedAsNotRun) {
  sendRequest(request(1, true));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered,
                          std::string(5000, 'x')));
  popReply();
  advanceTime(3 * Second);
  Board.Config.Services.erase(Chat);
  applyConfig();
  sendRequest(request(1, true));
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// Guards against a packet that circles between instances which disagree on
// its home, and against calling it not run.
TEST_F(FlowControllerTest, PacketAtTheHopLimitIsUnknown) {
  setHomeOfAllBuckets("lim-b-1");
  sendRequest(request(1), 3);
  ASSERT_EQ(popMessages<Relay>().size(), 1U);
  sendRequest(request(1), 4);
  EXPECT_TRUE(popMessages<Relay>().empty());
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
  EXPECT_EQ(Board.EngineMetrics.HopLimitReached, 1U);
}

// Guards against silence towards the caller while no home is known.
TEST_F(FlowControllerTest, PacketWithoutKnownHomeIsUnknown) {
  setHomeOfAllBuckets("lim-z-9");
  sendRequest(request(1));
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// Guards against work by an instance that was paused and may have been
// replaced (F6).
TEST_F(FlowControllerTest, StaleInstanceDispatchesNothing) {
  Board.Self.Stale = true;
  sendRequest(request(1));
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// Guards against "not run" by a stale home whose request ran at the next one.
TEST_F(FlowControllerTest, StaleInstanceRefusesNothingAsNotRun) {
  exchangeRequest(1);
  sendRequest(request(2));
  const Submit Sent = popSubmit();
  Board.Self.Stale = true;
  SubmitResult Refusal = submitResult(Sent.Id, SubmitStatus::NotRun);
  Refusal.RetryAfter = 20 * Second;
  sendResult(Refusal);
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

TEST_F(FlowControllerTest, StaleInstanceRepeatsNoSubmit) {
  sendRequest(request(1));
  popSubmit();
  Board.Self.Stale = true;
  advanceTime(Second);
  EXPECT_TRUE(popMessages<Submit>().empty());
}

// Guards against a dispatch before any configuration is in force.
TEST_F(FlowControllerTest, InstanceWithoutConfigurationRefuses) {
  Board.Config = Configuration();
  applyConfig();
  sendRequest(request(1));
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_EQ(popReply().Result, Outcome::RefusedNotRun);
}

TEST_F(FlowControllerTest, UnknownServiceIsRefusedAndCounted) {
  Request Work = request(1);
  Work.Service = ServiceId(77);
  sendRequest(Work);
  EXPECT_EQ(popReply().Result, Outcome::RefusedNotRun);
  EXPECT_EQ(Board.EngineMetrics.UnknownServices, 1U);
}

// Guards against a run after "not run" when the configuration with the service
// arrives between two copies of a request (P4, F3).
TEST_F(FlowControllerTest, RefusedCopyDoesNotRunUnderANewerConfiguration) {
  const ServiceConfig Service = Board.Config.Services[Chat];
  Board.Config.Services.erase(Chat);
  applyConfig();
  sendRequest(request(1));
  EXPECT_EQ(popReply().Result, Outcome::RefusedNotRun);
  Board.Config.Services[Chat] = Service;
  applyConfig();
  sendRequest(request(1));
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_EQ(popReply().Result, Outcome::RefusedNotRun);
}

// Guards against delivery to an upstream of another service (P2).
TEST_F(FlowControllerTest, FlowKeyOfTwoServicesHasTwoPins) {
  const UpstreamId ChatUpstream = exchangeRequest(1);
  Request Work = request(1);
  Work.Service = Media;
  sendRequest(Work);
  const Submit Sent = popSubmit();
  EXPECT_EQ(Sent.Service, Media);
  EXPECT_NE(Sent.Upstream, ChatUpstream);
  EXPECT_EQ(Board.Index.upstream(Sent.Upstream).Service->Id, Media);
}

// Guards against delivery to another service through a wrong redirect (P2).
TEST_F(FlowControllerTest, RedirectToAnotherServiceIsNotFollowed) {
  sendRequest(request(1));
  SubmitResult Wrong = submitResult(popSubmit().Id, SubmitStatus::Redirect);
  Wrong.Redirect = Board.Config.Services[Media].Upstreams.front().Id;
  sendResult(Wrong);
  for (const Submit &Sent : popMessages<Submit>())
    EXPECT_EQ(Board.Index.upstream(Sent.Upstream).Service->Id, Chat);
}

// Guards against a result that is delivered twice.
TEST_F(FlowControllerTest, DuplicateResultIsDroppedAndCounted) {
  sendRequest(request(1));
  const Submit Sent = popSubmit();
  sendResult(submitResult(Sent.Id, SubmitStatus::Answered, "one"));
  popReply();
  sendResult(submitResult(Sent.Id, SubmitStatus::Answered, "one"));
  EXPECT_TRUE(popMessages<Reply>().empty());
  EXPECT_EQ(Board.EngineMetrics.LateResults, 1U);
}

// Guards against the result of another instance with the same submit id.
TEST_F(FlowControllerTest, ResultOfAnotherInstanceIsDropped) {
  sendRequest(request(1));
  const Submit Sent = popSubmit();
  sendResult(submitResult(Sent.Id, SubmitStatus::Answered, "wrong"), "lim-b-2");
  EXPECT_TRUE(popMessages<Reply>().empty());
  EXPECT_EQ(Board.EngineMetrics.LateResults, 1U);
}

// Guards against a restarted home that takes its predecessor's results.
TEST_F(FlowControllerTest, SubmitIdsDifferBetweenProcesses) {
  sendRequest(request(1));
  const Submit Sent = popSubmit();
  Board.Self.OwnIncarnation.Boot = BootId(12);
  FlowController Restarted(Board, Peers);
  Restarted.onPacket(Caller, request(1), 0, Sink);
  EXPECT_NE(popSubmit().Id, Sent.Id);
}

// Guards against work that goes on for a caller who gave up.
TEST_F(FlowControllerTest, CancelIsPassedOnAndAnsweredAtOnce) {
  sendRequest(request(1));
  const Submit Sent = popSubmit();
  Controller.onPacket(Caller, Cancel{Flow, Chat, RequestId(1)}, 0, Sink);
  const std::vector<CancelSubmit> Passed = popMessages<CancelSubmit>();
  ASSERT_EQ(Passed.size(), 1U);
  EXPECT_EQ(Passed[0].Id, Sent.Id);
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
  sendResult(submitResult(Sent.Id, SubmitStatus::Answered, "late"));
  EXPECT_TRUE(popMessages<Reply>().empty());
}

// Guards against a run after a cancellation that overtook its request.
TEST_F(FlowControllerTest, RequestAfterItsCancelDoesNotRun) {
  Controller.onPacket(Caller, Cancel{Flow, Chat, RequestId(1)}, 0, Sink);
  EXPECT_EQ(popReply().Result, Outcome::RefusedNotRun);
  sendRequest(request(1));
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_EQ(popReply().Result, Outcome::RefusedNotRun);
}

TEST_F(FlowControllerTest, ClosedFlowIsReleasedAfterItsRequest) {
  exchangeRequest(1);
  sendRequest(request(2));
  const Submit Sent = popSubmit();
  Controller.onPacket(Caller, CloseFlow{Flow, Chat}, 0, Sink);
  EXPECT_TRUE(popMessages<ReleaseFlow>().empty());
  sendResult(submitResult(Sent.Id, SubmitStatus::Answered, "ok"));
  EXPECT_EQ(popMessages<ReleaseFlow>().size(), 1U);
  EXPECT_EQ(Board.OpenFlows, 0U);
}

TEST_F(FlowControllerTest, IdleFlowIsClosedAndReleased) {
  Board.Config.Services[Chat].IdleTimeout = 20 * Second;
  exchangeRequest(1);
  advanceTime(10 * Second);
  EXPECT_EQ(Board.OpenFlows, 1U);
  advanceTime(25 * Second);
  EXPECT_EQ(Board.OpenFlows, 0U);
  EXPECT_EQ(popMessages<ReleaseFlow>().size(), 1U);
}

} // namespace
} // namespace indigopoint
