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
  /// Generation of the OwnedUpstream that counts this dispatch as in progress.
  uint64_t Generation = 0;
  Endpoint Address;
  ConnectionId Connection;
  FlowKey Flow;
  TimePoint SentAt{};
  /// The next timer: first the deadline, then the release of the slot.
  TimePoint DueAt{};
  /// The deadline passed, and the home instance, which submitted the request,
  /// was sent the result Unknown.
  bool TimedOut = false;
};

/// The dispatches in progress, indexed by id and by due time.
class DispatchTable {
public:
  DispatchId add(const OpenDispatch &Entry);
  OpenDispatch *find(DispatchId Id);
  void setDue(DispatchId Id, TimePoint DueAt);
  void erase(DispatchId Id);

  /// The dispatch with the earliest due time, if that time has come.
  std::optional<DispatchId> firstDue(TimePoint Now) const;

  /// The dispatches of one generation of an upstream.
  std::vector<DispatchId> findByUpstream(UpstreamId Upstream,
                                         uint64_t Generation) const;

  size_t size() const { return Entries.size(); }
  void clear();

private:
  // Not reset by clear(): a late answer to a removed dispatch must not match a
  // new one.
  uint64_t NextId = 1;
  std::unordered_map<DispatchId, OpenDispatch> Entries;
  std::set<std::pair<TimePoint, DispatchId>> DueTimeIndex;
};

} // namespace indigopoint
