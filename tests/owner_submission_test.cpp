#include "owner_fixture.h"

namespace indigopoint {
namespace {

class OwnerSubmissionTest : public OwnerTest {
protected:
  OwnerSubmissionTest() : Chat(addUpstream("chat-0")) { configure(); }
  UpstreamId Chat;
};

// Guards against a request that runs twice because the home instance
// retransmitted the Submit.
TEST_F(OwnerSubmissionTest, RetransmissionDuringDispatchSendsNothing) {
  submit(submission(1, Chat, 1));
  submit(submission(1, Chat, 1));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
  EXPECT_TRUE(takeSent<SubmitResult>().empty());
}

// Guards against a second run, or another result, when only the result was
// lost.
TEST_F(OwnerSubmissionTest, RetransmissionAfterFinishGetsTheSameResult) {
  submit(submission(1, Chat, 1));
  answer(takeOneSent<Dispatch>(), Chat, DispatchStatus::Done, "menu");
  EXPECT_EQ(takeOneSent<SubmitResult>().Payload, "menu");
  pass(seconds(30));
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  const SubmitResult RepeatedResult = takeOneSent<SubmitResult>();
  EXPECT_EQ(RepeatedResult.Status, SubmitStatus::Answered);
  EXPECT_EQ(RepeatedResult.Payload, "menu");
}

// Guards against treating a submission of a restarted home instance as a
// retransmission of an earlier one.
TEST_F(OwnerSubmissionTest, SubmitOfRestartedHomeIsNew) {
  submit(submission(1, Chat, 1));
  ActionSink Sink;
  Owner->onSubmit({home().Instance, BootId(6)}, submission(1, Chat, 2), Sink);
  collect(Sink);
  EXPECT_EQ(takeSent<Dispatch>().size(), 2U);
}

// Guards against a second run after a pause: the reset must not discard the
// submission records.
TEST_F(OwnerSubmissionTest, RetransmissionAfterResetDoesNotRunAgain) {
  submit(submission(1, Chat, 1));
  takeSent<Dispatch>();
  Owner->reset();
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::Unknown);
}

// Guards against two owner instances that send to one upstream.
TEST_F(OwnerSubmissionTest, NothingIsSentToUpstreamOfAnotherOwner) {
  Board.CurrentOwnership.setOwner(Chat, instanceIdOf("sibling"));
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotOwner);
}

// Guards against running a late retransmission of a submission that its home
// instance submitted to another owner after the first NotOwner.
TEST_F(OwnerSubmissionTest, NotOwnerIsFinalForTheSubmission) {
  Board.CurrentOwnership.setOwner(Chat, instanceIdOf("sibling"));
  submit(submission(1, Chat, 1));
  Board.CurrentOwnership.setOwner(Chat, Board.Self.Id);
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards against an owner that sends requests after a pause during which it was
// replaced. Stale means: paused, and membership not confirmed since.
TEST_F(OwnerSubmissionTest, StaleInstanceSendsNothing) {
  Board.Self.Stale = true;
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotOwner);
}

// Guards against sending queued requests after a pause of the owner.
TEST_F(OwnerSubmissionTest, StaleInstanceDispatchesNoQueuedRequests) {
  for (uint64_t Id = 1; Id <= 3; ++Id)
    submit(submission(Id, Chat, Id));
  const std::vector<Dispatch> Dispatches = takeSent<Dispatch>();
  ASSERT_EQ(Dispatches.size(), 2U);
  Board.Self.Stale = true;
  answer(Dispatches[0], Chat);
  pass(milliseconds(20));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// A request must reach only its own service. Guards against a home instance
// whose configuration has a pair of service and upstream that does not exist
// here.
TEST_F(OwnerSubmissionTest, RequestOfOtherServiceIsNeverSent) {
  Submit Body = submission(1, Chat, 1);
  Body.Service = ServiceId(2);
  submit(Body);
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotOwner);
}

// A request must reach only its own service. Guards against sending queued
// requests to the new address when the address of an upstream id changes.
TEST_F(OwnerSubmissionTest, ChangedAddressGetsNoQueuedRequests) {
  for (uint64_t Id = 1; Id <= 3; ++Id)
    submit(submission(Id, Chat, Id));
  const std::vector<Dispatch> OldDispatches = takeSent<Dispatch>();
  ASSERT_EQ(OldDispatches.size(), 2U);
  configOf(Chat).Address = {2, 9999};
  configure();
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotOwner);
  cancel(1);
  pass(seconds(6));
  for (const SendDatagram &Datagram : SentDatagrams)
    EXPECT_NE(Datagram.To, configOf(Chat).Address);
  submit(submission(9, Chat, 1));
  EXPECT_NE(takeOneSent<Dispatch>().Connection, OldDispatches[0].Connection);
}

// Guards against losing an answer from the old address after the address
// changed.
TEST_F(OwnerSubmissionTest, OldAddressStillAnswersItsDispatches) {
  submit(submission(1, Chat, 1));
  const Dispatch OldDispatch = takeOneSent<Dispatch>();
  const Endpoint OldAddress = configOf(Chat).Address;
  configOf(Chat).Address = {2, 9999};
  configure();
  ActionSink Sink;
  Owner->onDispatchResult(
      OldAddress, {OldDispatch.Connection, OldDispatch.Id, {}, "late"}, Sink);
  collect(Sink);
  EXPECT_EQ(takeOneSent<SubmitResult>().Payload, "late");
}

// Guards against accepting an answer from another upstream, to an earlier
// process at this address, or to an unknown dispatch.
TEST_F(OwnerSubmissionTest, ForeignAnswersAreDroppedAndCounted) {
  submit(submission(1, Chat, 1));
  const Dispatch SentDispatch = takeOneSent<Dispatch>();
  ActionSink Sink;
  Owner->onDispatchResult(
      {9, 9}, {SentDispatch.Connection, SentDispatch.Id, {}, "x"}, Sink);
  Owner->onDispatchResult(configOf(Chat).Address,
                          {ConnectionId(3), SentDispatch.Id, {}, "x"}, Sink);
  Owner->onDispatchResult(configOf(Chat).Address,
                          {SentDispatch.Connection, DispatchId(77), {}, "x"},
                          Sink);
  EXPECT_TRUE(Sink.Actions.empty());
  EXPECT_EQ(Board.EngineMetrics.ForeignDispatchResults, 2U);
  EXPECT_EQ(Board.EngineMetrics.UnknownDispatchResults, 1U);
}

// Guards against a false NotRun: a request that was sent to the upstream may
// get NotRun only if the upstream reports that it did not run.
TEST_F(OwnerSubmissionTest, StatusOfTheUpstreamDecidesTheResult) {
  const std::vector<std::pair<DispatchStatus, SubmitStatus>> Cases = {
      {DispatchStatus::Done, SubmitStatus::Answered},
      {DispatchStatus::Shed, SubmitStatus::NotRun},
      {DispatchStatus::Expired, SubmitStatus::NotRun},
      {DispatchStatus::Cancelled, SubmitStatus::NotRun},
      {DispatchStatus::Draining, SubmitStatus::NotRun}};
  uint64_t Id = 1;
  for (const auto &[UpstreamStatus, Expected] : Cases) {
    submit(submission(++Id, Chat, 1));
    answer(takeOneSent<Dispatch>(), Chat, UpstreamStatus);
    EXPECT_EQ(takeOneSent<SubmitResult>().Status, Expected)
        << nameOf(UpstreamStatus);
  }
}

// A dispatch without an answer may have run. Guards against reporting it as
// NotRun, against sending it again, and against a second result from a late
// answer.
TEST_F(OwnerSubmissionTest, MissingAnswerGivesOneUnknownResult) {
  submit(submission(1, Chat, 1, milliseconds(300)));
  const Dispatch SentDispatch = takeOneSent<Dispatch>();
  pass(milliseconds(300));
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::Unknown);
  EXPECT_EQ(takeOneSent<CancelDispatch>().Id, SentDispatch.Id);
  answer(SentDispatch, Chat);
  pass(seconds(2));
  EXPECT_TRUE(takeSent<SubmitResult>().empty());
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards against a queued request that runs although its caller cancelled it.
TEST_F(OwnerSubmissionTest, CancelledQueuedWorkIsNotRun) {
  for (uint64_t Id = 1; Id <= 3; ++Id)
    submit(submission(Id, Chat, Id));
  const std::vector<Dispatch> Dispatches = takeSent<Dispatch>();
  cancel(3);
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotRun);
  answer(Dispatches.at(0), Chat);
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards against a false NotRun: only the upstream knows whether a cancelled
// dispatch ran.
TEST_F(OwnerSubmissionTest, CancelledDispatchWaitsForTheUpstream) {
  submit(submission(1, Chat, 1));
  const Dispatch SentDispatch = takeOneSent<Dispatch>();
  cancel(1);
  EXPECT_EQ(takeOneSent<CancelDispatch>().Id, SentDispatch.Id);
  EXPECT_TRUE(takeSent<SubmitResult>().empty());
  answer(SentDispatch, Chat, DispatchStatus::Cancelled);
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotRun);
}

// Guards against running a Submit that arrives after its own cancellation.
TEST_F(OwnerSubmissionTest, CancelBeforeSubmitKeepsItFromRunning) {
  cancel(1);
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  for (const SubmitResult &Result : takeSent<SubmitResult>())
    EXPECT_EQ(Result.Status, SubmitStatus::NotRun);
}

} // namespace
} // namespace indigopoint
