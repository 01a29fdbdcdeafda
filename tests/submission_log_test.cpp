#include "submission_log.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

SubmissionKey keyOf(uint64_t Id) {
  return {{InstanceId(1), BootId(2)}, SubmitId(Id)};
}

SubmitResult answeredResult(const std::string &Payload) {
  SubmitResult Result;
  Result.Status = SubmitStatus::Answered;
  Result.Payload = Payload;
  return Result;
}

// Guards against sending an empty answer for a retransmission after the payload
// was evicted.
TEST(SubmissionLogTest, EvictedPayloadGivesUnknown) {
  SubmissionLog Log(100);
  for (uint64_t Id = 1; Id <= 3; ++Id)
    Log.finish(keyOf(Id), answeredResult(std::string(40, 'x')), TimePoint());
  EXPECT_LE(Log.payloadBytes(), 100U);
  EXPECT_EQ(SubmissionLog::storedResult(*Log.find(keyOf(1))).Status,
            SubmitStatus::Unknown);
  EXPECT_EQ(SubmissionLog::storedResult(*Log.find(keyOf(3))).Payload.size(),
            40U);
}

// Guards against a second run: a retransmission may arrive until 31 s after the
// end of the request.
TEST(SubmissionLogTest, RecordsStayFor31Seconds) {
  SubmissionLog Log;
  const TimePoint End = TimePoint() + std::chrono::seconds(10);
  Log.finish(keyOf(1), answeredResult("x"), End);
  Log.expire(End + std::chrono::milliseconds(30999));
  EXPECT_NE(Log.find(keyOf(1)), nullptr);
  Log.expire(End + std::chrono::seconds(31));
  EXPECT_EQ(Log.find(keyOf(1)), nullptr);
  EXPECT_EQ(Log.payloadBytes(), 0U);
}

// Guards against expiring the record of a submission that is in progress for a
// long time.
TEST(SubmissionLogTest, RecordInProgressStays) {
  SubmissionLog Log;
  Log.addSubmission(keyOf(1));
  Log.expire(TimePoint() + std::chrono::hours(1));
  EXPECT_NE(Log.find(keyOf(1)), nullptr);
}

// Guards against a second result for one submission.
TEST(SubmissionLogTest, FirstResultStays) {
  SubmissionLog Log;
  EXPECT_TRUE(Log.finish(keyOf(1), answeredResult("first"), TimePoint()));
  EXPECT_FALSE(Log.finish(keyOf(1), answeredResult("second"), TimePoint()));
  EXPECT_EQ(SubmissionLog::storedResult(*Log.find(keyOf(1))).Payload, "first");
}

} // namespace
} // namespace indigopoint
