#include "request_table.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

constexpr Duration Second = std::chrono::seconds(1);
constexpr TimePoint Start{std::chrono::seconds(1000)};

class RequestTableTest : public testing::Test {
protected:
  static RequestKey key(uint64_t Id) {
    return {FlowKey(1), ServiceId(1), RequestId(Id)};
  }
  void finish(uint64_t Id, size_t AnswerSize, TimePoint Now) {
    Table.finish(Table.insert(key(Id), Now), Outcome::Answered, Duration(),
                 std::string(AnswerSize, 'x'), Now);
  }
  RequestTable Table;
};

// Guards against a record that expires while a copy of its request may still
// arrive.
TEST_F(RequestTableTest, RecordIsKeptForItsLifetimeAfterTheOutcome) {
  finish(1, 10, Start);
  Table.expire(Start + RecordLifetime - Duration(1));
  EXPECT_NE(Table.find(key(1)), nullptr);
  Table.expire(Start + RecordLifetime);
  EXPECT_EQ(Table.find(key(1)), nullptr);
}

TEST_F(RequestTableTest, RecordInProgressDoesNotExpire) {
  Table.insert(key(1), Start).ActiveSubmission = std::make_unique<Submission>();
  Table.expire(Start + 100 * Second);
  EXPECT_NE(Table.find(key(1)), nullptr);
}

// Guards against a record that never expires because the other instance that
// runs the request never reports the outcome.
TEST_F(RequestTableTest, RecordOfAnotherInstanceExpires) {
  Table.insertRunningElsewhere(key(1), InstanceId(5), Start);
  Table.expire(Start + MaxRequestLifetime + RecordLifetime - Duration(1));
  EXPECT_NE(Table.find(key(1)), nullptr);
  Table.expire(Start + MaxRequestLifetime + RecordLifetime);
  EXPECT_EQ(Table.find(key(1)), nullptr);
}

// Guards against records of requests that run elsewhere delaying the expiry of
// finished records.
TEST_F(RequestTableTest, RecordRunningElsewhereDelaysNoOtherRecord) {
  Table.insertRunningElsewhere(key(1), InstanceId(5), Start);
  finish(2, 10, Start);
  Table.expire(Start + RecordLifetime);
  EXPECT_EQ(Table.find(key(2)), nullptr);
}

TEST_F(RequestTableTest, LargeAnswerIsKeptForTwoSeconds) {
  finish(1, 50000, Start);
  Table.expire(Start + 2 * Second - Duration(1));
  EXPECT_EQ(Table.find(key(1))->Payload.size(), 50000U);
  Table.expire(Start + 2 * Second);
  EXPECT_TRUE(Table.find(key(1))->AnswerEvicted);
}

// Guards against unlimited memory use under a flood of large answers.
TEST_F(RequestTableTest, LargeAnswersStayWithinTheirBudget) {
  for (uint64_t Id = 1; Id <= 200; ++Id)
    finish(Id, 50000, Start);
  Table.expire(Start);
  size_t StoredBytes = 0;
  for (uint64_t Id = 1; Id <= 200; ++Id)
    StoredBytes += Table.find(key(Id))->Payload.size();
  EXPECT_LE(StoredBytes, size_t(4) << 20);
  EXPECT_GE(StoredBytes, size_t(3) << 20);
  EXPECT_FALSE(Table.find(key(200))->AnswerEvicted);
}

TEST_F(RequestTableTest, SmallAnswersStayWithinTheirBudget) {
  for (uint64_t Id = 1; Id <= 20000; ++Id)
    finish(Id, 1024, Start);
  Table.expire(Start);
  EXPECT_TRUE(Table.find(key(1))->AnswerEvicted);
  EXPECT_FALSE(Table.find(key(20000))->AnswerEvicted);
}

TEST_F(RequestTableTest, RunningRequestIsFoundByItsUpstream) {
  RequestRecord &Record = Table.insert(key(1), Start);
  Record.ActiveSubmission = std::make_unique<Submission>();
  Record.ActiveSubmission->Upstream = UpstreamId(9);
  EXPECT_TRUE(Table.isRunningOn(FlowKey(1), ServiceId(1), UpstreamId(9)));
  EXPECT_FALSE(Table.isRunningOn(FlowKey(1), ServiceId(2), UpstreamId(9)));
  Table.finish(Record, Outcome::Answered, Duration(), "", Start);
  EXPECT_FALSE(Table.isRunningOn(FlowKey(1), ServiceId(1), UpstreamId(9)));
}

} // namespace
} // namespace indigopoint
