#include "sync_planner.h"

namespace indigopoint {

namespace {

// In a smaller zone every instance reads the store: a reader for others has to
// read more often, so nothing would be saved.
constexpr size_t SmallestSharedZone = 6;

// An answer to a call that does not wait.
constexpr Duration AnswerTime = std::chrono::milliseconds(900);

} // namespace

// What a peer confirmed may be this old before the store itself is asked. The
// rest of the bound is left for that call and a repeat.
Duration SyncPlanner::followLimit() const { return Given.ChangeBound * 3 / 5; }

SyncSource SyncPlanner::next(const StoreSync &Sync) {
  const SyncSource Source = choose(Sync);
  AskedPeer = Source.Peer.has_value();
  return Source;
}

SyncSource SyncPlanner::choose(const StoreSync &Sync) {
  const SyncSource Store{std::nullopt, Given.MaxAge - AnswerTime};
  if (Sync.failures() > 0) {
    // A peer may still reach the store, so calls to both take turns.
    const auto Peer = AskedPeer ? std::nullopt : Peers.nextContact();
    return Peer ? SyncSource{Peer, Duration()} : Store;
  }
  if (!Sync.isSynced() || Peers.zoneSize() < SmallestSharedZone)
    return Store;
  const Endpoint Reader = Peers.zoneReader();
  if (Reader == Given.Self)
    return {std::nullopt, Given.ChangeBound / 6};
  if (TimeSource.now() - Sync.confirmedAt() > followLimit())
    return {std::nullopt, Duration()};
  return {Reader, Given.ChangeBound / 5};
}

} // namespace indigopoint
