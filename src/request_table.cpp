#include "request_table.h"

#include "placement.h"

namespace indigopoint {

namespace {

// Retransmissions come within a round trip and a few repeats, so 2 s cover
// almost all of them.
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
  Record.Arrived = Now;
  RequestRecord *&Head = Buckets[bucketOf(Key.Flow)];
  Record.Next = Head;
  if (Head != nullptr)
    Head->Prev = &Record;
  Head = &Record;
  return Record;
}

RequestRecord &RequestTable::insertHeld(const RequestKey &Key,
                                        InstanceId Holder, TimePoint Now) {
  RequestRecord &Record = insert(Key, Now);
  Record.Holder = Holder;
  // It may run for its whole lifetime before the record's own time starts.
  queueExpiry(Held, Record, Now + MaxRequestLifetime + RecordLifetime);
  return Record;
}

void RequestTable::finish(RequestRecord &Record, Outcome Result,
                          Duration RetryAfter, std::string Answer,
                          TimePoint Now) {
  Record.Phase = RequestPhase::Finished;
  Record.Result = Result;
  Record.RetryAfter = RetryAfter;
  Record.Holder = InstanceId();
  Record.ActiveSubmission.reset();
  Record.AnswerEvicted = false;
  Record.Payload = std::move(Answer);
  queueExpiry(Finished, Record, Now + RecordLifetime);
  if (Record.Payload.empty())
    return;
  Record.Payload.shrink_to_fit();
  const size_t Size = Record.Payload.size();
  AnswerQueue &Queue = Size <= SmallAnswer ? Small : Large;
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

void RequestTable::forgetHolder(InstanceId Lost) {
  for (const Expiry &Entry : Held) {
    RequestRecord *Record = find(Entry.Key);
    if (Record != nullptr && Record->Holder == Lost)
      Record->Holder = InstanceId();
  }
}

void RequestTable::expire(TimePoint Now) {
  evict(Large, Now - LargeAnswerLifetime, LargeAnswerBudget);
  evict(Small, Now - RecordLifetime, SmallAnswerBudget);
  expireRecords(Finished, Now);
  expireRecords(Held, Now);
}

void RequestTable::expireRecords(ExpiryQueue &Queue, TimePoint Now) {
  while (!Queue.empty() && Queue.front().At <= Now) {
    const RequestKey Key = Queue.front().Key;
    Queue.pop_front();
    RequestRecord *Record = find(Key);
    if (Record == nullptr)
      continue;
    Record->InExpiryQueue = false;
    if (Record->ActiveSubmission != nullptr)
      continue;
    if (Record->ExpiresAt > Now)
      queueExpiry(Finished, *Record, Record->ExpiresAt);
    else
      erase(*Record);
  }
}

void RequestTable::clear() { *this = RequestTable(); }

bool RequestTable::isRunningOn(FlowKey Flow, ServiceId Service,
                               UpstreamId Upstream) const {
  bool Found = false;
  forEachInBucket(bucketOf(Flow), [&](const RequestRecord &Record) {
    Found =
        Found || (Record.Key.Flow == Flow && Record.Key.Service == Service &&
                  Record.ActiveSubmission != nullptr &&
                  Record.ActiveSubmission->Upstream == Upstream);
  });
  return Found;
}

// Each queue is in order of insertion. Records whose time was put off are
// queued again when they come to its front.
void RequestTable::queueExpiry(ExpiryQueue &Queue, RequestRecord &Record,
                               TimePoint At) {
  Record.ExpiresAt = At;
  if (Record.InExpiryQueue)
    return;
  Record.InExpiryQueue = true;
  Queue.push_back({At, Record.Key});
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

void RequestTable::evict(AnswerQueue &Queue, TimePoint Before, size_t Budget) {
  while (!Queue.Answers.empty() &&
         (Queue.Bytes > Budget || Queue.Answers.front().StoredAt <= Before))
    evictOldest(Queue);
}

} // namespace indigopoint
