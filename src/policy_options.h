#pragma once

#include <cstdint>

#include "types.h"

namespace indigopoint {

/// How the upstream of a new flow is chosen.
struct PlacementOptions {
  /// Prefer upstreams in the zone of this instance.
  bool PreferOwnZone = true;
  /// Prefer upstreams that are not suspect.
  bool AvoidSuspects = true;
  /// Prefer the fewest open flows per slot; otherwise only the hash of the flow
  /// decides.
  bool CountOpenFlows = true;
  /// Count an upstream that answers more slowly than others with fewer slots.
  bool CountResponseTime = true;
  /// The share of its slots with which an upstream counts during its warm-up.
  double WarmupShare = 0.5;
  /// The share of a zone's slots that must be missing before its flows go to
  /// other zones; 1 keeps them in the zone.
  double MinLossForOtherZones = 0.3;
  /// Send new flows to other zones while this zone answers more slowly than
  /// usual and than they do.
  bool SpillWhenSlow = true;
  /// Send copies of an unanswered opening to another upstream.
  bool MoveUnansweredOpenings = true;
  /// Prefer recently answering upstreams for such copies.
  bool PreferAnsweringUpstreams = true;
  /// After this many unanswered openings the next copy goes to another zone; 0
  /// never sends it there.
  uint32_t MaxOpeningsInZone = 2;
  /// Send a new flow to another upstream than the client's previous flow if
  /// that one was probably refused.
  bool AvoidRefusedUpstream = true;
  /// Prefer upstreams that are not unresponsive.
  bool AvoidUnresponsive = true;
  bool operator==(const PlacementOptions &) const = default;
};

/// When an upstream counts as suspect or dead.
struct ReachabilityOptions {
  /// How long an upstream is avoided after its first unanswered opening. Each
  /// further one doubles the time up to the maximum.
  Duration InitialBackoff = std::chrono::seconds(1);
  Duration MaxBackoff = std::chrono::seconds(8);
  /// How long a failed connection check counts. The upstream may recover, so
  /// the next check has to confirm the failure.
  Duration FailedCheckLifetime = std::chrono::milliseconds(1500);
  /// Suspect an upstream while several of its openings are unanswered for
  /// longer than usual.
  bool SuspectPendingOpenings = true;
  /// Report an instance as not ready while the upstreams of its zone are silent
  /// and those of other zones answer.
  bool LeaveSilentZone = true;
  bool operator==(const ReachabilityOptions &) const = default;
};

/// Connection checks of upstreams, and what follows from a failed one.
struct CheckOptions {
  bool Enabled = true;
  /// Check as soon as the client of an open flow retransmits.
  bool AtRetransmission = true;
  /// Ignore a failed check unless a connection to another upstream succeeds.
  bool UseReference = true;
  /// Reset the flows of a dead upstream that wait for an answer.
  bool ResetWaitingFlows = true;
  /// Reset flows of a dead upstream also if their requests are not idempotent.
  /// Their clients get an answer sooner, but lose that of an upstream that was
  /// only silent.
  bool ResetNonIdempotentFlows = false;
  /// Reset idle flows of a dead upstream, before their clients send the next
  /// request.
  bool ResetIdleFlows = true;
  /// Tell the other instances of the zone of failed checks.
  bool ShareFailures = true;
  /// Reset the flows of a zone whose upstreams are all silent, if their clients
  /// lose nothing by it.
  bool ResetFlowsOfSilentZone = true;
  bool operator==(const CheckOptions &) const = default;
};

/// How instances share the calls to the store.
struct StoreSharingOptions {
  /// In a zone with this many instances or more, one of them reads the store
  /// for the others. In a smaller zone a shared reader saves no calls, because
  /// it must call the store more often.
  uint32_t MinZoneSizeForSharedReader = 6;
  /// Ask other instances while the store does not answer.
  bool AskPeersInOutage = true;
  /// The time from a change to the next call, as a share of the time within
  /// which changes must be in force. Changes come in groups, and the call
  /// returns the rest of the group in one answer.
  double DelayAfterChangeShare = 0.2;
  bool operator==(const StoreSharingOptions &) const = default;
};

/// The rules by which a forwarder decides, each of which can be changed or
/// switched off in the settings to measure its effect.
struct PolicyOptions {
  PlacementOptions Placement;
  ReachabilityOptions Reachability;
  CheckOptions Checks;
  StoreSharingOptions StoreSharing;
  bool operator==(const PolicyOptions &) const = default;
};

} // namespace indigopoint
