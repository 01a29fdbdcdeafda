#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "policy_options.h"
#include "upstream_registry.h"

namespace indigopoint {

/// A new flow that needs an upstream.
struct NewFlow {
  FlowAddress Address;
  /// An upstream that refused the flow or did not answer it; chosen only if
  /// there is no other.
  UpstreamId UpstreamToAvoid;
  /// Number of earlier openings of this flow that found no answer. After the
  /// first one, upstreams that answered recently are preferred; after the
  /// second one, upstreams in another zone than that of the upstream to avoid.
  uint32_t UnansweredOpenings = 0;
};

/// Chooses one of the candidates for a new flow; null if there are none.
using BalancingPolicy =
    std::function<Upstream *(const std::vector<Upstream *> &Candidates,
                             const NewFlow &Flow, TimePoint Now)>;

/// This instance's open flows per slot of an upstream, after adding one more
/// flow. During its warm-up an upstream counts with \p WarmupShare of its
/// slots.
double flowsPerSlot(const Upstream &Target, TimePoint Now,
                    double WarmupShare = PlacementOptions().WarmupShare);

/// The median of the upstreams' average response times; nothing if none is
/// known.
std::optional<Duration>
medianResponseTime(const std::vector<Upstream *> &Candidates, TimePoint Now);

/// How many times as long as \p Usual the upstream takes for an answer; 1 if
/// that is not known.
double slowdownOf(const Upstream &Target, std::optional<Duration> Usual,
                  TimePoint Now);

class Spillover;

/// Returns a policy that prefers upstreams that are not suspect, then
/// responsive ones, then those in \p Zone to those in other zones, then the
/// fewest flows per slot. Because of the zone preference, a network partition
/// between zones affects only the flows of clients in another zone. If the zone
/// lost a large share of its slots, the same share of the flows prefers other
/// zones; so does the share of \p Spill, which may be null and must outlive the
/// policy. An upstream that answers more slowly than the others of its service
/// counts with accordingly fewer slots. \p Opts can switch off each of these
/// rules.
BalancingPolicy makeZoneAwareLeastFlowsPolicy(std::string Zone,
                                              PlacementOptions Opts = {},
                                              Spillover *Spill = nullptr);

} // namespace indigopoint
