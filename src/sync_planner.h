#pragma once

#include <optional>

#include "clock.h"
#include "peer_table.h"
#include "policy_options.h"
#include "store_sync.h"
#include "types.h"

namespace indigopoint {

/// Decides whether the next call of StoreSync goes to the store or to another
/// instance. The number of calls to the store does not grow with the number of
/// instances, and every instance stays up to date.
class SyncPlanner {
public:
  struct Options {
    Endpoint Self;
    /// Maximum age of the data while the store is reachable.
    Duration MaxAge = std::chrono::seconds(4);
    /// Maximum time from the acknowledgement of a change by the store until
    /// this instance has it, even if any one other instance fails.
    Duration ChangeBound = std::chrono::seconds(3);
    StoreSharingOptions Sharing = {};
  };

  SyncPlanner(Options Opts, const Clock &TimeSource, PeerTable &Peers)
      : Opts(Opts), TimeSource(TimeSource), Peers(Peers) {}

  /// Returns the target of the call that is due.
  SyncSource next(const StoreSync &Sync);

  /// The age that the data does not exceed while the store is reachable.
  Duration maxUsualAge() const;

private:
  SyncSource choose(const StoreSync &Sync);
  SyncSource chooseWhileStoreFails(bool FollowsReader);
  /// Whether one instance of the zone reads the store for the others.
  bool hasSharedReader() const;
  /// Whether another instance of the zone reads the store for this one.
  bool followsReader(const StoreSync &Sync) const;
  bool isDataTooOld(const StoreSync &Sync) const;

  Options Opts;
  const Clock &TimeSource;
  PeerTable &Peers;
  bool LastCallWentToPeer = false;
  TimePoint LastStoreCall{};
  /// Whether the peer that was asked last while the store failed is the reader
  /// of the zone.
  bool LastPeerWasReader = false;
};

} // namespace indigopoint
