#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "messages.h"
#include "types.h"

namespace indigopoint {

/// Names one submission of a home instance.
struct SubmissionKey {
  Sender Home;
  SubmitId Id;
  auto operator<=>(const SubmissionKey &) const = default;
};

struct SubmissionKeyHash {
  size_t operator()(const SubmissionKey &Key) const noexcept;
};

/// What became of each submission, so that a repeat never runs again.
class SubmissionLog {
public:
  struct Record {
    bool Finished = false;
    /// Where the work waits or runs while it is not finished.
    UpstreamId Upstream;
    DispatchId Dispatch;
    /// Its payload is empty once PayloadEvicted is set.
    SubmitResult Result;
    bool PayloadEvicted = false;
  };

  explicit SubmissionLog(size_t PayloadBudget = DefaultPayloadBudget)
      : PayloadBudget(PayloadBudget) {}

  /// Null if the submission is not known.
  Record *find(const SubmissionKey &Key);

  /// Records a new submission as in progress.
  Record &begin(const SubmissionKey &Key);

  /// Records the result of a submission. Returns false if it has one already.
  bool finish(const SubmissionKey &Key, const SubmitResult &Result,
              TimePoint Now);

  /// The result to send for a repeat of a finished submission.
  static SubmitResult storedResult(const Record &Entry);

  /// Forgets what finished more than RecordLifetime ago.
  void expire(TimePoint Now);

  /// Ends all that is in progress as Unknown.
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
  std::deque<FinishedEntry> FinishedInOrder;
  std::deque<SubmissionKey> PayloadsInOrder;
};

} // namespace indigopoint
