#include "owner_fixture.h"

namespace indigopoint {
namespace {

class OwnerSubmissionTest : public OwnerTest {
protected:
  OwnerSubmissionTest() : Chat(addUpstream("chat-0")) { configure(); }
  UpstreamId Chat;
};

// Guards against a request that runs twice because the home repeated Submit.
TEST_F(OwnerSubmissionTest, RepeatOfOneInProgressSendsNothing) {
  submit(submission(1, Chat, 1));
  submit(submission(1, Chat, 1));
  EXPECT_EQ(takeSent<Dispatch>().size(), 1U);
  EXPECT_TRUE(takeSent<SubmitResult>().empty());
}

// Guards against a second run, or another result, when only the result was
// lost.
TEST_F(OwnerSubmissionTest, RepeatOfFinishedOneGetsTheSameResult) {
  submit(submission(1, Chat, 1));
  answer(takeOneSent<Dispatch>(), Chat, DispatchStatus::Done, "menu");
  EXPECT_EQ(takeOneSent<SubmitResult>().Payload, "menu");
  advanceTime(seconds(30));
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  const SubmitResult RepeatedResult = takeOneSent<SubmitResult>();
  EXPECT_EQ(RepeatedResult.Status, SubmitStatus::Answered);
  EXPECT_EQ(RepeatedResult.Payload, "menu");
}

// Guards against taking a submission of a restarted home for a repeat.
TEST_F(OwnerSubmissionTest, AnotherBootOfTheHomeIsAnotherSubmission) {
  submit(submission(1, Chat, 1));
  ActionSink Sink;
  Owner->onSubmit({home().Instance, BootId(6)}, submission(1, Chat, 2), Sink);
  collect(Sink);
  EXPECT_EQ(takeSent<Dispatch>().size(), 2U);
}

// Guards against a second run after a pause, when the records were dropped
// with everything else.
TEST_F(OwnerSubmissionTest, RepeatAfterResetDoesNotRunAgain) {
  submit(submission(1, Chat, 1));
  takeSent<Dispatch>();
  Owner->reset();
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::Unknown);
}

// Guards against two owners that send to one upstream.
TEST_F(OwnerSubmissionTest, UpstreamOfAnotherOwnerIsNeverSent) {
  Board.CurrentOwnership.setOwner(Chat, instanceIdOf("sibling"));
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotOwner);
}

// Guards against running a late copy of a submission that its home has
// submitted elsewhere after the first NotOwner.
TEST_F(OwnerSubmissionTest, NotOwnerIsFinalForTheSubmission) {
  Board.CurrentOwnership.setOwner(Chat, instanceIdOf("sibling"));
  submit(submission(1, Chat, 1));
  Board.CurrentOwnership.setOwner(Chat, Board.Self.Id);
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards against an owner that acts after a pause in which it was replaced.
TEST_F(OwnerSubmissionTest, StaleInstanceSendsNothing) {
  Board.Self.Stale = true;
  submit(submission(1, Chat, 1));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotOwner);
}

// Guards against queued work that is sent by an owner that was paused.
TEST_F(OwnerSubmissionTest, StaleInstanceHoldsItsQueue) {
  for (uint64_t Id = 1; Id <= 3; ++Id)
    submit(submission(Id, Chat, Id));
  const std::vector<Dispatch> Dispatches = takeSent<Dispatch>();
  ASSERT_EQ(Dispatches.size(), 2U);
  Board.Self.Stale = true;
  answer(Dispatches[0], Chat);
  advanceTime(milliseconds(20));
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards P2: a home with another configuration names a pair of service and
// upstream that does not exist here.
TEST_F(OwnerSubmissionTest, ServiceThatDoesNotMatchIsNeverSent) {
  Submit Body = submission(1, Chat, 1);
  Body.Service = ServiceId(2);
  submit(Body);
  EXPECT_TRUE(takeSent<Dispatch>().empty());
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotOwner);
}

// Guards P2: queued work of one service must not follow the upstream id to
// another address.
TEST_F(OwnerSubmissionTest, ChangedAddressGetsNoOldWork) {
  for (uint64_t Id = 1; Id <= 3; ++Id)
    submit(submission(Id, Chat, Id));
  const std::vector<Dispatch> OldDispatches = takeSent<Dispatch>();
  ASSERT_EQ(OldDispatches.size(), 2U);
  configOf(Chat).Address = {2, 9999};
  configure();
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotOwner);
  cancel(1);
  advanceTime(seconds(6));
  for (const SendDatagram &Datagram : Sent)
    EXPECT_NE(Datagram.To, configOf(Chat).Address);
  submit(submission(9, Chat, 1));
  EXPECT_NE(takeOneSent<Dispatch>().Connection, OldDispatches[0].Connection);
}

// Guards against losing the answer of the old address after a change.
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

// Guards P3 against answers of another upstream, an earlier process at this
// address, or nobody's request.
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

// Guards P4: only what the upstream says was not run may be called NotRun.
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

// Guards P4 and P5: a dispatch without an answer may have run, so it is
// neither NotRun nor sent again; a late answer changes nothing.
TEST_F(OwnerSubmissionTest, NoAnswerByTheDeadlineIsUnknownOnce) {
  submit(submission(1, Chat, 1, milliseconds(300)));
  const Dispatch SentDispatch = takeOneSent<Dispatch>();
  advanceTime(milliseconds(300));
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::Unknown);
  EXPECT_EQ(takeOneSent<CancelDispatch>().Id, SentDispatch.Id);
  answer(SentDispatch, Chat);
  advanceTime(seconds(2));
  EXPECT_TRUE(takeSent<SubmitResult>().empty());
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards against a queued request that runs although its caller gave it up.
TEST_F(OwnerSubmissionTest, CancelledQueuedWorkIsNotRun) {
  for (uint64_t Id = 1; Id <= 3; ++Id)
    submit(submission(Id, Chat, Id));
  const std::vector<Dispatch> Dispatches = takeSent<Dispatch>();
  cancel(3);
  EXPECT_EQ(takeOneSent<SubmitResult>().Status, SubmitStatus::NotRun);
  answer(Dispatches.at(0), Chat);
  EXPECT_TRUE(takeSent<Dispatch>().empty());
}

// Guards P4: the upstream alone knows whether a cancelled dispatch ran.
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
