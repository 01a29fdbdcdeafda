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

  void onHealthStatus(OwnedUpstream &Given, HealthStatus Hint);
  void onTick(ActionSink &Sink);

private:
  /// How many upstreams of the service count against the share, without
  /// \p Given: ejected ones, or only those with a lower id.
  struct Ejected {
    size_t Total = 0;
    size_t Others = 0;
    size_t Before = 0;
  };

  Ejected countEjected(const OwnedUpstream &Given) const;
  void updateLeaving(OwnedUpstream &Given);
  void updateEjection(OwnedUpstream &Given, ActionSink &Sink);

  Blackboard &Board;
  OwnedUpstreams &Owned;
};

} // namespace indigopoint
