#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "messages.h"
#include "submission_log.h"
#include "types.h"

namespace indigopoint {

/// An admitted submission, either queued or about to be dispatched.
struct WorkItem {
  SubmissionKey Key;
  Submit Body;
  TimePoint Deadline{};
};

/// The queued requests of one upstream. Requests are served in rounds, with at
/// most one request of each flow in a round and the earliest deadline first
/// within a round.
class WorkQueue {
public:
  size_t size() const { return Requests.size(); }
  bool empty() const { return Requests.empty(); }

  /// The number of queued requests that would be served before a new request of
  /// \p Flow with \p Deadline.
  size_t requestsAhead(FlowKey Flow, TimePoint Deadline) const;

  /// Whether the queued requests that would be served after a new request of \p
  /// Flow with \p Deadline would still start before their deadlines. \p StartAt
  /// returns the start time of a request from the number of requests ahead of
  /// it.
  bool queuedRequestsMeetDeadlines(
      FlowKey Flow, TimePoint Deadline,
      const std::function<TimePoint(size_t)> &StartAt) const;

  void push(WorkItem Item);

  /// The next request. The queue must not be empty.
  WorkItem pop();

  /// Removes one request and returns it, if it is queued here.
  std::optional<WorkItem> remove(const SubmissionKey &Key);

  /// Removes and returns the requests whose deadline has passed.
  std::vector<WorkItem> popExpired(TimePoint Now);

  std::vector<WorkItem> popAll();

private:
  struct SortKey {
    uint64_t Round = 0;
    TimePoint Deadline{};
    uint64_t Sequence = 0;
    auto operator<=>(const SortKey &) const = default;
  };
  using RequestMap = std::map<SortKey, WorkItem>;

  uint64_t nextRound(FlowKey Flow) const;
  void eraseOldRounds();

  /// The round of the most recently served request.
  uint64_t Round = 0;
  uint64_t Sequence = 0;
  RequestMap Requests;
  /// The latest round in which each flow has or had a request.
  std::unordered_map<FlowKey, uint64_t> LastRounds;
};

} // namespace indigopoint
