#pragma once

#include "engine_io.h"
#include "owned_upstream.h"

namespace indigopoint {

struct Blackboard;

/// Ejects failing upstreams and takes them back, within the share of a
/// service's upstreams that may be ejected at once.
class EjectionPolicy {
public:
  EjectionPolicy(Blackboard &Board, OwnedUpstreams &Owned)
      : Board(Board), Owned(Owned) {}

  void onHealthStatus(OwnedUpstream &Upstream, HealthStatus Status);
  void onTick(ActionSink &Sink);

private:
  /// How many upstreams of the service count against the share, without
  /// \p Upstream: ejected ones, or only those with a lower id.
  struct EjectionCounts {
    size_t Total = 0;
    size_t OtherEjected = 0;
    size_t EjectedWithLowerId = 0;
  };

  EjectionCounts countEjected(const OwnedUpstream &Upstream) const;
  void updateDraining(OwnedUpstream &Upstream);
  void updateEjection(OwnedUpstream &Upstream, ActionSink &Sink);

  Blackboard &Board;
  OwnedUpstreams &Owned;
};

} // namespace indigopoint
