#include "owner_fixture.h"

namespace indigopoint {
namespace {

class OwnerQueueTest : public OwnerTest {
protected:
  OwnerQueueTest() : Chat(addUpstream("chat-0")) { configure(); }

  void setDispatchesPerSlot(double Value) {
    Service.Saturation = Value;
    configure();
  }

  size_t submitAndCountDispatches(uint64_t Count) {
    for (uint64_t Id = 1; Id <= Count; ++Id)
      submit(submission(Id, Chat, Id));
    return takeSent<Dispatch>().size();
  }

  UpstreamId Chat;
};

// Guards against exceeding the 2 slots, which makes the upstream shed requests
// or slow down.
TEST_F(OwnerQueueTest, DispatchesDoNotExceedSlots) {
  EXPECT_EQ(submitAndCountDispatches(10), 2U);
}

TEST_F(OwnerQueueTest, SaturationScalesTheLimit) {
  setDispatchesPerSlot(1.5);
  EXPECT_EQ(submitAndCountDispatches(10), 3U);
}

// Guards against an upstream that gets no requests because a limit of 0.2 slots
// is rounded to 0.
TEST_F(OwnerQueueTest, LimitIsAtLeastOne) {
  setDispatchesPerSlot(0.1);
  EXPECT_EQ(submitAndCountDispatches(10), 1U);
}

TEST_F(OwnerQueueTest, SaturationZeroIsUnbounded) {
  setDispatchesPerSlot(0);
  EXPECT_EQ(submitAndCountDispatches(100), 100U);
}

// Guards against slots that stay idle while requests are queued.
TEST_F(OwnerQueueTest, AnswerFreesTheSlotForQueuedWork) {
  for (uint64_t Id = 1; Id <= 3; ++Id)
    submit(submission(Id, Chat, Id));
  const std::vector<Dispatch> Dispatches = takeSent<Dispatch>();
  answer(Dispatches.at(0), Chat);
  EXPECT_EQ(takeOneSent<Dispatch>().Flow, FlowKey(3));
}

// Guards against an unlimited queue, and therefore an unlimited wait.
TEST_F(OwnerQueueTest, FullQueueRefusalIsNotRunWithRetryAfter) {
  Service.QueueLimit = 3;
  configure();
  for (uint64_t Id = 1; Id <= 6; ++Id)
    submit(submission(Id, Chat, Id));
  const SubmitResult Refusal = takeOneSent<SubmitResult>();
  EXPECT_EQ(Refusal.Id, SubmitId(6));
  EXPECT_EQ(Refusal.Status, SubmitStatus::NotRun);
  EXPECT_GT(Refusal.RetryAfter, Duration());
}

// Guards against queueing a request that cannot start in time: its refusal
// would come too late for a retry elsewhere.
TEST_F(OwnerQueueTest, UnreachableDeadlineIsRefusedAtOnce) {
  serve(1, Chat, 1, milliseconds(200));
  for (uint64_t Id = 2; Id <= 5; ++Id)
    submit(submission(Id, Chat, Id, milliseconds(400)));
  // Two requests run and two are queued: a fifth ends after 200 ms * 3 / 2 +
  // 200 ms.
  submit(submission(6, Chat, 6, milliseconds(450)));
  const SubmitResult Refusal = takeOneSent<SubmitResult>();
  EXPECT_EQ(Refusal.Id, SubmitId(6));
  EXPECT_EQ(Refusal.Status, SubmitStatus::NotRun);
  EXPECT_GE(Refusal.RetryAfter, milliseconds(100));
  submit(submission(7, Chat, 7, milliseconds(550)));
  EXPECT_TRUE(takeSent<SubmitResult>().empty());
}

// Guards against a service time estimate that is too long and never corrected,
// because every request is refused on account of it.
TEST_F(OwnerQueueTest, IdleUpstreamIsTriedRegardlessOfTheEstimate) {
  serve(1, Chat, 1, milliseconds(1500));
  submit(submission(2, Chat, 2, milliseconds(100)));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
}

// Guards against the same failure for a request that was queued.
TEST_F(OwnerQueueTest, IdleUpstreamIsTriedAfterAWaitRegardlessOfTheEstimate) {
  serve(1, Chat, 1, milliseconds(1500));
  HandoverBatch Batch;
  Batch.Upstreams.push_back({Chat, 2, 0, 0});
  Owner->importBatch(Batch);
  submit(submission(2, Chat, 2, seconds(5)));
  pass(seconds(4));
  UpstreamLoad RemainingLoad;
  RemainingLoad.Upstream = Chat;
  receiveLoad(RemainingLoad);
  pass(milliseconds(10));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
}

// Guards against refusing a queued request after its wait because a later
// request with an earlier deadline was served first.
TEST_F(OwnerQueueTest, NewRequestDoesNotDelayQueuedRequestsPastTheirDeadlines) {
  serve(1, Chat, 1, milliseconds(200));
  std::vector<SubmitId> Refusals;
  for (uint64_t Id = 2; Id <= 40; ++Id) {
    submit(submission(Id, Chat, Id, milliseconds(1000 - 5 * Id)));
    for (const SubmitResult &Result : takeSent<SubmitResult>()) {
      EXPECT_EQ(Result.Id, SubmitId(Id));
      Refusals.push_back(Result.Id);
    }
  }
  EXPECT_GT(Refusals.size(), 10U);
}

// Guards against callers that were refused together and retry together.
TEST_F(OwnerQueueTest, RetryTimesAreSpreadAtTheServiceRate) {
  Service.QueueLimit = 0;
  configure();
  serve(1, Chat, 1, milliseconds(200));
  for (uint64_t Id = 2; Id <= 5; ++Id)
    submit(submission(Id, Chat, Id));
  const std::vector<SubmitResult> Refusals = takeSent<SubmitResult>();
  ASSERT_EQ(Refusals.size(), 2U);
  EXPECT_EQ(Refusals[1].RetryAfter - Refusals[0].RetryAfter, milliseconds(100));
}

// Guards against running a queued request after its caller has stopped waiting.
TEST_F(OwnerQueueTest, QueuedRequestGetsNotRunAtDeadline) {
  for (uint64_t Id = 1; Id <= 2; ++Id)
    submit(submission(Id, Chat, Id));
  submit(submission(3, Chat, 3, milliseconds(100)));
  const std::vector<Dispatch> Dispatches = takeSent<Dispatch>();
  pass(milliseconds(100));
  const SubmitResult Refusal = takeOneSent<SubmitResult>();
  EXPECT_EQ(Refusal.Id, SubmitId(3));
  EXPECT_EQ(Refusal.Status, SubmitStatus::NotRun);
  answer(Dispatches.at(0), Chat);
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards against exceeding the slots while a timed-out request still runs.
TEST_F(OwnerQueueTest, TimedOutDispatchKeepsItsSlotUntilReleaseDelay) {
  submit(submission(1, Chat, 1, milliseconds(100)));
  submit(submission(2, Chat, 2));
  submit(submission(3, Chat, 3));
  EXPECT_EQ(takeSent<Dispatch>().size(), 2U);
  pass(milliseconds(150));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  pass(milliseconds(60));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
}

// Guards against more flows than the upstream has connections.
TEST_F(OwnerQueueTest, FlowBeyondTheConnectionsIsNotRun) {
  configOf(Chat).Connections = 2;
  configure();
  serve(1, Chat, 1);
  serve(2, Chat, 2);
  submit(submission(3, Chat, 3));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotRun);
  submit(submission(4, Chat, 1));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
}

// Guards against counting flows that never reached the upstream.
TEST_F(OwnerQueueTest, NewFlowRefusedInTheQueueKeepsNoConnection) {
  submit(submission(1, Chat, 1));
  submit(submission(2, Chat, 2));
  submit(submission(3, Chat, 3, milliseconds(50)));
  pass(seconds(1));
  EXPECT_EQ(Board.ReportedLoads[Chat].Load.Flows, 2U);
}

} // namespace
} // namespace indigopoint
