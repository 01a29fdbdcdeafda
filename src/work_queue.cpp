#include "work_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace indigopoint {

uint64_t WorkQueue::nextRound(FlowKey Flow) const {
  const auto It = LastRounds.find(Flow);
  return It == LastRounds.end() ? Round : std::max(Round, It->second + 1);
}

size_t WorkQueue::placesBefore(FlowKey Flow, TimePoint Deadline) const {
  const Place Candidate{nextRound(Flow), Deadline, Sequence};
  return static_cast<size_t>(
      std::distance(Waiting.begin(), Waiting.lower_bound(Candidate)));
}

bool WorkQueue::leavesTime(
    FlowKey Flow, TimePoint Deadline,
    const std::function<TimePoint(size_t)> &StartAt) const {
  const Place Candidate{nextRound(Flow), Deadline, Sequence};
  size_t Ahead = placesBefore(Flow, Deadline);
  for (auto It = Waiting.lower_bound(Candidate); It != Waiting.end(); ++It)
    if (StartAt(++Ahead) > It->first.Deadline)
      return false;
  return true;
}

void WorkQueue::push(WorkItem Item) {
  const FlowKey Flow = Item.Body.Flow;
  std::vector<uint64_t> Rounds;
  std::vector<WorkItem> OfFlow;
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    if (It->second.Body.Flow != Flow) {
      ++It;
      continue;
    }
    Rounds.push_back(It->first.Round);
    OfFlow.push_back(std::move(It->second));
    It = Waiting.erase(It);
  }
  Rounds.push_back(nextRound(Flow));
  LastRounds[Flow] = Rounds.back();
  OfFlow.push_back(std::move(Item));
  // The flow's earliest deadline takes its earliest round.
  std::stable_sort(OfFlow.begin(), OfFlow.end(),
                   [](const WorkItem &A, const WorkItem &B) {
                     return A.Deadline < B.Deadline;
                   });
  for (size_t Index = 0; Index < OfFlow.size(); ++Index) {
    const Place At{Rounds[Index], OfFlow[Index].Deadline, Sequence++};
    Waiting.emplace(At, std::move(OfFlow[Index]));
  }
}

WorkItem WorkQueue::pop() {
  const auto First = Waiting.begin();
  const bool NewRound = First->first.Round != Round;
  Round = First->first.Round;
  WorkItem Item = std::move(First->second);
  Waiting.erase(First);
  if (NewRound)
    forgetOldRounds();
  return Item;
}

void WorkQueue::forgetOldRounds() {
  for (auto It = LastRounds.begin(); It != LastRounds.end();)
    It = It->second < Round ? LastRounds.erase(It) : std::next(It);
}

std::optional<WorkItem> WorkQueue::remove(const SubmissionKey &Key) {
  for (auto It = Waiting.begin(); It != Waiting.end(); ++It) {
    if (It->second.Key != Key)
      continue;
    WorkItem Item = std::move(It->second);
    Waiting.erase(It);
    return Item;
  }
  return std::nullopt;
}

std::vector<WorkItem> WorkQueue::takeExpired(TimePoint Now) {
  std::vector<WorkItem> Expired;
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    if (It->second.Deadline > Now) {
      ++It;
      continue;
    }
    Expired.push_back(std::move(It->second));
    It = Waiting.erase(It);
  }
  return Expired;
}

std::vector<WorkItem> WorkQueue::takeAll() {
  std::vector<WorkItem> All;
  for (auto &[At, Item] : Waiting)
    All.push_back(std::move(Item));
  Waiting.clear();
  LastRounds.clear();
  return All;
}

} // namespace indigopoint
