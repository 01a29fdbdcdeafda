#include "submission_log.h"

#include <vector>

#include <xxhash.h>

namespace indigopoint {

namespace {

// MaxRequestLifetime (30 s) plus MaxPacketLifetime (1 s): no retransmission of
// a Submit arrives later than this after its request ended.
constexpr Duration RecordLifetime = std::chrono::seconds(31);

} // namespace

size_t SubmissionKeyHash::operator()(const SubmissionKey &Key) const noexcept {
  const uint64_t Parts[3] = {Key.Home.Instance.value(), Key.Home.Boot.value(),
                             Key.Id.value()};
  return XXH64(Parts, sizeof(Parts), 0);
}

SubmissionLog::Record *SubmissionLog::find(const SubmissionKey &Key) {
  const auto It = Records.find(Key);
  return It == Records.end() ? nullptr : &It->second;
}

SubmissionLog::Record &SubmissionLog::addSubmission(const SubmissionKey &Key) {
  return Records[Key];
}

bool SubmissionLog::finish(const SubmissionKey &Key, const SubmitResult &Result,
                           TimePoint Now) {
  Record &Entry = Records[Key];
  if (Entry.Finished)
    return false;
  Entry.Finished = true;
  Entry.Result = Result;
  FinishedSubmissions.push_back({Now, Key});
  if (!Result.Payload.empty()) {
    PayloadBytes += Result.Payload.size();
    PayloadsInOrder.push_back(Key);
    evictPayloads();
  }
  return true;
}

SubmitResult SubmissionLog::storedResult(const Record &Entry) {
  SubmitResult Result = Entry.Result;
  // The request ran, but its payload was evicted: neither Answered without the
  // whole payload nor NotRun would be correct.
  if (Entry.PayloadEvicted)
    Result.Status = SubmitStatus::Unknown;
  return Result;
}

void SubmissionLog::evictPayloads() {
  while (PayloadBytes > PayloadBudget && !PayloadsInOrder.empty()) {
    Record *Oldest = find(PayloadsInOrder.front());
    PayloadsInOrder.pop_front();
    if (Oldest == nullptr || Oldest->Result.Payload.empty())
      continue;
    PayloadBytes -= Oldest->Result.Payload.size();
    std::string().swap(Oldest->Result.Payload);
    Oldest->PayloadEvicted = true;
  }
}

void SubmissionLog::expire(TimePoint Now) {
  while (!FinishedSubmissions.empty() &&
         Now - FinishedSubmissions.front().FinishedAt >= RecordLifetime) {
    const auto It = Records.find(FinishedSubmissions.front().Key);
    if (It != Records.end()) {
      PayloadBytes -= It->second.Result.Payload.size();
      // Payloads are queued in the order in which their records finished.
      if (!PayloadsInOrder.empty() && PayloadsInOrder.front() == It->first)
        PayloadsInOrder.pop_front();
      Records.erase(It);
    }
    FinishedSubmissions.pop_front();
  }
}

void SubmissionLog::abandonAll(TimePoint Now) {
  std::vector<SubmissionKey> Unfinished;
  for (const auto &[Key, Entry] : Records)
    if (!Entry.Finished)
      Unfinished.push_back(Key);
  for (const SubmissionKey &Key : Unfinished)
    finish(Key, SubmitResult{Key.Id, SubmitStatus::Unknown, {}, false, {}, ""},
           Now);
}

} // namespace indigopoint
