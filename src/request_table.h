#pragma once

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "messages.h"
#include "types.h"

namespace indigopoint {

/// Callers give up on a request after this time at the latest.
constexpr Duration MaxRequestLifetime = std::chrono::seconds(30);

/// No copy of a datagram arrives later than this after it was sent.
constexpr Duration MaxPacketLifetime = std::chrono::seconds(1);

/// After this time no copy of a request can arrive any more.
constexpr Duration RecordLifetime = MaxRequestLifetime + MaxPacketLifetime;

/// Answers up to this size are kept as long as their record.
constexpr size_t SmallAnswer = 1024;

struct RequestKey {
  FlowKey Flow;
  ServiceId Service;
  RequestId Id;
  bool operator==(const RequestKey &) const = default;
};

/// The work on a request that this instance runs.
struct Submission {
  SubmitId Id;
  UpstreamId Upstream;
  /// Who was sent the submission, and in which process; zero if nobody yet.
  InstanceId Owner;
  BootId OwnerBoot;
  TimePoint Deadline{};
  /// When to repeat, retry or give up.
  TimePoint NextActionAt{};
  Duration RepeatAfter{};
  uint32_t Retries = 0;
  uint32_t Moves = 0;
  bool MayRedirect = false;
};

/// What is known of one request, kept until no copy of it can arrive.
struct RequestRecord {
  RequestKey Key;
  Endpoint Caller;
  RequestPhase Phase = RequestPhase::InProgress;
  bool Idempotent = false;
  /// A copy may have run, here or under an earlier home.
  bool MayHaveRun = false;
  /// The answer was dropped to stay within the memory limit.
  bool AnswerEvicted = false;
  bool InExpiryQueue = false;
  Outcome Result = Outcome::Unknown;
  Duration RetryAfter{};
  TimePoint Arrived{};
  TimePoint ExpiresAt{};
  /// The other instance that runs the request; zero if it is this one.
  InstanceId Holder;
  /// Present while this instance runs the request.
  std::unique_ptr<Submission> ActiveSubmission;
  /// Of the request while it is in progress, then of the answer.
  std::string Payload;
  RequestRecord *Next = nullptr;
  RequestRecord *Prev = nullptr;
};

/// Request records by flow, service and request id, and by flow bucket.
/// References stay valid until erase or expire.
class RequestTable {
public:
  RequestTable();

  RequestRecord *find(const RequestKey &Key);

  /// Adds a record in progress that does not exist yet.
  RequestRecord &insert(const RequestKey &Key, TimePoint Now);

  /// Adds a record in progress at \p Holder.
  RequestRecord &insertHeld(const RequestKey &Key, InstanceId Holder,
                            TimePoint Now);

  void finish(RequestRecord &Record, Outcome Result, Duration RetryAfter,
              std::string Answer, TimePoint Now);

  /// Puts the lifetime off because another copy arrived.
  void extend(RequestRecord &Record, TimePoint Now);

  void erase(RequestRecord &Record);

  /// \p Lost does not know the requests any more that it was running.
  void forgetHolder(InstanceId Lost);

  /// Drops old records and answers.
  void expire(TimePoint Now);

  void clear();

  size_t size() const { return Records.size(); }

  /// Whether this instance runs a request of the flow on \p Upstream.
  bool isRunningOn(FlowKey Flow, ServiceId Service, UpstreamId Upstream) const;

  /// Calls \p Visit for each record of \p Bucket. It may erase that record.
  template <typename Visitor>
  void forEachInBucket(uint32_t Bucket, Visitor Visit) const {
    for (RequestRecord *At = Buckets[Bucket]; At != nullptr;) {
      RequestRecord *Current = At;
      At = At->Next;
      Visit(*Current);
    }
  }

private:
  struct KeyHash {
    size_t operator()(const RequestKey &Key) const noexcept;
  };
  struct StoredAnswer {
    TimePoint StoredAt;
    RequestKey Key;
    size_t Size = 0;
  };
  struct AnswerQueue {
    std::deque<StoredAnswer> Answers;
    size_t Bytes = 0;
  };

  struct Expiry {
    TimePoint At;
    RequestKey Key;
  };
  using ExpiryQueue = std::deque<Expiry>;

  void queueExpiry(ExpiryQueue &Queue, RequestRecord &Record, TimePoint At);
  void expireRecords(ExpiryQueue &Queue, TimePoint Now);
  void evictOldest(AnswerQueue &Queue);
  void evict(AnswerQueue &Queue, TimePoint Before, size_t Budget);

  std::unordered_map<RequestKey, RequestRecord, KeyHash> Records;
  std::vector<RequestRecord *> Buckets;
  ExpiryQueue Finished;
  /// Records of requests that other instances run; these live longer.
  ExpiryQueue Held;
  AnswerQueue Small;
  AnswerQueue Large;
};

} // namespace indigopoint
