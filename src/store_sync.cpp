#include "store_sync.h"

#include <algorithm>
#include <array>
#include <utility>

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 4> StatusNames = {
    "answered", "history-lost", "refused", "failed"};

// Timeout of a call that the store should answer immediately.
constexpr Duration CallTimeout = std::chrono::milliseconds(900);

// Timeout of a call to a peer, in addition to the time that the peer may hold
// the call.
constexpr Duration PeerTimeout = std::chrono::milliseconds(200);

// Maximum time for the transfer of a snapshot or a page of it. When all
// instances start together, their answers share the network link of the store.
// A call that is given up while its answer arrives transfers everything again,
// which delays all other instances, so only a call without progress is given up
// earlier.
constexpr Duration SnapshotTransferTimeout = std::chrono::seconds(8);

// Timers of an event loop count from the start of its iteration and so may fire
// slightly early. A call that is due within this time is made immediately.
constexpr Duration TimerSlack = std::chrono::milliseconds(20);

// While the store does not answer, calls alternate between the store and peers.
constexpr Duration DelayAfterPeerCall = std::chrono::milliseconds(100);

constexpr Duration FirstRetry = std::chrono::milliseconds(100);
constexpr Duration MaxRetry = std::chrono::milliseconds(800);

} // namespace

std::string_view nameOf(StoreResult::Status Value) {
  return StatusNames.at(static_cast<size_t>(Value));
}

bool StoreSync::isDue() const {
  return !IsCallPending && TimeSource.now() + TimerSlack >= NextCallTime;
}

StoreQuery StoreSync::start(const SyncSource &Target) {
  IsCallPending = true;
  IsPeerCall = Target.Peer.has_value();
  IsFollowingPeer = IsPeerCall && Target.Wait > Duration();
  StoreQuery Query;
  Query.Peer = Target.Peer;
  Query.Timeout = IsPeerCall ? PeerTimeout : CallTimeout;
  if (NeedsSnapshot) {
    Query.AfterKey = LastKey;
    Query.IdleTimeout = Query.Timeout;
    Query.Timeout += SnapshotTransferTimeout;
    return Query;
  }
  Query.QueryKind = StoreQuery::Kind::Watch;
  Query.AfterRevision = Revision;
  // After a failure, a watch without wait detects sooner that the store is
  // reachable again.
  if (Failures == 0 || IsPeerCall)
    Query.Wait = Target.Wait;
  Query.Timeout += Query.Wait;
  return Query;
}

std::optional<StoreSync::Update> StoreSync::onResult(StoreResult Result) {
  IsCallPending = false;
  NextCallTime = TimeSource.now();
  if (IsPeerCall)
    return onPeerAnswer(Result);
  PeerCallsInRow = 0;
  switch (Result.ResultStatus) {
  case StoreResult::Status::Answered:
    Failures = 0;
    ConfirmedAt = TimeSource.now();
    return NeedsSnapshot ? onPage(Result) : onChanges(Result);
  case StoreResult::Status::HistoryLost:
    Failures = 0;
    NeedsSnapshot = true;
    LastKey.clear();
    return std::nullopt;
  case StoreResult::Status::Refused:
  case StoreResult::Status::Failed:
    break;
  }
  fail();
  return std::nullopt;
}

// An answer with an older revision than this instance has is ignored.
std::optional<StoreSync::Update> StoreSync::onPeerAnswer(StoreResult &Result) {
  if (Failures > 0)
    NextCallTime += PeerCallsInRow++ == 0 ? DelayAfterPeerCall : retryDelay();
  if (Result.ResultStatus != StoreResult::Status::Answered ||
      Result.Revision < Revision || (NeedsSnapshot && !Result.Complete))
    return std::nullopt;
  Revision = Result.Revision;
  ConfirmedAt = std::max(ConfirmedAt, TimeSource.now() - Result.Age);
  if (IsFollowingPeer && ConfirmedAt > LastFailure)
    Failures = 0;
  if (Result.Complete) {
    NeedsSnapshot = false;
    SnapshotLoaded = true;
    LastKey.clear();
  } else if (Result.Items.empty()) {
    return std::nullopt;
  }
  return Update{Result.Complete ? Update::Content::Snapshot
                                : Update::Content::Changes,
                std::move(Result.Items)};
}

// Random jitter spreads the retries of instances that failed at the same time.
Duration StoreSync::retryDelay() {
  const Duration Backoff =
      std::min(FirstRetry * (1 << std::min(Failures, 8U)), MaxRetry);
  return Backoff / 2 + Duration(Random.below(Backoff.count()));
}

void StoreSync::fail() {
  LastFailure = TimeSource.now();
  NextCallTime += retryDelay();
  ++Failures;
}

std::optional<StoreSync::Update> StoreSync::onPage(StoreResult &Result) {
  // Later pages may contain newer values than the first page. A watch from the
  // revision of the first page returns these values again and misses none.
  const bool IsFirst = LastKey.empty();
  const bool IsLast = !Result.MorePages || Result.Items.empty();
  if (IsFirst)
    Revision = Result.Revision;
  LastKey = IsLast ? "" : Result.Items.back().Key;
  if (IsLast) {
    NeedsSnapshot = false;
    SnapshotLoaded = true;
  }
  // Each page is passed on immediately: reading all pages can take seconds when
  // many instances start at the same time, and the first pages are sufficient
  // to serve flows.
  Update::Content PageKind = Update::Content::NextPage;
  if (IsFirst)
    PageKind = IsLast ? Update::Content::Snapshot : Update::Content::FirstPage;
  else if (IsLast)
    PageKind = Update::Content::LastPage;
  return Update{PageKind, std::move(Result.Items)};
}

std::optional<StoreSync::Update> StoreSync::onChanges(StoreResult &Result) {
  Revision = std::max(Revision, Result.Revision);
  if (Result.Items.empty())
    return std::nullopt;
  NextCallTime += DelayAfterChange;
  return Update{Update::Content::Changes, std::move(Result.Items)};
}

} // namespace indigopoint
