#pragma once

#include <functional>
#include <string>
#include <vector>

#include "upstream_registry.h"

namespace indigopoint {

/// A new flow that needs an upstream.
struct NewFlow {
  FlowAddress Address;
  /// An upstream that did not take it; taken only if there is no other.
  UpstreamId UpstreamToAvoid;
};

/// Chooses among upstreams that may take the flow; null if there are none.
using BalancingPolicy =
    std::function<Upstream *(const std::vector<Upstream *> &Usable,
                             const NewFlow &Given, TimePoint Now)>;

/// Open flows of this instance that an upstream would have for each of its
/// slots if it took another one. A starting upstream counts half of its slots.
double flowsPerSlot(const Upstream &Given, TimePoint Now);

/// Upstreams that answer before suspects, those of \p Zone before others, then
/// the fewest flows for each slot. It answers a cut between zones: only flows
/// whose clients are on the other side of it suffer. If the zone lost a good
/// part of its slots, that part of the flows goes to other zones first.
BalancingPolicy makeZoneAwareLeastFlowsPolicy(std::string Zone);

} // namespace indigopoint
