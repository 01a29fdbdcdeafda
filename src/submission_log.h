#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "messages.h"
#include "types.h"

namespace indigopoint {

/// Identifies one submission of a home instance, the instance that decides the
/// outcome of the requests of a flow.
struct SubmissionKey {
  Sender Home;
  SubmitId Id;
  auto operator<=>(const SubmissionKey &) const = default;
};

struct SubmissionKeyHash {
  size_t operator()(const SubmissionKey &Key) const noexcept;
};

/// The state and result of each submission, so that a retransmitted submission
/// never runs twice.
class SubmissionLog {
public:
  struct Record {
    bool Finished = false;
    /// The upstream and dispatch of an unfinished submission.
    UpstreamId Upstream;
    DispatchId Dispatch;
    /// The payload is empty once PayloadEvicted is set.
    SubmitResult Result;
    bool PayloadEvicted = false;
  };

  explicit SubmissionLog(size_t PayloadBudget = DefaultPayloadBudget)
      : PayloadBudget(PayloadBudget) {}

  /// Null if the submission is not known.
  Record *find(const SubmissionKey &Key);

  /// Records a new submission as in progress.
  Record &addSubmission(const SubmissionKey &Key);

  /// Records the result of a submission. Returns false if it has one already.
  bool finish(const SubmissionKey &Key, const SubmitResult &Result,
              TimePoint Now);

  /// The result to send when a finished submission is retransmitted.
  static SubmitResult storedResult(const Record &Entry);

  /// Removes the submissions that finished more than RecordLifetime ago.
  void expire(TimePoint Now);

  /// Finishes all submissions in progress with Unknown.
  void abandonAll(TimePoint Now);

  size_t size() const { return Records.size(); }
  size_t payloadBytes() const { return PayloadBytes; }

private:
  struct FinishedEntry {
    TimePoint FinishedAt;
    SubmissionKey Key;
  };

  static constexpr size_t DefaultPayloadBudget = 8U << 20U;

  void evictPayloads();

  const size_t PayloadBudget;
  size_t PayloadBytes = 0;
  std::unordered_map<SubmissionKey, Record, SubmissionKeyHash> Records;
  std::deque<FinishedEntry> FinishedSubmissions;
  std::deque<SubmissionKey> PayloadsInOrder;
};

} // namespace indigopoint
