#include "flow_controller.h"

#include <gtest/gtest.h>

#include "home_fixture.h"

namespace indigopoint {
namespace {

class FlowControllerTest : public HomeFixture {};

// Guards against a reply that is sent for another request when the results
// arrive in another order than the submissions.
TEST_F(FlowControllerTest, AnswersInOtherOrderReachTheirRequests) {
  sendRequest(request(1));
  const Submit FirstSubmit = popSubmit();
  sendRequest(request(2));
  const Submit SecondSubmit = popSubmit();
  sendResult(submitResult(SecondSubmit.Id, SubmitStatus::Answered, "two"));
  sendResult(submitResult(FirstSubmit.Id, SubmitStatus::Answered, "one"));
  const std::vector<Reply> Replies = popMessages<Reply>();
  ASSERT_EQ(Replies.size(), 2U);
  EXPECT_EQ(Replies[0].Id, RequestId(2));
  EXPECT_EQ(Replies[0].Payload, "two");
  EXPECT_EQ(Replies[1].Id, RequestId(1));
  EXPECT_EQ(Replies[1].Payload, "one");
}

// Guards against a second run of a non-idempotent request when the network or a
// relay duplicates a packet.
TEST_F(FlowControllerTest, RelayedDuplicateInProgressIsNotSubmitted) {
  sendRequest(request(1));
  popSubmit();
  sendRequest(request(1), 1);
  sendRequest(request(1), 3);
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_TRUE(popMessages<Reply>().empty());
  EXPECT_EQ(chatMetrics().Duplicates, 2U);
}

// Guards against a second run, or no answer at all, when the reply was lost and
// the caller retransmits.
TEST_F(FlowControllerTest, RetransmissionGetsTheSameAnswer) {
  sendRequest(request(1));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered, "done"));
  popReply();
  pass(20 * Second);
  sendRequest(request(1));
  EXPECT_TRUE(popMessages<Submit>().empty());
  const Reply SecondReply = popReply();
  EXPECT_EQ(SecondReply.Result, Outcome::Answered);
  EXPECT_EQ(SecondReply.Payload, "done");
}

// Guards against a second run because the record expired while the caller was
// still retransmitting.
TEST_F(FlowControllerTest, RetransmissionsExtendTheRecordLifetime) {
  sendRequest(request(1));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered, "done"));
  for (int Round = 0; Round < 4; ++Round) {
    pass(25 * Second);
    sendRequest(request(1));
  }
  EXPECT_TRUE(popMessages<Submit>().empty());
}

// Guards against an empty answer being sent for a large answer that was dropped
// from memory.
TEST_F(FlowControllerTest, DroppedLargeAnswerIsUnknownNotEmpty) {
  sendRequest(request(1));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered,
                          std::string(5000, 'x')));
  popReply();
  pass(Second);
  sendRequest(request(1));
  EXPECT_EQ(popReply().Payload.size(), 5000U);
  pass(3 * Second);
  sendRequest(request(1));
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
  EXPECT_TRUE(popMessages<Submit>().empty());
}

// Guards against an idempotent request that can never be answered because its
// answer was dropped: it has to run again.
TEST_F(FlowControllerTest, IdempotentRequestRunsAgainWithoutItsAnswer) {
  sendRequest(request(1, true));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered,
                          std::string(5000, 'x')));
  popReply();
  pass(3 * Second);
  sendRequest(request(1, true));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered, "again"));
  EXPECT_EQ(popReply().Payload, "again");
}

// Guards against RefusedNotRun for a request that ran and was answered before,
// when its second run is refused.
TEST_F(FlowControllerTest, RefusedSecondRunHasOutcomeUnknown) {
  sendRequest(request(1, true));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Answered,
                          std::string(5000, 'x')));
  popReply();
  pass(3 * Second);
  Board.Config.Services.erase(Chat);
  applyConfig();
  sendRequest(request(1, true));
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// Guards against a packet that is relayed in a circle between instances that
// disagree on its home instance, and against answering it with RefusedNotRun.
TEST_F(FlowControllerTest, PacketAtTheHopLimitIsUnknown) {
  setHomeOfAllBuckets("lim-b-1");
  sendRequest(request(1), 3);
  ASSERT_EQ(popMessages<Relay>().size(), 1U);
  sendRequest(request(1), 4);
  EXPECT_TRUE(popMessages<Relay>().empty());
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
  EXPECT_EQ(Board.EngineMetrics.HopLimitReached, 1U);
}

// Guards against leaving the caller without an answer while the home instance
// is not a known member.
TEST_F(FlowControllerTest, PacketWithoutKnownHomeIsUnknown) {
  setHomeOfAllBuckets("lim-z-9");
  sendRequest(request(1));
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// Guards against requests dispatched by an instance that was paused and may
// have been replaced (a stale instance).
TEST_F(FlowControllerTest, StaleInstanceDispatchesNothing) {
  Board.Self.Stale = true;
  sendRequest(request(1));
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// Guards against RefusedNotRun from a stale instance when the request may have
// run through the new home instance.
TEST_F(FlowControllerTest, StaleInstanceNeverAnswersRefusedNotRun) {
  exchangeRequest(1);
  sendRequest(request(2));
  const Submit FirstSubmit = popSubmit();
  Board.Self.Stale = true;
  SubmitResult Refusal = submitResult(FirstSubmit.Id, SubmitStatus::NotRun);
  Refusal.RetryAfter = 20 * Second;
  sendResult(Refusal);
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

TEST_F(FlowControllerTest, StaleInstanceRepeatsNoSubmit) {
  sendRequest(request(1));
  popSubmit();
  Board.Self.Stale = true;
  pass(Second);
  EXPECT_TRUE(popMessages<Submit>().empty());
}

// Guards against a dispatch while there is no configuration.
TEST_F(FlowControllerTest, InstanceWithoutConfigurationRefuses) {
  Board.Config = Configuration();
  applyConfig();
  sendRequest(request(1));
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_EQ(popReply().Result, Outcome::RefusedNotRun);
}

TEST_F(FlowControllerTest, UnknownServiceIsRefusedAndCounted) {
  Request NewRequest = request(1);
  NewRequest.Service = ServiceId(77);
  sendRequest(NewRequest);
  EXPECT_EQ(popReply().Result, Outcome::RefusedNotRun);
  EXPECT_EQ(Board.EngineMetrics.UnknownServices, 1U);
}

// Guards against a run of a request that was answered with RefusedNotRun, when
// the configuration that adds its service arrives between two copies of it.
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

// Guards against delivery to an upstream of another service when two services
// use the same flow key.
TEST_F(FlowControllerTest, FlowKeyOfTwoServicesHasTwoPins) {
  const UpstreamId ChatUpstream = exchangeRequest(1);
  Request NewRequest = request(1);
  NewRequest.Service = Media;
  sendRequest(NewRequest);
  const Submit FirstSubmit = popSubmit();
  EXPECT_EQ(FirstSubmit.Service, Media);
  EXPECT_NE(FirstSubmit.Upstream, ChatUpstream);
  EXPECT_EQ(Board.Index.upstream(FirstSubmit.Upstream).Service->Id, Media);
}

// Guards against delivery to another service because of a wrong redirect.
TEST_F(FlowControllerTest, RedirectToAnotherServiceIsNotFollowed) {
  sendRequest(request(1));
  SubmitResult WrongRedirect =
      submitResult(popSubmit().Id, SubmitStatus::Redirect);
  WrongRedirect.Redirect = Board.Config.Services[Media].Upstreams.front().Id;
  sendResult(WrongRedirect);
  for (const Submit &Retry : popMessages<Submit>())
    EXPECT_EQ(Board.Index.upstream(Retry.Upstream).Service->Id, Chat);
}

// Guards against a second reply when a result is delivered twice.
TEST_F(FlowControllerTest, DuplicateResultIsDroppedAndCounted) {
  sendRequest(request(1));
  const Submit FirstSubmit = popSubmit();
  sendResult(submitResult(FirstSubmit.Id, SubmitStatus::Answered, "one"));
  popReply();
  sendResult(submitResult(FirstSubmit.Id, SubmitStatus::Answered, "one"));
  EXPECT_TRUE(popMessages<Reply>().empty());
  EXPECT_EQ(Board.EngineMetrics.LateResults, 1U);
}

// Guards against accepting the result of an instance that the request was not
// submitted to, when its submit id is the same.
TEST_F(FlowControllerTest, ResultOfAnotherInstanceIsDropped) {
  sendRequest(request(1));
  const Submit FirstSubmit = popSubmit();
  sendResult(submitResult(FirstSubmit.Id, SubmitStatus::Answered, "wrong"),
             "lim-b-2");
  EXPECT_TRUE(popMessages<Reply>().empty());
  EXPECT_EQ(Board.EngineMetrics.LateResults, 1U);
}

// Guards against a restarted instance that accepts results for submissions of
// its previous process.
TEST_F(FlowControllerTest, SubmitIdsDifferBetweenProcesses) {
  sendRequest(request(1));
  const Submit FirstSubmit = popSubmit();
  Board.Self.OwnIncarnation.Boot = BootId(12);
  FlowController RestartedController(Board, Peers);
  RestartedController.onPacket(Caller, request(1), 0, Sink);
  EXPECT_NE(popSubmit().Id, FirstSubmit.Id);
}

// Guards against an owner that continues with a request its caller cancelled.
TEST_F(FlowControllerTest, CancelIsPassedOnAndAnsweredAtOnce) {
  sendRequest(request(1));
  const Submit FirstSubmit = popSubmit();
  Controller.onPacket(Caller, Cancel{Flow, Chat, RequestId(1)}, 0, Sink);
  const std::vector<CancelSubmit> Cancels = popMessages<CancelSubmit>();
  ASSERT_EQ(Cancels.size(), 1U);
  EXPECT_EQ(Cancels[0].Id, FirstSubmit.Id);
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
  sendResult(submitResult(FirstSubmit.Id, SubmitStatus::Answered, "late"));
  EXPECT_TRUE(popMessages<Reply>().empty());
}

// Guards against a run after the cancellation arrived before its request.
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
  const Submit FirstSubmit = popSubmit();
  Controller.onPacket(Caller, CloseFlow{Flow, Chat}, 0, Sink);
  EXPECT_TRUE(popMessages<ReleaseFlow>().empty());
  sendResult(submitResult(FirstSubmit.Id, SubmitStatus::Answered, "ok"));
  EXPECT_EQ(popMessages<ReleaseFlow>().size(), 1U);
  EXPECT_EQ(Board.OpenFlows, 0U);
}

TEST_F(FlowControllerTest, IdleFlowIsClosedAndReleased) {
  Board.Config.Services[Chat].IdleTimeout = 20 * Second;
  exchangeRequest(1);
  pass(10 * Second);
  EXPECT_EQ(Board.OpenFlows, 1U);
  pass(25 * Second);
  EXPECT_EQ(Board.OpenFlows, 0U);
  EXPECT_EQ(popMessages<ReleaseFlow>().size(), 1U);
}

} // namespace
} // namespace indigopoint
