#include <gtest/gtest.h>

#include "home_fixture.h"
#include "request_table.h"

namespace indigopoint {
namespace {

class RequestLifecycleTest : public HomeFixture {
protected:
  void loseOwner() {
    Home.onInstanceLost(instanceIdOf("lim-b-1"), Sink);
    Board.Members.ById.erase(instanceIdOf("lim-b-1"));
    setOwners(instanceIdOf("lim-b-2"));
    applyConfig();
  }
};

// Guards against a lost Submit or result that leaves the caller waiting.
TEST_F(RequestLifecycleTest, SubmitIsRepeatedUnderTheSameId) {
  give(request(1));
  const Submit First = submitted();
  pass(40 * Milli);
  EXPECT_TRUE(take<Submit>().empty());
  pass(20 * Milli);
  EXPECT_EQ(submitted().Id, First.Id);
  pass(100 * Milli);
  EXPECT_EQ(submitted().Id, First.Id);
  pass(100 * Milli);
  EXPECT_TRUE(take<Submit>().empty());
}

// Guards against a deadline that starts anew at each hop.
TEST_F(RequestLifecycleTest, RepeatCarriesTheTimeLeft) {
  give(request(1));
  EXPECT_EQ(submitted().Deadline, 10 * Second - 20 * Milli);
  pass(60 * Milli);
  EXPECT_EQ(submitted().Deadline, 10 * Second - 70 * Milli);
}

// Guards against records that end before their request does.
TEST_F(RequestLifecycleTest, LongDeadlineIsCapped) {
  Request Work = request(1);
  Work.Deadline = 600 * Second;
  give(Work);
  EXPECT_EQ(submitted().Deadline, MaxRequestLifetime - 20 * Milli);
}

// Guards against an answer that is held back after the deadline, and against
// "not run" while the request may run.
TEST_F(RequestLifecycleTest, DeadlineEndsASubmittedRequestUnknown) {
  give(request(1));
  submitted();
  pass(10 * Second);
  EXPECT_EQ(replied().Result, Outcome::Unknown);
  EXPECT_EQ(take<CancelSubmit>().size(), 1U);
}

// Guards against Unknown for a request that its owner gives up in the queue at
// the deadline: the refusal has to arrive before the home ends the request.
TEST_F(RequestLifecycleTest, RefusalAtTheOwnersDeadlineStillCounts) {
  give(request(1));
  const Submit Sent = submitted();
  pass(Sent.Deadline);
  take<Submit>();
  result(ended(Sent.Id, SubmitStatus::NotRun));
  pass(30 * Milli);
  EXPECT_EQ(replied().Result, Outcome::RefusedNotRun);
}

TEST_F(RequestLifecycleTest, DeadlineOfAnUnsentRequestIsRefused) {
  setOwners(InstanceId());
  give(request(1));
  pass(10 * Second);
  EXPECT_TRUE(take<Submit>().empty());
  EXPECT_EQ(replied().Result, Outcome::RefusedNotRun);
}

// Guards against a request that ran at a home which died (P5): the new home
// has no record of it.
TEST_F(RequestLifecycleTest, RetransmissionAfterAHomeDeathDoesNotRun) {
  recordsCompleteFor(5 * Second);
  Request Work = request(1);
  Work.Attempt = 1;
  give(Work);
  EXPECT_TRUE(take<Submit>().empty());
  const Reply Answer = replied();
  EXPECT_EQ(Answer.Result, Outcome::Unknown);
  EXPECT_GT(Answer.RetryAfter, Duration());
}

// The same for a caller that goes on repeating until the records of the new
// home count as complete.
TEST_F(RequestLifecycleTest, UnknownStaysUnknownWhenRecordsBecomeComplete) {
  recordsCompleteFor(5 * Second);
  Request Work = request(1);
  for (Work.Attempt = 1; Work.Attempt < 5; ++Work.Attempt) {
    give(Work);
    pass(20 * Second);
  }
  EXPECT_TRUE(take<Submit>().empty());
}

// Guards against a request that runs again after its record expired (P5). Found
// by seed 5504 of the stateful properties: a repeat 31.5 s after the first
// copy.
TEST_F(RequestLifecycleTest, RetransmissionOlderThanAnyRecordDoesNotRun) {
  recordsCompleteFor(100 * Second);
  Request Work = request(1);
  Work.Attempt = 1;
  Work.Age = MaxRequestLifetime + Milli;
  give(Work);
  EXPECT_TRUE(take<Submit>().empty());
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

// A first copy may still be under way to the dead home's successor.
TEST_F(RequestLifecycleTest, FirstCopySoonAfterATakeoverDoesNotRun) {
  recordsCompleteFor(500 * Milli);
  give(request(1));
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

TEST_F(RequestLifecycleTest, FirstCopyRunsAfterThePacketLifetime) {
  recordsCompleteFor(MaxPacketLifetime);
  give(request(1));
  EXPECT_EQ(take<Submit>().size(), 1U);
}

TEST_F(RequestLifecycleTest, RetransmissionRunsWhenRecordsAreComplete) {
  recordsCompleteFor(MaxRequestLifetime + MaxPacketLifetime);
  Request Work = request(1);
  Work.Attempt = 3;
  give(Work);
  EXPECT_EQ(take<Submit>().size(), 1U);
}

// Guards against "not run" for an idempotent request that the dead home had
// run already (P4).
TEST_F(RequestLifecycleTest, RefusalAfterATakeoverIsUnknown) {
  recordsCompleteFor(5 * Second);
  Request Work = request(1, true);
  Work.Attempt = 1;
  give(Work);
  SubmitResult Refusal = ended(submitted().Id, SubmitStatus::NotRun);
  Refusal.UpstreamDraining = true;
  for (int Round = 0; Round < 8; ++Round) {
    result(Refusal);
    for (const Submit &Sent : take<Submit>())
      Refusal.Id = Sent.Id;
  }
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

// Guards against a second run through the next owner (P5).
TEST_F(RequestLifecycleTest, OwnerDeathEndsARequestUnknown) {
  give(request(1));
  submitted();
  loseOwner();
  EXPECT_TRUE(take<Submit>().empty());
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

TEST_F(RequestLifecycleTest, OwnerDeathRetriesAnIdempotentRequest) {
  exchange(1);
  give(request(2, true));
  const Submit First = submitted();
  loseOwner();
  pass(20 * Milli);
  const Submit Again = submitted();
  EXPECT_NE(Again.Id, First.Id);
  EXPECT_EQ(Again.Upstream, First.Upstream);
  EXPECT_FALSE(Again.MayRedirect);
  result(ended(Again.Id, SubmitStatus::Answered, "ok"), "lim-b-2");
  EXPECT_EQ(replied().Result, Outcome::Answered);
}

// Guards against an owner that restarted and refuses what its predecessor may
// have dispatched (P4).
TEST_F(RequestLifecycleTest, RefusalOfARestartedOwnerIsNotBelieved) {
  give(request(1));
  const Submit Sent = submitted();
  Home.onSubmitResult({instanceIdOf("lim-b-1"), BootId(99)},
                      ended(Sent.Id, SubmitStatus::NotOwner), Sink);
  EXPECT_TRUE(take<Submit>().empty());
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

// Guards against a second run when an upstream changes its owner by plan: the
// old owner finishes what it dispatched.
TEST_F(RequestLifecycleTest, PlannedOwnerChangeWaitsForTheOldOwner) {
  give(request(1));
  const Submit Sent = submitted();
  setOwners(instanceIdOf("lim-b-2"));
  applyConfig();
  EXPECT_TRUE(take<Submit>().empty());
  pass(60 * Milli);
  for (const Action &Given : Sink.Actions)
    if (const auto *Out = std::get_if<SendDatagram>(&Given)) {
      EXPECT_EQ(Out->To.Port, 7001) << "not to the old owner";
    }
  EXPECT_EQ(submitted().Id, Sent.Id);
  result(ended(Sent.Id, SubmitStatus::Answered, "done"));
  EXPECT_EQ(replied().Payload, "done");
}

TEST_F(RequestLifecycleTest, NotOwnerGoesToTheRightOwner) {
  give(request(1));
  const Submit Sent = submitted();
  setOwners(instanceIdOf("lim-b-2"));
  result(ended(Sent.Id, SubmitStatus::NotOwner));
  pass(30 * Milli);
  const Submit Next = submitted();
  EXPECT_NE(Next.Id, Sent.Id);
  result(ended(Next.Id, SubmitStatus::Answered, "ok"), "lim-b-2");
  EXPECT_EQ(replied().Result, Outcome::Answered);
}

// Guards against a caller that waits for an owner which left without its last
// result.
TEST_F(RequestLifecycleTest, OwnerThatLeftDoesNotKeepTheCallerWaiting) {
  give(request(1));
  submitted();
  pass(Second);
  Board.Members.ById[instanceIdOf("lim-b-1")].State = MemberState::Left;
  setOwners(instanceIdOf("lim-b-2"));
  applyConfig();
  EXPECT_TRUE(take<Reply>().empty());
  pass(200 * Milli);
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

TEST_F(RequestLifecycleTest, UnknownOfANonIdempotentRequestIsFinal) {
  give(request(1));
  result(ended(submitted().Id, SubmitStatus::Unknown));
  EXPECT_TRUE(take<Submit>().empty());
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

// Guards against "not run" for a request whose first try may have run (P4).
TEST_F(RequestLifecycleTest, NotRunAfterUnknownIsUnknown) {
  exchange(1);
  give(request(2, true));
  result(ended(submitted().Id, SubmitStatus::Unknown));
  pass(20 * Milli);
  SubmitResult Refusal = ended(submitted().Id, SubmitStatus::NotRun);
  Refusal.RetryAfter = 20 * Second;
  result(Refusal);
  EXPECT_EQ(replied().Result, Outcome::Unknown);
}

// Guards against a refusal that is final although there is time and budget.
TEST_F(RequestLifecycleTest, EstablishedFlowRetriesAtItsPin) {
  const UpstreamId Pinned = exchange(1);
  give(request(2));
  SubmitResult Refusal = ended(submitted().Id, SubmitStatus::NotRun);
  Refusal.RetryAfter = 30 * Milli;
  result(Refusal);
  EXPECT_TRUE(take<Submit>().empty());
  pass(40 * Milli);
  EXPECT_EQ(submitted().Upstream, Pinned);
  EXPECT_EQ(stats().Retries, 1U);
}

// Guards against a refusal that is held back until the deadline.
TEST_F(RequestLifecycleTest, RefusalWithoutTimeForARetryIsFinalAtOnce) {
  exchange(1);
  give(request(2));
  SubmitResult Refusal = ended(submitted().Id, SubmitStatus::NotRun);
  Refusal.RetryAfter = 11 * Second;
  result(Refusal);
  const Reply Answer = replied();
  EXPECT_EQ(Answer.Result, Outcome::RefusedNotRun);
  EXPECT_EQ(Answer.RetryAfter, 11 * Second);
}

// Guards against retries that feed an overload: 1000 refused requests in one
// second may cause at most 10% of retries.
TEST_F(RequestLifecycleTest, OverloadEndsInRefusalsWithinTheBudget) {
  exchange(1);
  size_t Submits = 0;
  for (uint64_t Id = 2; Id < 1002; ++Id) {
    give(request(Id));
    for (const Submit &Sent : take<Submit>()) {
      ++Submits;
      result(ended(Sent.Id, SubmitStatus::NotRun));
    }
    TimeSource.Now += Milli;
    Home.onTick(Sink);
  }
  const size_t Refused = take<Reply>().size();
  EXPECT_LE(Submits, 1000U + 105U);
  EXPECT_GE(Submits, 1000U + 50U);
  EXPECT_GE(Refused, 890U);
  EXPECT_EQ(stats().Outcomes[static_cast<size_t>(Outcome::RefusedNotRun)],
            Refused);
}

} // namespace
} // namespace indigopoint
