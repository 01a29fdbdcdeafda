#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sliding_window_limit.h"
#include "types.h"
#include "upstream_registry.h"

namespace indigopoint {

/// Limits the new flows of upstreams that start cold, over all instances and
/// without messages between them. For each cold upstream a few instances hold
/// an equal share of its rate, at least one flow a second each; the others send
/// it nothing.
class WarmupLimiter {
public:
  /// Returns the instances of a zone, or of all zones if that one has none,
  /// including this one. Empty while they are not known yet.
  using InstancesHook =
      std::function<std::vector<Endpoint>(const std::string &Zone)>;

  WarmupLimiter(Endpoint Self, InstancesHook Instances)
      : Self(Self), Instances(std::move(Instances)) {}

  /// Whether this instance may send a new flow to \p Target, which takes at
  /// most \p FlowsPerSecond while it is cold; 0 means no limit.
  bool mayOpen(const Upstream &Target, double FlowsPerSecond, TimePoint Now);

  /// Counts an opening packet that is sent to \p Target.
  void recordOpening(const Upstream &Target, TimePoint Now);

  /// Forgets upstreams that are no longer cold.
  void expire(TimePoint Now);

private:
  /// What this instance may send to one upstream.
  struct Share {
    SlidingWindowLimit Limit{0, Duration()};
    TimePoint WarmupEnd{};
    TimePoint ComputedAt{};
    /// A process that starts again under its id is cold anew.
    int64_t StartedAtMs = 0;
  };

  void computeShare(Share &Out, const Upstream &Target,
                    double FlowsPerSecond) const;

  Endpoint Self;
  InstancesHook Instances;
  std::map<UpstreamId, Share> Shares;
};

} // namespace indigopoint
