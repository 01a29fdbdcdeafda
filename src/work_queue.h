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

/// A submission that waits for a free slot.
struct WorkItem {
  SubmissionKey Key;
  Submit Body;
  TimePoint Deadline{};
};

/// The requests that wait for one upstream. They are served in rounds, with at
/// most one request of each flow in a round, and earliest deadline first
/// within a round.
class WorkQueue {
public:
  size_t size() const { return Requests.size(); }
  bool empty() const { return Requests.empty(); }

  /// How many waiting requests would be served before one of \p Flow that is
  /// due at \p Deadline.
  size_t requestsAhead(FlowKey Flow, TimePoint Deadline) const;

  /// Whether all that would be served after a new request of \p Flow that is
  /// due at \p Deadline still start in time. \p StartAt tells when the request
  /// with so many others before it starts.
  bool keepsDeadlines(FlowKey Flow, TimePoint Deadline,
                      const std::function<TimePoint(size_t)> &StartAt) const;

  void push(WorkItem Item);

  /// The next request. The queue must not be empty.
  WorkItem pop();

  /// Takes out one request, if it waits here.
  std::optional<WorkItem> remove(const SubmissionKey &Key);

  /// Takes out what can no longer start before its deadline.
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

  /// The round of the request served last.
  uint64_t Round = 0;
  uint64_t Sequence = 0;
  RequestMap Requests;
  /// The last round in which a flow has or had a request.
  std::unordered_map<FlowKey, uint64_t> LastRounds;
};

} // namespace indigopoint
