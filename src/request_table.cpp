#include "request_table.h"

#include "placement.h"

namespace indigopoint {

namespace {

// Callers retransmit within a few retransmission intervals and a round trip, so
// 2 s cover almost all retransmissions.
constexpr Duration LargeAnswerLifetime = std::chrono::seconds(2);
constexpr size_t SmallAnswerBudget = 16 << 20;
constexpr size_t LargeAnswerBudget = 4 << 20;

} // namespace

size_t RequestTable::KeyHash::operator()(const RequestKey &Key) const noexcept {
  return rendezvousScore(rendezvousScore(Key.Flow.value(), Key.Id.value()),
                         Key.Service.value());
}

RequestTable::RequestTable() : Buckets(FlowBuckets) {}

RequestRecord *RequestTable::find(const RequestKey &Key) {
  const auto It = Records.find(Key);
  return It == Records.end() ? nullptr : &It->second;
}

RequestRecord &RequestTable::insert(const RequestKey &Key, TimePoint Now) {
  RequestRecord &Record = Records[Key];
  Record.Key = Key;
  Record.ArrivedAt = Now;
  RequestRecord *&Head = Buckets[bucketOf(Key.Flow)];
  Record.Next = Head;
  if (Head != nullptr)
    Head->Prev = &Record;
  Head = &Record;
  return Record;
}

RequestRecord &RequestTable::insertRunningElsewhere(const RequestKey &Key,
                                                    InstanceId RunningInstance,
                                                    TimePoint Now) {
  RequestRecord &Record = insert(Key, Now);
  Record.RunningInstance = RunningInstance;
  // The request may run for the maximum request lifetime before the lifetime of
  // its finished record starts.
  queueExpiry(RecordsRunningElsewhere, Record,
              Now + MaxRequestLifetime + RecordLifetime);
  return Record;
}

void RequestTable::finish(RequestRecord &Record, Outcome Result,
                          Duration RetryAfter, std::string Answer,
                          TimePoint Now) {
  Record.Phase = RequestPhase::Finished;
  Record.Result = Result;
  Record.RetryAfter = RetryAfter;
  Record.RunningInstance = InstanceId();
  Record.ActiveSubmission.reset();
  Record.AnswerEvicted = false;
  Record.Payload = std::move(Answer);
  queueExpiry(FinishedRecords, Record, Now + RecordLifetime);
  if (Record.Payload.empty())
    return;
  Record.Payload.shrink_to_fit();
  const size_t Size = Record.Payload.size();
  AnswerQueue &Queue = Size <= MaxSmallAnswerSize ? SmallAnswers : LargeAnswers;
  Queue.Answers.push_back({Now, Record.Key, Size});
  Queue.Bytes += Size;
}

void RequestTable::extend(RequestRecord &Record, TimePoint Now) {
  if (Record.Phase == RequestPhase::Finished)
    Record.ExpiresAt = Now + RecordLifetime;
}

void RequestTable::erase(RequestRecord &Record) {
  if (Record.Prev != nullptr)
    Record.Prev->Next = Record.Next;
  else
    Buckets[bucketOf(Record.Key.Flow)] = Record.Next;
  if (Record.Next != nullptr)
    Record.Next->Prev = Record.Prev;
  const RequestKey Key = Record.Key;
  Records.erase(Key);
}

void RequestTable::clearRunningInstance(InstanceId LostInstance) {
  for (const Expiry &Entry : RecordsRunningElsewhere) {
    RequestRecord *Record = find(Entry.Key);
    if (Record != nullptr && Record->RunningInstance == LostInstance)
      Record->RunningInstance = InstanceId();
  }
}

void RequestTable::expire(TimePoint Now) {
  evict(LargeAnswers, Now - LargeAnswerLifetime, LargeAnswerBudget);
  evict(SmallAnswers, Now - RecordLifetime, SmallAnswerBudget);
  expireRecords(FinishedRecords, Now);
  expireRecords(RecordsRunningElsewhere, Now);
}

void RequestTable::expireRecords(ExpiryQueue &Queue, TimePoint Now) {
  while (!Queue.empty() && Queue.front().DueAt <= Now) {
    const RequestKey Key = Queue.front().Key;
    Queue.pop_front();
    RequestRecord *Record = find(Key);
    if (Record == nullptr)
      continue;
    Record->InExpiryQueue = false;
    if (Record->ActiveSubmission != nullptr)
      continue;
    if (Record->ExpiresAt > Now)
      queueExpiry(FinishedRecords, *Record, Record->ExpiresAt);
    else
      erase(*Record);
  }
}

void RequestTable::clear() { *this = RequestTable(); }

bool RequestTable::isRunningOn(FlowKey Flow, ServiceId Service,
                               UpstreamId Upstream) const {
  bool IsRunning = false;
  forEachInBucket(bucketOf(Flow), [&](const RequestRecord &Record) {
    IsRunning = IsRunning ||
                (Record.Key.Flow == Flow && Record.Key.Service == Service &&
                 Record.ActiveSubmission != nullptr &&
                 Record.ActiveSubmission->Upstream == Upstream);
  });
  return IsRunning;
}

// Each queue is in order of insertion. A record whose lifetime was extended
// meanwhile is queued again when it reaches the front.
void RequestTable::queueExpiry(ExpiryQueue &Queue, RequestRecord &Record,
                               TimePoint ExpiresAt) {
  Record.ExpiresAt = ExpiresAt;
  if (Record.InExpiryQueue)
    return;
  Record.InExpiryQueue = true;
  Queue.push_back({ExpiresAt, Record.Key});
}

void RequestTable::evictOldest(AnswerQueue &Queue) {
  const StoredAnswer Oldest = Queue.Answers.front();
  Queue.Answers.pop_front();
  Queue.Bytes -= Oldest.Size;
  RequestRecord *Record = find(Oldest.Key);
  if (Record == nullptr || Record->Phase != RequestPhase::Finished)
    return;
  std::string().swap(Record->Payload);
  Record->AnswerEvicted = true;
}

void RequestTable::evict(AnswerQueue &Queue, TimePoint StoredUntil,
                         size_t Budget) {
  while (
      !Queue.Answers.empty() &&
      (Queue.Bytes > Budget || Queue.Answers.front().StoredAt <= StoredUntil))
    evictOldest(Queue);
}

} // namespace indigopoint
