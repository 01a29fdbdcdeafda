#include "store_sync.h"

#include <algorithm>
#include <array>
#include <utility>

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 5> StatusNames = {
    "answered", "history-lost", "refused", "failed", "too-large"};

// Timeout of a call that the store should answer immediately.
constexpr Duration CallTimeout = std::chrono::milliseconds(900);

// Timeout of a call to a peer, in addition to the time that the peer may hold
// the call.
constexpr Duration PeerTimeout = std::chrono::milliseconds(200);

// Maximum time for the transfer of a page of a snapshot or of changes. When all
// instances ask together, their answers share the network link of the store.
// A call that is given up while its answer arrives transfers everything again,
// which delays all other instances, so only a call without progress is given up
// earlier.
constexpr Duration TransferTimeout = std::chrono::seconds(8);

// Timers of an event loop count from the start of its iteration and so may fire
// slightly early. A call that is due within this time is made immediately.
constexpr Duration TimerSlack = std::chrono::milliseconds(20);

// While the store does not answer, calls alternate between the store and peers.
constexpr Duration DelayAfterPeerCall = std::chrono::milliseconds(100);

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
    Query.Timeout += TransferTimeout;
    return Query;
  }
  Query.QueryKind = StoreQuery::Kind::Watch;
  Query.AfterRevision = Position.Revision;
  // After a failure, a watch without wait detects sooner that the store is
  // reachable again.
  if ((Failures == 0 || IsPeerCall) && !NeedsConfirmation)
    Query.Wait = Target.Wait;
  NeedsConfirmation = false;
  // A large change is transferred to all instances at the same time.
  Query.IdleTimeout = Query.Timeout + Query.Wait;
  Query.Timeout = Query.IdleTimeout + TransferTimeout;
  return Query;
}

void StoreSync::abandonCall() {
  IsCallPending = false;
  NeedsConfirmation = true;
  NextCallTime = TimeSource.now();
}

std::optional<StoreSync::Update> StoreSync::onResult(StoreResult Result) {
  IsCallPending = false;
  NextCallTime = TimeSource.now();
  if (IsPeerCall)
    return onPeerAnswer(Result);
  PeerCallsInRow = 0;
  const bool IsAnswered = Result.ResultStatus == StoreResult::Status::Answered;
  // The pages of a snapshot are limited in size, unlike the changes since a
  // revision, of which the last one of each key matters.
  const bool IsTooLarge =
      Result.ResultStatus == StoreResult::Status::TooLarge && !NeedsSnapshot;
  if (IsTooLarge) {
    restartSnapshot();
    return std::nullopt;
  }
  const bool IsHistoryLost =
      Result.ResultStatus == StoreResult::Status::HistoryLost;
  if ((!IsAnswered && !IsHistoryLost) || Result.Position.Era < minEra(Result)) {
    fail();
    return std::nullopt;
  }
  Failures = 0;
  if (Result.Position.Era > Position.Era) {
    // The first page of a snapshot is valid in any era. Any other answer
    // belongs to a snapshot or a watch of the previous era.
    const bool IsUsable = IsAnswered && NeedsSnapshot && LastKey.empty();
    startNewEra(Result.Position.Era);
    if (!IsUsable)
      return std::nullopt;
  }
  if (IsHistoryLost) {
    restartSnapshot();
    return std::nullopt;
  }
  ConfirmedAt = std::max(ConfirmedAt, TimeSource.now() - Result.Age);
  return NeedsSnapshot ? onPage(Result) : onChanges(Result);
}

// An answer without an era comes from a store that does not report eras, and
// belongs to the current one. An answer of an earlier era was delayed.
uint64_t StoreSync::minEra(const StoreResult &Result) const {
  return Result.Position.Era == 0 ? 0 : Position.Era;
}

void StoreSync::startNewEra(uint64_t Era) {
  Position = {Era, 0};
  IsReadingRestoredStore = HasItems;
  restartSnapshot();
}

void StoreSync::restartSnapshot() {
  NeedsSnapshot = true;
  LastKey.clear();
}

void StoreSync::finishSnapshot() {
  NeedsSnapshot = false;
  SnapshotLoaded = true;
  IsReadingRestoredStore = false;
  LastKey.clear();
}

// An answer with an older position than this instance has is ignored.
std::optional<StoreSync::Update> StoreSync::onPeerAnswer(StoreResult &Result) {
  if (Failures > 0)
    NextCallTime += PeerCallsInRow++ == 0 ? DelayAfterPeerCall : retryDelay();
  const bool IsNewEra = Result.Position.Era > Position.Era;
  if (Result.ResultStatus != StoreResult::Status::Answered ||
      Result.Position < Position ||
      ((NeedsSnapshot || IsNewEra) && !Result.Complete))
    return std::nullopt;
  if (IsNewEra)
    startNewEra(Result.Position.Era);
  Position = Result.Position;
  ConfirmedAt = std::max(ConfirmedAt, TimeSource.now() - Result.Age);
  if (IsFollowingPeer && ConfirmedAt > LastFailure)
    Failures = 0;
  Update Out{Result.Complete ? Update::Content::Snapshot
                             : Update::Content::Changes,
             std::move(Result.Items), IsReadingRestoredStore};
  if (Result.Complete)
    finishSnapshot();
  else if (Out.Items.empty())
    return std::nullopt;
  HasItems = true;
  return Out;
}

// Random jitter spreads the retries of instances that failed at the same time.
Duration StoreSync::retryDelay() {
  const Duration Backoff =
      std::min(Retries.First * (1 << std::min(Failures, 8U)), Retries.Max);
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
    Position.Revision = Result.Position.Revision;
  // Each page is passed on immediately: reading all pages can take seconds when
  // many instances start at the same time, and the first pages are sufficient
  // to serve flows.
  Update::Content PageKind = Update::Content::NextPage;
  if (IsFirst)
    PageKind = IsLast ? Update::Content::Snapshot : Update::Content::FirstPage;
  else if (IsLast)
    PageKind = Update::Content::LastPage;
  Update Out{PageKind, std::move(Result.Items), IsReadingRestoredStore};
  HasItems = true;
  if (IsLast)
    finishSnapshot();
  else
    LastKey = Out.Items.back().Key;
  return Out;
}

std::optional<StoreSync::Update> StoreSync::onChanges(StoreResult &Result) {
  Position.Revision = std::max(Position.Revision, Result.Position.Revision);
  if (Result.Items.empty())
    return std::nullopt;
  NextCallTime += DelayAfterChange;
  return Update{Update::Content::Changes, std::move(Result.Items)};
}

} // namespace indigopoint
