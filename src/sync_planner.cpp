#include "sync_planner.h"

namespace indigopoint {

namespace {

// In a smaller zone every instance reads the store: a shared reader must call
// the store more often, so sharing would save no calls.
constexpr size_t MinZoneSizeForSharedReader = 6;

// Maximum time for the answer to a call without wait.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(900);

} // namespace

// Maximum age of the data of a peer before the store itself is asked. The rest
// of ChangeBound is left for that call and one retry.
Duration SyncPlanner::maxPeerDataAge() const {
  return Opts.ChangeBound * 3 / 5;
}

SyncSource SyncPlanner::next(const StoreSync &Sync) {
  const SyncSource Target = choose(Sync);
  LastCallWentToPeer = Target.Peer.has_value();
  return Target;
}

SyncSource SyncPlanner::choose(const StoreSync &Sync) {
  const SyncSource Store{std::nullopt, Opts.MaxAge - AnswerTimeout};
  if (Sync.failures() > 0) {
    // A peer may still reach the store, so calls alternate between the store
    // and peers.
    const auto Peer = LastCallWentToPeer ? std::nullopt : Peers.nextContact();
    return Peer ? SyncSource{Peer, Duration()} : Store;
  }
  if (!Sync.isSnapshotLoaded() || Peers.zoneSize() < MinZoneSizeForSharedReader)
    return Store;
  const Endpoint Reader = Peers.zoneReader();
  if (Reader == Opts.Self)
    return {std::nullopt, Opts.ChangeBound / 6};
  if (TimeSource.now() - Sync.confirmedAt() > maxPeerDataAge())
    return {std::nullopt, Duration()};
  return {Reader, Opts.ChangeBound / 5};
}

} // namespace indigopoint
