#include "work_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace indigopoint {

uint64_t WorkQueue::nextRound(FlowKey Flow) const {
  const auto It = LastRounds.find(Flow);
  return It == LastRounds.end() ? Round : std::max(Round, It->second + 1);
}

size_t WorkQueue::requestsAhead(FlowKey Flow, TimePoint Deadline) const {
  const SortKey Candidate{nextRound(Flow), Deadline, Sequence};
  return static_cast<size_t>(
      std::distance(Requests.begin(), Requests.lower_bound(Candidate)));
}

bool WorkQueue::queuedRequestsMeetDeadlines(
    FlowKey Flow, TimePoint Deadline,
    const std::function<TimePoint(size_t)> &StartAt) const {
  const SortKey Candidate{nextRound(Flow), Deadline, Sequence};
  size_t RequestsAhead = requestsAhead(Flow, Deadline);
  for (auto It = Requests.lower_bound(Candidate); It != Requests.end(); ++It)
    if (StartAt(++RequestsAhead) > It->first.Deadline)
      return false;
  return true;
}

void WorkQueue::push(WorkItem Item) {
  const FlowKey Flow = Item.Body.Flow;
  std::vector<uint64_t> Rounds;
  std::vector<WorkItem> FlowRequests;
  for (auto It = Requests.begin(); It != Requests.end();) {
    if (It->second.Body.Flow != Flow) {
      ++It;
      continue;
    }
    Rounds.push_back(It->first.Round);
    FlowRequests.push_back(std::move(It->second));
    It = Requests.erase(It);
  }
  Rounds.push_back(nextRound(Flow));
  LastRounds[Flow] = Rounds.back();
  FlowRequests.push_back(std::move(Item));
  // The flow's request with the earliest deadline gets the flow's earliest
  // round.
  std::stable_sort(FlowRequests.begin(), FlowRequests.end(),
                   [](const WorkItem &A, const WorkItem &B) {
                     return A.Deadline < B.Deadline;
                   });
  for (size_t Index = 0; Index < FlowRequests.size(); ++Index) {
    const SortKey Key{Rounds[Index], FlowRequests[Index].Deadline, Sequence++};
    Requests.emplace(Key, std::move(FlowRequests[Index]));
  }
}

WorkItem WorkQueue::pop() {
  const auto First = Requests.begin();
  const bool IsNewRound = First->first.Round != Round;
  Round = First->first.Round;
  WorkItem Item = std::move(First->second);
  Requests.erase(First);
  if (IsNewRound)
    eraseOldRounds();
  return Item;
}

void WorkQueue::eraseOldRounds() {
  for (auto It = LastRounds.begin(); It != LastRounds.end();)
    It = It->second < Round ? LastRounds.erase(It) : std::next(It);
}

std::optional<WorkItem> WorkQueue::remove(const SubmissionKey &Key) {
  for (auto It = Requests.begin(); It != Requests.end(); ++It) {
    if (It->second.Key != Key)
      continue;
    WorkItem Item = std::move(It->second);
    Requests.erase(It);
    return Item;
  }
  return std::nullopt;
}

std::vector<WorkItem> WorkQueue::popExpired(TimePoint Now) {
  std::vector<WorkItem> Expired;
  for (auto It = Requests.begin(); It != Requests.end();) {
    if (It->second.Deadline > Now) {
      ++It;
      continue;
    }
    Expired.push_back(std::move(It->second));
    It = Requests.erase(It);
  }
  return Expired;
}

std::vector<WorkItem> WorkQueue::popAll() {
  std::vector<WorkItem> Items;
  for (auto &[Key, Item] : Requests)
    Items.push_back(std::move(Item));
  Requests.clear();
  LastRounds.clear();
  return Items;
}

} // namespace indigopoint
