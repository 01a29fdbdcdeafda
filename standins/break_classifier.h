#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "types.h"

namespace indigopoint::standin {

/// A planned change or an injected fault of instances, upstreams or the
/// configuration.
/// Times are in milliseconds since the epoch.
struct SystemEvent {
  bool Planned = true;
  int64_t From = 0;
  /// The end of the effects, for example when the failure of the instance
  /// was detected.
  int64_t Until = 0;
  /// The upstream that was drained or failed; empty for other events.
  std::string Upstream;
};

/// Reads {"planned", "from_ms", "until_ms", "upstream"}.
SystemEvent systemEventOf(const nlohmann::json &Value);

/// A span in which a flow lost its upstream or the answer to a request.
struct FlowDisruption {
  FlowKey Flow;
  int64_t From = 0;
  int64_t Until = 0;
  /// The previous upstream of the flow; empty if an answer was lost.
  std::string Upstream;
  std::string Text;
  /// The request was refused. Load causes refusals as well, so a refusal counts
  /// as a broken flow only if an event overlaps it.
  bool Refused = false;
};

struct BreakCounts {
  std::set<FlowKey> BrokenPlanned;
  std::set<FlowKey> BrokenUnplanned;
  std::set<FlowKey> Moved;
  /// Requests that got no answer during a planned event.
  uint64_t LostInPlannedEvents = 0;
  std::vector<std::string> Details;
};

/// Classifies each disruption: a move off a draining upstream, the effect of an
/// unplanned event, or the effect of a planned change. A disruption that no
/// event explains counts as planned, so that unexplained
/// disruptions count as failures.
BreakCounts classifyBreaks(const std::vector<FlowDisruption> &Disruptions,
                           const std::vector<SystemEvent> &Events);

} // namespace indigopoint::standin
