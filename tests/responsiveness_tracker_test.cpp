#include "responsiveness_tracker.h"

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr Duration Backoff = 1s;

class ResponsivenessTrackerTest : public testing::Test {
protected:
  TimePoint at(Duration Time) const { return Start + Time; }
  bool recordOverdue(Duration StartedAt, Duration Now) {
    return State.recordOverdueExchange(at(StartedAt), at(Now), Backoff);
  }
  bool isUnresponsive(Duration Now) const {
    return State.isUnresponsive(at(Now));
  }

  const TimePoint Start = ManualClock().now();
  ResponsivenessTracker State;
};

// Guards against an answer to an earlier request ending the evidence.
TEST_F(ResponsivenessTrackerTest, OnlyLaterExchangesEndTheEvidence) {
  EXPECT_TRUE(recordOverdue(0ms, 200ms));
  State.recordAnswer(at(100ms), at(210ms));
  EXPECT_TRUE(isUnresponsive(220ms));
  State.recordAnswer(at(215ms), at(230ms));
  EXPECT_FALSE(isUnresponsive(231ms));
  EXPECT_FALSE(State.needsTrial());
}

// Guards against avoiding an upstream because of requests that merely took
// long, and against a longer backoff after them.
TEST_F(ResponsivenessTrackerTest, AnswerToTheOverdueExchangeVoidsTheEvidence) {
  recordOverdue(0ms, 200ms);
  State.recordAnswer(at(0ms), at(250ms));
  EXPECT_FALSE(isUnresponsive(251ms));
  recordOverdue(300ms, 500ms);
  EXPECT_FALSE(isUnresponsive(1500ms));
}

// Guards against exchanges that were open together doubling the backoff.
TEST_F(ResponsivenessTrackerTest, BackoffDoublesWithEvidenceAfterTheLast) {
  recordOverdue(0ms, 200ms);
  EXPECT_FALSE(recordOverdue(50ms, 250ms));
  EXPECT_FALSE(isUnresponsive(1200ms));
  State.recordAnswer(at(1200ms), at(1230ms));
  EXPECT_TRUE(recordOverdue(1300ms, 1500ms));
  EXPECT_TRUE(isUnresponsive(3499ms));
  recordOverdue(3500ms, 3700ms);
  recordOverdue(8000ms, 8200ms);
  EXPECT_TRUE(isUnresponsive(12199ms));
  EXPECT_FALSE(isUnresponsive(12200ms));
  recordOverdue(20s, 20200ms);
  EXPECT_FALSE(isUnresponsive(21200ms));
}

// Guards against many flows going to an upstream whose evidence expired before
// one of them was answered.
TEST_F(ResponsivenessTrackerTest, OneTrialAtATime) {
  recordOverdue(0ms, 200ms);
  EXPECT_FALSE(isUnresponsive(1200ms));
  State.recordOpening(at(1200ms), 300ms);
  EXPECT_TRUE(isUnresponsive(1499ms));
  EXPECT_FALSE(isUnresponsive(1500ms));
  State.recordOpening(at(1500ms), 300ms);
  State.recordAnswer(at(1507ms), at(1540ms));
  EXPECT_FALSE(isUnresponsive(1541ms));
}

// Guards against a client that gives up one request.
TEST_F(ResponsivenessTrackerTest, SeveralUnansweredExchangesAreEvidence) {
  EXPECT_FALSE(State.recordUnansweredExchange(at(0ms), at(100ms), Backoff));
  State.recordAnswer(at(50ms), at(110ms));
  EXPECT_FALSE(State.recordUnansweredExchange(at(20ms), at(120ms), Backoff));
  EXPECT_TRUE(State.recordUnansweredExchange(at(30ms), at(130ms), Backoff));
  EXPECT_TRUE(isUnresponsive(131ms));
}

// Guards against evidence from exchanges with the process before a restart.
TEST_F(ResponsivenessTrackerTest, RestartEndsAndPreventsEarlierEvidence) {
  recordOverdue(0ms, 200ms);
  State.setPeerEvidence(at(2s), at(200ms));
  State.reset(at(300ms));
  EXPECT_FALSE(isUnresponsive(301ms));
  EXPECT_FALSE(recordOverdue(250ms, 500ms));
  EXPECT_TRUE(State.isOutdated(at(300ms)));
}

} // namespace
} // namespace indigopoint
