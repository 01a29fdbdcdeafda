#pragma once

#include <optional>

#include "clock.h"
#include "peer_table.h"
#include "store_sync.h"
#include "types.h"

namespace indigopoint {

/// Decides whether the next call of StoreSync goes to the store or to another
/// instance, so that the number of calls to the store does not grow with the
/// fleet while every instance stays up to date.
class SyncPlanner {
public:
  struct Settings {
    Endpoint Self;
    /// How old a belief may get while the store can be reached.
    Duration MaxAge = std::chrono::seconds(4);
    /// A change has to be known this soon after the store acknowledged it,
    /// also while any other instance fails.
    Duration ChangeBound = std::chrono::seconds(3);
  };

  SyncPlanner(Settings Given, const Clock &TimeSource, PeerTable &Peers)
      : Given(Given), TimeSource(TimeSource), Peers(Peers) {}

  /// The source of the call that is due.
  SyncSource next(const StoreSync &Sync);

private:
  SyncSource choose(const StoreSync &Sync);
  Duration followLimit() const;

  Settings Given;
  const Clock &TimeSource;
  PeerTable &Peers;
  bool AskedPeer = false;
};

} // namespace indigopoint
