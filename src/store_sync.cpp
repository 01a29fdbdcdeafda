#include "store_sync.h"

#include <algorithm>
#include <array>
#include <utility>

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 4> StatusNames = {
    "answered", "history-lost", "refused", "failed"};

// A call that should be answered at once.
constexpr Duration CallTimeout = std::chrono::milliseconds(900);

// The same for a peer, on top of the time that it may hold a call.
constexpr Duration PeerTimeout = std::chrono::milliseconds(200);

// Changes come in groups. Each call is paid for, so the next watch starts a
// little after an answer and brings the rest of the group at once.
constexpr Duration PauseAfterChange = std::chrono::milliseconds(400);

// Timers of an event loop count from the start of its turn and so may run a
// little early. A call that is due this soon is made at once.
constexpr Duration TimerSlack = std::chrono::milliseconds(20);

// While the store does not answer, calls to it and to peers take turns.
constexpr Duration PauseAfterPeer = std::chrono::milliseconds(100);

constexpr Duration FirstRetry = std::chrono::milliseconds(100);
constexpr Duration LongestRetry = std::chrono::milliseconds(800);

} // namespace

std::string_view nameOf(StoreResult::Status Value) {
  return StatusNames.at(static_cast<size_t>(Value));
}

bool StoreSync::isDue() const {
  return !Calling && TimeSource.now() + TimerSlack >= NextAt;
}

StoreQuery StoreSync::start(const SyncSource &Source) {
  Calling = true;
  AskingPeer = Source.Peer.has_value();
  StoreQuery Query;
  Query.Peer = Source.Peer;
  Query.Timeout = AskingPeer ? PeerTimeout : CallTimeout;
  if (TakingSnapshot) {
    if (AskingPeer)
      LastKey.clear();
    Query.AfterKey = LastKey;
    return Query;
  }
  Query.QueryKind = StoreQuery::Kind::Watch;
  Query.AfterRevision = Revision;
  // After a failure a short watch shows sooner whether the store is back.
  if (Failures == 0)
    Query.Wait = Source.Wait;
  Query.Timeout += Query.Wait;
  return Query;
}

std::optional<StoreSync::Update> StoreSync::onResult(StoreResult Result) {
  Calling = false;
  NextAt = TimeSource.now();
  if (AskingPeer)
    return onPeerAnswer(Result);
  switch (Result.ResultStatus) {
  case StoreResult::Status::Answered:
    Failures = 0;
    ConfirmedAt = TimeSource.now();
    return TakingSnapshot ? onPage(Result) : onEvents(Result);
  case StoreResult::Status::HistoryLost:
    Failures = 0;
    TakingSnapshot = true;
    LastKey.clear();
    return std::nullopt;
  case StoreResult::Status::Refused:
  case StoreResult::Status::Failed:
    break;
  }
  fail();
  return std::nullopt;
}

// A peer may know less than this instance; nothing is taken back then.
std::optional<StoreSync::Update> StoreSync::onPeerAnswer(StoreResult &Result) {
  if (Failures > 0)
    NextAt += PauseAfterPeer;
  if (Result.ResultStatus != StoreResult::Status::Answered ||
      Result.Revision < Revision || (TakingSnapshot && !Result.Complete))
    return std::nullopt;
  Revision = Result.Revision;
  ConfirmedAt = std::max(ConfirmedAt, TimeSource.now() - Result.Age);
  if (Result.Complete) {
    TakingSnapshot = false;
    Synced = true;
  } else if (Result.Items.empty()) {
    return std::nullopt;
  }
  return Update{Result.Complete ? Update::Content::Snapshot
                                : Update::Content::Changes,
                std::move(Result.Items)};
}

// Instances that failed together do not come back together.
Duration StoreSync::retryPause() {
  const Duration Backoff =
      std::min(FirstRetry * (1 << std::min(Failures, 8U)), LongestRetry);
  return Backoff / 2 + Duration(Random.below(Backoff.count()));
}

void StoreSync::fail() {
  NextAt += retryPause();
  ++Failures;
}

std::optional<StoreSync::Update> StoreSync::onPage(StoreResult &Result) {
  // Later pages may hold newer values than the first; watching from the
  // revision of the first repeats them and misses none.
  const bool IsFirst = LastKey.empty();
  const bool IsLast = !Result.MorePages || Result.Items.empty();
  if (IsFirst)
    Revision = Result.Revision;
  LastKey = IsLast ? "" : Result.Items.back().Key;
  if (IsLast) {
    TakingSnapshot = false;
    Synced = true;
  }
  // Each page is told at once: reading all of them can take seconds when many
  // instances start together, and flows can be served with the first ones.
  Update::Content What = Update::Content::NextPage;
  if (IsFirst)
    What = IsLast ? Update::Content::Snapshot : Update::Content::FirstPage;
  else if (IsLast)
    What = Update::Content::LastPage;
  return Update{What, std::move(Result.Items)};
}

std::optional<StoreSync::Update> StoreSync::onEvents(StoreResult &Result) {
  Revision = std::max(Revision, Result.Revision);
  if (Result.Items.empty())
    return std::nullopt;
  NextAt += PauseAfterChange;
  return Update{Update::Content::Changes, std::move(Result.Items)};
}

} // namespace indigopoint
