#include "sync_planner.h"

namespace indigopoint {

namespace {

// Maximum time for the answer to a call without wait.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(900);

// From the end of a call that timed out until the store has answered another
// one: the delay of the retry, a peer that does not answer either, and the
// call.
constexpr Duration RecoveryTime = std::chrono::milliseconds(600);

// Maximum age of the data of a peer before the store itself is asked. The rest
// of ChangeBound is left for that call and one retry.
Duration maxPeerDataAge(Duration ChangeBound) { return ChangeBound * 3 / 5; }

} // namespace

bool SyncPlanner::isDataTooOld(const StoreSync &Sync) const {
  return TimeSource.now() - Sync.confirmedAt() >
         maxPeerDataAge(Opts.ChangeBound);
}

// A shared reader has the data confirmed several times within the bound.
Duration SyncPlanner::maxUsualAge() const {
  return hasSharedReader() ? maxPeerDataAge(Opts.ChangeBound) : Opts.MaxAge;
}

bool SyncPlanner::hasSharedReader() const {
  return Peers.zoneSize() >= Opts.Sharing.MinZoneSizeForSharedReader;
}

bool SyncPlanner::followsReader(const StoreSync &Sync) const {
  return Sync.isSnapshotLoaded() && hasSharedReader() &&
         Peers.zoneReader() != Opts.Self;
}

SyncSource SyncPlanner::next(const StoreSync &Sync) {
  const SyncSource Target = choose(Sync);
  LastCallWentToPeer = Target.Peer.has_value();
  if (!LastCallWentToPeer)
    LastStoreCall = TimeSource.now();
  return Target;
}

SyncSource SyncPlanner::choose(const StoreSync &Sync) {
  // A connection can go silent right after a watch began. It is noticed when
  // the answer is overdue.
  const SyncSource Store{std::nullopt,
                         Opts.MaxAge - AnswerTimeout - RecoveryTime};
  const bool FollowsReader = followsReader(Sync);
  if (FollowsReader && !isDataTooOld(Sync))
    return {Peers.zoneReader(), Opts.ChangeBound / 5};
  if (Sync.failures() > 0 && Opts.Sharing.AskPeersInOutage)
    return chooseWhileStoreFails(FollowsReader);
  if (!Sync.isSnapshotLoaded() || !hasSharedReader())
    return Store;
  return {std::nullopt, FollowsReader ? Duration() : Opts.ChangeBound / 6};
}

// A peer may still reach the store, so calls alternate between the store and
// peers. In an outage the reader of the zone soon detects that the store is
// back. The instances that follow it call the store less often, so that the
// number of calls does not grow with the number of instances.
SyncSource SyncPlanner::chooseWhileStoreFails(bool FollowsReader) {
  const bool AskPeer = !LastCallWentToPeer ||
                       (FollowsReader && TimeSource.now() - LastStoreCall <
                                             Opts.ChangeBound / 2);
  if (!AskPeer)
    return {std::nullopt, Duration()};
  // The reader may be cut off as well, so other peers are asked in turn with
  // it.
  LastPeerWasReader = !LastPeerWasReader;
  if (LastPeerWasReader && FollowsReader)
    return {Peers.zoneReader(), Duration()};
  return {Peers.nextContact(), Duration()};
}

} // namespace indigopoint
