#include <gtest/gtest.h>

#include "home_fixture.h"
#include "request_table.h"

namespace indigopoint {
namespace {

class RequestLifecycleTest : public HomeFixture {
protected:
  void loseOwner() {
    Controller.onInstanceLost(instanceIdOf("lim-b-1"), Sink);
    Board.Members.ById.erase(instanceIdOf("lim-b-1"));
    setOwners(instanceIdOf("lim-b-2"));
    applyConfig();
  }
};

// Guards against a lost Submit or result that leaves the caller waiting.
TEST_F(RequestLifecycleTest, SubmitIsRepeatedUnderTheSameId) {
  sendRequest(request(1));
  const Submit First = popSubmit();
  advanceTime(40 * Milli);
  EXPECT_TRUE(popMessages<Submit>().empty());
  advanceTime(20 * Milli);
  EXPECT_EQ(popSubmit().Id, First.Id);
  advanceTime(100 * Milli);
  EXPECT_EQ(popSubmit().Id, First.Id);
  advanceTime(100 * Milli);
  EXPECT_TRUE(popMessages<Submit>().empty());
}

// Guards against a deadline that starts anew at each hop.
TEST_F(RequestLifecycleTest, RepeatCarriesTheTimeLeft) {
  sendRequest(request(1));
  EXPECT_EQ(popSubmit().Deadline, 10 * Second - 20 * Milli);
  advanceTime(60 * Milli);
  EXPECT_EQ(popSubmit().Deadline, 10 * Second - 70 * Milli);
}

// Guards against records that end before their request does.
TEST_F(RequestLifecycleTest, LongDeadlineIsCapped) {
  Request Work = request(1);
  Work.Deadline = 600 * Second;
  sendRequest(Work);
  EXPECT_EQ(popSubmit().Deadline, MaxRequestLifetime - 20 * Milli);
}

// Guards against an answer that is held back after the deadline, and against
// "not run" while the request may run.
TEST_F(RequestLifecycleTest, DeadlineEndsASubmittedRequestUnknown) {
  sendRequest(request(1));
  popSubmit();
  advanceTime(10 * Second);
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
  EXPECT_EQ(popMessages<CancelSubmit>().size(), 1U);
}

// Guards against Unknown for a request that its owner gives up in the queue at
// the deadline: the refusal has to arrive before the home ends the request.
TEST_F(RequestLifecycleTest, RefusalAtTheOwnersDeadlineStillCounts) {
  sendRequest(request(1));
  const Submit Sent = popSubmit();
  advanceTime(Sent.Deadline);
  popMessages<Submit>();
  sendResult(submitResult(Sent.Id, SubmitStatus::NotRun));
  advanceTime(30 * Milli);
  EXPECT_EQ(popReply().Result, Outcome::RefusedNotRun);
}

TEST_F(RequestLifecycleTest, DeadlineOfAnUnsentRequestIsRefused) {
  setOwners(InstanceId());
  sendRequest(request(1));
  advanceTime(10 * Second);
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_EQ(popReply().Result, Outcome::RefusedNotRun);
}

// Guards against a request that ran at a home which died (P5): the new home
// has no record of it.
TEST_F(RequestLifecycleTest, RetransmissionAfterAHomeDeathDoesNotRun) {
  setRecordsCompleteFor(5 * Second);
  Request Work = request(1);
  Work.Attempt = 1;
  sendRequest(Work);
  EXPECT_TRUE(popMessages<Submit>().empty());
  const Reply Answer = popReply();
  EXPECT_EQ(Answer.Result, Outcome::Unknown);
  EXPECT_GT(Answer.RetryAfter, Duration());
}

// The same for a caller that goes on repeating until the records of the new
// home count as complete.
TEST_F(RequestLifecycleTest, UnknownStaysUnknownWhenRecordsBecomeComplete) {
  setRecordsCompleteFor(5 * Second);
  Request Work = request(1);
  for (Work.Attempt = 1; Work.Attempt < 5; ++Work.Attempt) {
    sendRequest(Work);
    advanceTime(20 * Second);
  }
  EXPECT_TRUE(popMessages<Submit>().empty());
}

// Guards against a request that runs again after its record expired (P5). Found
// by seed 5504 of the stateful properties: a repeat 31.5 s after the first
// copy.
TEST_F(RequestLifecycleTest, RetransmissionOlderThanAnyRecordDoesNotRun) {
  setRecordsCompleteFor(100 * Second);
  Request Work = request(1);
  Work.Attempt = 1;
  Work.Age = MaxRequestLifetime + Milli;
  sendRequest(Work);
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// A first copy may still be under way to the dead home's successor.
TEST_F(RequestLifecycleTest, FirstCopySoonAfterATakeoverDoesNotRun) {
  setRecordsCompleteFor(500 * Milli);
  sendRequest(request(1));
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

TEST_F(RequestLifecycleTest, FirstCopyRunsAfterThePacketLifetime) {
  setRecordsCompleteFor(MaxPacketLifetime);
  sendRequest(request(1));
  EXPECT_EQ(popMessages<Submit>().size(), 1U);
}

TEST_F(RequestLifecycleTest, RetransmissionRunsWhenRecordsAreComplete) {
  setRecordsCompleteFor(MaxRequestLifetime + MaxPacketLifetime);
  Request Work = request(1);
  Work.Attempt = 3;
  sendRequest(Work);
  EXPECT_EQ(popMessages<Submit>().size(), 1U);
}

// Guards against "not run" for an idempotent request that the dead home had
// run already (P4).
TEST_F(RequestLifecycleTest, RefusalAfterATakeoverIsUnknown) {
  setRecordsCompleteFor(5 * Second);
  Request Work = request(1, true);
  Work.Attempt = 1;
  sendRequest(Work);
  SubmitResult Refusal = submitResult(popSubmit().Id, SubmitStatus::NotRun);
  Refusal.UpstreamDraining = true;
  for (int Round = 0; Round < 8; ++Round) {
    sendResult(Refusal);
    for (const Submit &Sent : popMessages<Submit>())
      Refusal.Id = Sent.Id;
  }
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// Guards against a second run through the next owner (P5).
TEST_F(RequestLifecycleTest, OwnerDeathEndsARequestUnknown) {
  sendRequest(request(1));
  popSubmit();
  loseOwner();
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

TEST_F(RequestLifecycleTest, OwnerDeathRetriesAnIdempotentRequest) {
  exchangeRequest(1);
  sendRequest(request(2, true));
  const Submit First = popSubmit();
  loseOwner();
  advanceTime(20 * Milli);
  const Submit Again = popSubmit();
  EXPECT_NE(Again.Id, First.Id);
  EXPECT_EQ(Again.Upstream, First.Upstream);
  EXPECT_FALSE(Again.MayRedirect);
  sendResult(submitResult(Again.Id, SubmitStatus::Answered, "ok"), "lim-b-2");
  EXPECT_EQ(popReply().Result, Outcome::Answered);
}

// Guards against an owner that restarted and refuses what its predecessor may
// have dispatched (P4).
TEST_F(RequestLifecycleTest, RefusalOfARestartedOwnerIsNotBelieved) {
  sendRequest(request(1));
  const Submit Sent = popSubmit();
  Controller.onSubmitResult({instanceIdOf("lim-b-1"), BootId(99)},
                            submitResult(Sent.Id, SubmitStatus::NotOwner),
                            Sink);
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// Guards against a second run when an upstream changes its owner by plan: the
// old owner finishes what it dispatched.
TEST_F(RequestLifecycleTest, PlannedOwnerChangeWaitsForTheOldOwner) {
  sendRequest(request(1));
  const Submit Sent = popSubmit();
  setOwners(instanceIdOf("lim-b-2"));
  applyConfig();
  EXPECT_TRUE(popMessages<Submit>().empty());
  advanceTime(60 * Milli);
  for (const Action &Given : Sink.Actions)
    if (const auto *Out = std::get_if<SendDatagram>(&Given)) {
      EXPECT_EQ(Out->To.Port, 7001) << "not to the old owner";
    }
  EXPECT_EQ(popSubmit().Id, Sent.Id);
  sendResult(submitResult(Sent.Id, SubmitStatus::Answered, "done"));
  EXPECT_EQ(popReply().Payload, "done");
}

TEST_F(RequestLifecycleTest, NotOwnerGoesToTheRightOwner) {
  sendRequest(request(1));
  const Submit Sent = popSubmit();
  setOwners(instanceIdOf("lim-b-2"));
  sendResult(submitResult(Sent.Id, SubmitStatus::NotOwner));
  advanceTime(30 * Milli);
  const Submit Next = popSubmit();
  EXPECT_NE(Next.Id, Sent.Id);
  sendResult(submitResult(Next.Id, SubmitStatus::Answered, "ok"), "lim-b-2");
  EXPECT_EQ(popReply().Result, Outcome::Answered);
}

// Guards against a caller that waits for an owner which left without its last
// result.
TEST_F(RequestLifecycleTest, OwnerThatLeftDoesNotKeepTheCallerWaiting) {
  sendRequest(request(1));
  popSubmit();
  advanceTime(Second);
  Board.Members.ById[instanceIdOf("lim-b-1")].State = MemberState::Left;
  setOwners(instanceIdOf("lim-b-2"));
  applyConfig();
  EXPECT_TRUE(popMessages<Reply>().empty());
  advanceTime(200 * Milli);
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

TEST_F(RequestLifecycleTest, UnknownOfANonIdempotentRequestIsFinal) {
  sendRequest(request(1));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Unknown));
  EXPECT_TRUE(popMessages<Submit>().empty());
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// Guards against "not run" for a request whose first try may have run (P4).
TEST_F(RequestLifecycleTest, NotRunAfterUnknownIsUnknown) {
  exchangeRequest(1);
  sendRequest(request(2, true));
  sendResult(submitResult(popSubmit().Id, SubmitStatus::Unknown));
  advanceTime(20 * Milli);
  SubmitResult Refusal = submitResult(popSubmit().Id, SubmitStatus::NotRun);
  Refusal.RetryAfter = 20 * Second;
  sendResult(Refusal);
  EXPECT_EQ(popReply().Result, Outcome::Unknown);
}

// Guards against a refusal that is final although there is time and budget.
TEST_F(RequestLifecycleTest, EstablishedFlowRetriesAtItsPin) {
  const UpstreamId Pinned = exchangeRequest(1);
  sendRequest(request(2));
  SubmitResult Refusal = submitResult(popSubmit().Id, SubmitStatus::NotRun);
  Refusal.RetryAfter = 30 * Milli;
  sendResult(Refusal);
  EXPECT_TRUE(popMessages<Submit>().empty());
  advanceTime(40 * Milli);
  EXPECT_EQ(popSubmit().Upstream, Pinned);
  EXPECT_EQ(chatMetrics().Retries, 1U);
}

// Guards against a refusal that is held back until the deadline.
TEST_F(RequestLifecycleTest, RefusalWithoutTimeForARetryIsFinalAtOnce) {
  exchangeRequest(1);
  sendRequest(request(2));
  SubmitResult Refusal = submitResult(popSubmit().Id, SubmitStatus::NotRun);
  Refusal.RetryAfter = 11 * Second;
  sendResult(Refusal);
  const Reply Answer = popReply();
  EXPECT_EQ(Answer.Result, Outcome::RefusedNotRun);
  EXPECT_EQ(Answer.RetryAfter, 11 * Second);
}

// Guards against retries that feed an overload: 1000 refused requests in one
// second may cause at most 10% of retries.
TEST_F(RequestLifecycleTest, OverloadEndsInRefusalsWithinTheBudget) {
  exchangeRequest(1);
  size_t Submits = 0;
  for (uint64_t Id = 2; Id < 1002; ++Id) {
    sendRequest(request(Id));
    for (const Submit &Sent : popMessages<Submit>()) {
      ++Submits;
      sendResult(submitResult(Sent.Id, SubmitStatus::NotRun));
    }
    TimeSource.Now += Milli;
    Controller.onTick(Sink);
  }
  const size_t Refused = popMessages<Reply>().size();
  EXPECT_LE(Submits, 1000U + 105U);
  EXPECT_GE(Submits, 1000U + 50U);
  EXPECT_GE(Refused, 890U);
  EXPECT_EQ(chatMetrics().Outcomes[static_cast<size_t>(Outcome::RefusedNotRun)],
            Refused);
}

} // namespace
} // namespace indigopoint
