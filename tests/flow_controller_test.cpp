#include "flow_controller.h"

#include <gtest/gtest.h>

#include "home_fixture.h"

namespace indigopoint {
namespace {

class FlowControllerTest : public HomeFixture {};

// Guards against a reply that another flow or request gets (P3).
TEST_F(FlowControllerTest, CrossedAnswersReachTheirOwnRequests) {
  give(request(1));
  const Submit First = submitted();
  give(request(2));
  const Submit Second = submitted();
  result(ended(Second.Id, SubmitStatus::Answered, "two"));
  result(ended(First.Id, SubmitStatus::Answered, "one"));
  const std::vector<Reply> Replies = take<Reply>();
  ASSERT_EQ(Replies.size(), 2U);
  EXPECT_EQ(Replies[0].Id, RequestId(2));
  EXPECT_EQ(Replies[0].Payload, "two");
  EXPECT_EQ(Replies[1].Id, RequestId(1));
  EXPECT_EQ(Replies[1].Payload, "one");
}

// Guards against a second run when the fabric or a relay duplicates a packet
// (P5).
TEST_F(FlowControllerTest, RelayedDuplicateInProgressIsNotSubmitted) {
  give(request(1));
  submitted();
  give(request(1), 1);
  give(request(1), 3);
  EXPECT_TRUE(take<Submit>().empty());
  EXPECT_TRUE(take<Reply>().empty());
  EXPECT_EQ(stats().Duplicates, 2U);
}

// Guards against a second run, or silence, when a reply was lost (P5).
TEST_F(FlowControllerTest, RetransmissionGetsTheSameAnswer) {
  give(request(1));
  result(ended(submitted().Id, SubmitStatus::Answered, "done"));
  replied();
  pass(20 * Second);
  give(request(1));
  EXPECT_TRUE(take<Submit>().empty());
  const Reply Again = replied();
  EXPECT_EQ(Again.Result, Outcome::Answered);
  EXPECT_EQ(Again.Payload, "done");
}

// Guards against a run after the record of the first run expired while the
// caller still repeats.
TEST_F(FlowControllerTest, RepeatsKeepTheRecordAlive) {
  give(request(1));
  result(ended(submitted().Id, SubmitStatus::Answered, "done"));
  for (int Round = 0; Round < 4; ++Round) {
    pass(25 * Second);
    give(request(1));
  }
  EXPECT_TRUE(take<Submit>().empty());
}

// Guards against an empty answer in place of one that was dropped (P3).
TEST_F(FlowControllerTest, DroppedLargeAnswerIsUnknownNotEmpty) {
  give(request(1));
  result(ended(submitted().Id, SubmitStatus::Answered, std::string(5000, 'x')));
  replied();
  pass(Second);
  give(request(1));
  EXPECT_EQ(replied().Payload.size(), 5000U);
  pass(3 * Second);
  give(request(1));
  EXPECT_EQ(replied().Result, Outcome::Unknown);
  EXPECT_TRUE(take<Submit>().empty());
}

// Guards against a stuck idempotent request whose answer was dropped.
TEST_F(FlowControllerTest, IdempotentRequestRunsAgainWithoutItsAnswer) {
  give(request(1, true));
  result(ended(submitted().Id, SubmitStatus::Answered, std::string(5000, 'x')));
  replied();
  pass(3 * Second);
  give(request(1, true));
  result(ended(submitted().Id, SubmitStatus::Answered, "again"));
  EXPECT_EQ(replied().Payload, "again");
}

// Guards against "not run" for a request that an earlier run has answered.
TEST_F(FlowControllerTest, SecondRunIsNeverRefusedAsNotRun) {
  give(request(1, true));
  result(ended(submitted().Id, SubmitStatus::Answered, std::string(5000, 'x')));
  replied();
  pass(3 * Second);
  Board.Config.Services.erase(Chat);
  applyConfig();
  give(request(1, true));
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

// Guards against a packet that circles between instances which disagree on
// its home, and against calling it not run.
TEST_F(FlowControllerTest, PacketAtTheHopLimitIsUnknown) {
  serveElsewhere("lim-b-1");
  give(request(1), 3);
  ASSERT_EQ(take<Relay>().size(), 1U);
  give(request(1), 4);
  EXPECT_TRUE(take<Relay>().empty());
  EXPECT_EQ(replied().Result, Outcome::Unknown);
  EXPECT_EQ(Board.EngineMetrics.HopLimitReached, 1U);
}

// Guards against silence towards the caller while no home is known.
TEST_F(FlowControllerTest, PacketWithoutKnownHomeIsUnknown) {
  serveElsewhere("lim-z-9");
  give(request(1));
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

// Guards against work by an instance that was paused and may have been
// replaced (F6).
TEST_F(FlowControllerTest, StaleInstanceDispatchesNothing) {
  Board.Self.Stale = true;
  give(request(1));
  EXPECT_TRUE(take<Submit>().empty());
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

// Guards against "not run" by a stale home whose request ran at the next one.
TEST_F(FlowControllerTest, StaleInstanceRefusesNothingAsNotRun) {
  exchange(1);
  give(request(2));
  const Submit Sent = submitted();
  Board.Self.Stale = true;
  SubmitResult Refusal = ended(Sent.Id, SubmitStatus::NotRun);
  Refusal.RetryAfter = 20 * Second;
  result(Refusal);
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

TEST_F(FlowControllerTest, StaleInstanceRepeatsNoSubmit) {
  give(request(1));
  submitted();
  Board.Self.Stale = true;
  pass(Second);
  EXPECT_TRUE(take<Submit>().empty());
}

// Guards against a dispatch before any configuration is in force.
TEST_F(FlowControllerTest, InstanceWithoutConfigurationRefuses) {
  Board.Config = Configuration();
  applyConfig();
  give(request(1));
  EXPECT_TRUE(take<Submit>().empty());
  EXPECT_EQ(replied().Result, Outcome::RefusedNotRun);
}

TEST_F(FlowControllerTest, UnknownServiceIsRefusedAndCounted) {
  Request Work = request(1);
  Work.Service = ServiceId(77);
  give(Work);
  EXPECT_EQ(replied().Result, Outcome::RefusedNotRun);
  EXPECT_EQ(Board.EngineMetrics.UnknownServices, 1U);
}

// Guards against a run after "not run" when the configuration with the service
// arrives between two copies of a request (P4, F3).
TEST_F(FlowControllerTest, RefusedCopyDoesNotRunUnderANewerConfiguration) {
  const ServiceConfig Service = Board.Config.Services[Chat];
  Board.Config.Services.erase(Chat);
  applyConfig();
  give(request(1));
  EXPECT_EQ(replied().Result, Outcome::RefusedNotRun);
  Board.Config.Services[Chat] = Service;
  applyConfig();
  give(request(1));
  EXPECT_TRUE(take<Submit>().empty());
  EXPECT_EQ(replied().Result, Outcome::RefusedNotRun);
}

// Guards against delivery to an upstream of another service (P2).
TEST_F(FlowControllerTest, FlowKeyOfTwoServicesHasTwoPins) {
  const UpstreamId ChatUpstream = exchange(1);
  Request Work = request(1);
  Work.Service = Media;
  give(Work);
  const Submit Sent = submitted();
  EXPECT_EQ(Sent.Service, Media);
  EXPECT_NE(Sent.Upstream, ChatUpstream);
  EXPECT_EQ(Board.Index.upstream(Sent.Upstream).Service->Id, Media);
}

// Guards against delivery to another service through a wrong redirect (P2).
TEST_F(FlowControllerTest, RedirectToAnotherServiceIsNotFollowed) {
  give(request(1));
  SubmitResult Wrong = ended(submitted().Id, SubmitStatus::Redirect);
  Wrong.Redirect = Board.Config.Services[Media].Upstreams.front().Id;
  result(Wrong);
  for (const Submit &Sent : take<Submit>())
    EXPECT_EQ(Board.Index.upstream(Sent.Upstream).Service->Id, Chat);
}

// Guards against a result that is delivered twice.
TEST_F(FlowControllerTest, DuplicateResultIsDroppedAndCounted) {
  give(request(1));
  const Submit Sent = submitted();
  result(ended(Sent.Id, SubmitStatus::Answered, "one"));
  replied();
  result(ended(Sent.Id, SubmitStatus::Answered, "one"));
  EXPECT_TRUE(take<Reply>().empty());
  EXPECT_EQ(Board.EngineMetrics.LateResults, 1U);
}

// Guards against the result of another instance with the same submit id.
TEST_F(FlowControllerTest, ResultOfAnotherInstanceIsDropped) {
  give(request(1));
  const Submit Sent = submitted();
  result(ended(Sent.Id, SubmitStatus::Answered, "wrong"), "lim-b-2");
  EXPECT_TRUE(take<Reply>().empty());
  EXPECT_EQ(Board.EngineMetrics.LateResults, 1U);
}

// Guards against a restarted home that takes its predecessor's results.
TEST_F(FlowControllerTest, SubmitIdsDifferBetweenProcesses) {
  give(request(1));
  const Submit Sent = submitted();
  Board.Self.OwnIncarnation.Boot = BootId(12);
  FlowController Restarted(Board, Peers);
  Restarted.onPacket(Caller, request(1), 0, Sink);
  EXPECT_NE(submitted().Id, Sent.Id);
}

// Guards against work that goes on for a caller who gave up.
TEST_F(FlowControllerTest, CancelIsPassedOnAndAnsweredAtOnce) {
  give(request(1));
  const Submit Sent = submitted();
  Home.onPacket(Caller, Cancel{Flow, Chat, RequestId(1)}, 0, Sink);
  const std::vector<CancelSubmit> Passed = take<CancelSubmit>();
  ASSERT_EQ(Passed.size(), 1U);
  EXPECT_EQ(Passed[0].Id, Sent.Id);
  EXPECT_EQ(replied().Result, Outcome::Unknown);
  result(ended(Sent.Id, SubmitStatus::Answered, "late"));
  EXPECT_TRUE(take<Reply>().empty());
}

// Guards against a run after a cancellation that overtook its request.
TEST_F(FlowControllerTest, RequestAfterItsCancelDoesNotRun) {
  Home.onPacket(Caller, Cancel{Flow, Chat, RequestId(1)}, 0, Sink);
  EXPECT_EQ(replied().Result, Outcome::RefusedNotRun);
  give(request(1));
  EXPECT_TRUE(take<Submit>().empty());
  EXPECT_EQ(replied().Result, Outcome::RefusedNotRun);
}

TEST_F(FlowControllerTest, ClosedFlowIsReleasedAfterItsRequest) {
  exchange(1);
  give(request(2));
  const Submit Sent = submitted();
  Home.onPacket(Caller, CloseFlow{Flow, Chat}, 0, Sink);
  EXPECT_TRUE(take<ReleaseFlow>().empty());
  result(ended(Sent.Id, SubmitStatus::Answered, "ok"));
  EXPECT_EQ(take<ReleaseFlow>().size(), 1U);
  EXPECT_EQ(Board.OpenFlows, 0U);
}

TEST_F(FlowControllerTest, IdleFlowIsClosedAndReleased) {
  Board.Config.Services[Chat].IdleTimeout = 20 * Second;
  exchange(1);
  pass(10 * Second);
  EXPECT_EQ(Board.OpenFlows, 1U);
  pass(25 * Second);
  EXPECT_EQ(Board.OpenFlows, 0U);
  EXPECT_EQ(take<ReleaseFlow>().size(), 1U);
}

} // namespace
} // namespace indigopoint
