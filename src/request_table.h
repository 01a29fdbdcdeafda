#pragma once

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "messages.h"
#include "types.h"

namespace indigopoint {

/// Upper limit of a request's deadline: callers give up after this time at the
/// latest.
constexpr Duration MaxRequestLifetime = std::chrono::seconds(30);

/// Maximum time that a datagram spends in the network before it is delivered
/// or lost.
constexpr Duration MaxPacketLifetime = std::chrono::seconds(1);

/// Maximum time between the arrivals of the first and the last copy of a
/// request.
constexpr Duration RecordLifetime = MaxRequestLifetime + MaxPacketLifetime;

/// Answers up to this size, in bytes, are kept as long as their record.
constexpr size_t MaxSmallAnswerSize = 1024;

struct RequestKey {
  FlowKey Flow;
  ServiceId Service;
  RequestId Id;
  bool operator==(const RequestKey &) const = default;
};

/// The state of a request that this instance submits to an owner instance.
struct Submission {
  SubmitId Id;
  UpstreamId Upstream;
  /// The instance and process that the submission was sent to; zero if it was
  /// not sent yet.
  InstanceId Owner;
  BootId OwnerBoot;
  TimePoint Deadline{};
  /// Time of the next retransmission, retry or timeout.
  TimePoint NextActionAt{};
  Duration RetransmitDelay{};
  uint32_t Retries = 0;
  /// Number of redirects and of moves away from draining upstreams; these use
  /// no retry budget.
  uint32_t MovesWithoutRetryBudget = 0;
  bool MayRedirect = false;
};

/// The state of one request, kept until no copy of the request can arrive.
struct RequestRecord {
  RequestKey Key;
  Endpoint Caller;
  RequestPhase Phase = RequestPhase::InProgress;
  bool Idempotent = false;
  /// Whether a copy may have run, through this or an earlier home instance.
  bool MayHaveRun = false;
  /// Whether the answer was dropped because of its age or the memory limit.
  bool AnswerEvicted = false;
  bool InExpiryQueue = false;
  Outcome Result = Outcome::Unknown;
  Duration RetryAfter{};
  TimePoint ArrivedAt{};
  TimePoint ExpiresAt{};
  /// The other instance that runs the request; zero if this instance does, or
  /// if the other instance was lost.
  InstanceId RunningInstance;
  /// Present while this instance runs the request.
  std::unique_ptr<Submission> ActiveSubmission;
  /// Payload of the request while it is in progress, then of the answer.
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

  /// Adds a record in progress. There must be no record of that key yet.
  RequestRecord &insert(const RequestKey &Key, TimePoint Now);

  /// Adds a record of a request that is in progress at \p RunningInstance.
  RequestRecord &insertRunningElsewhere(const RequestKey &Key,
                                        InstanceId RunningInstance,
                                        TimePoint Now);

  void finish(RequestRecord &Record, Outcome Result, Duration RetryAfter,
              std::string Answer, TimePoint Now);

  /// Restarts the lifetime of a finished record because another copy arrived.
  void extend(RequestRecord &Record, TimePoint Now);

  void erase(RequestRecord &Record);

  /// Clears the running instance of all records that \p LostInstance was
  /// running.
  void clearRunningInstance(InstanceId LostInstance);

  /// Erases expired records, and answers beyond their lifetime or memory limit.
  void expire(TimePoint Now);

  void clear();

  size_t size() const { return Records.size(); }

  /// Whether this instance runs a request of the flow on \p Upstream.
  bool isRunningOn(FlowKey Flow, ServiceId Service, UpstreamId Upstream) const;

  /// Calls \p Visit for each record of \p Bucket. \p Visit may erase that
  /// record.
  template <typename Visitor>
  void forEachInBucket(uint32_t Bucket, Visitor Visit) const {
    for (RequestRecord *NextRecord = Buckets[Bucket]; NextRecord != nullptr;) {
      RequestRecord *Current = NextRecord;
      NextRecord = NextRecord->Next;
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
    TimePoint DueAt;
    RequestKey Key;
  };
  using ExpiryQueue = std::deque<Expiry>;

  void queueExpiry(ExpiryQueue &Queue, RequestRecord &Record,
                   TimePoint ExpiresAt);
  void expireRecords(ExpiryQueue &Queue, TimePoint Now);
  void evictOldest(AnswerQueue &Queue);
  void evict(AnswerQueue &Queue, TimePoint StoredUntil, size_t Budget);

  std::unordered_map<RequestKey, RequestRecord, KeyHash> Records;
  std::vector<RequestRecord *> Buckets;
  ExpiryQueue FinishedRecords;
  /// Records of requests that other instances run; these have a longer
  /// lifetime.
  ExpiryQueue RecordsRunningElsewhere;
  AnswerQueue SmallAnswers;
  AnswerQueue LargeAnswers;
};

} // namespace indigopoint
