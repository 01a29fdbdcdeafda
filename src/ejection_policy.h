#pragma once

#include "engine_io.h"
#include "owned_upstream.h"

namespace indigopoint {

struct Blackboard;

/// Ejects failing upstreams and returns them to probation. Limits the share of
/// a service's upstreams that are ejected at once.
class EjectionPolicy {
public:
  EjectionPolicy(Blackboard &Board, OwnedUpstreams &Upstreams)
      : Board(Board), Upstreams(Upstreams) {}

  void onHealthStatus(OwnedUpstream &Upstream, HealthStatus Status);
  void onTick(ActionSink &Sink);

private:
  /// Counts over the upstreams of a service in this region: all of them, the
  /// ejected ones other than the given upstream, and the ejected ones with a
  /// lower id than the given upstream.
  struct EjectionCounts {
    size_t Total = 0;
    size_t OtherEjected = 0;
    size_t EjectedWithLowerId = 0;
  };

  EjectionCounts countEjected(const OwnedUpstream &Upstream) const;
  void updateDraining(OwnedUpstream &Upstream);
  void updateEjection(OwnedUpstream &Upstream, ActionSink &Sink);

  Blackboard &Board;
  OwnedUpstreams &Upstreams;
};

} // namespace indigopoint
