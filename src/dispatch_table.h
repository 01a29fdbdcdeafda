#pragma once

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "submission_log.h"
#include "types.h"

namespace indigopoint {

/// A request that was sent to an upstream.
struct OpenDispatch {
  SubmissionKey Key;
  UpstreamId Upstream;
  /// The state of the upstream that it counts in.
  uint64_t Generation = 0;
  Endpoint Address;
  ConnectionId Connection;
  FlowKey Flow;
  TimePoint SentAt{};
  /// When it is acted on next: its deadline, then the end of its slot.
  TimePoint DueAt{};
  /// The deadline passed, and the home was told Unknown.
  bool TimedOut = false;
};

/// The dispatches in progress, by id and by the time they are due.
class DispatchTable {
public:
  DispatchId add(const OpenDispatch &Entry);
  OpenDispatch *find(DispatchId Id);
  void setDue(DispatchId Id, TimePoint DueAt);
  void erase(DispatchId Id);

  /// A dispatch that is due, if there is one.
  std::optional<DispatchId> firstDue(TimePoint Now) const;

  /// The dispatches of one state of an upstream.
  std::vector<DispatchId> findByUpstream(UpstreamId Upstream,
                                         uint64_t Generation) const;

  size_t size() const { return Entries.size(); }
  void clear();

private:
  // Not reset by clear(): an answer to a forgotten dispatch must not match a
  // new one.
  uint64_t NextId = 1;
  std::unordered_map<DispatchId, OpenDispatch> Entries;
  std::set<std::pair<TimePoint, DispatchId>> ByDueTime;
};

} // namespace indigopoint
