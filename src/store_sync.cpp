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

// Changes come in groups. Each call is paid for, so the next watch starts a
// little after an answer and brings the rest of the group at once.
constexpr Duration PauseAfterChange = std::chrono::milliseconds(400);

// Timers of an event loop count from the start of its turn and so may run a
// little early. A call that is due this soon is made at once.
constexpr Duration TimerSlack = std::chrono::milliseconds(20);

constexpr Duration FirstRetry = std::chrono::milliseconds(100);
constexpr Duration LongestRetry = std::chrono::milliseconds(800);

} // namespace

std::string_view nameOf(StoreResult::Status Value) {
  return StatusNames.at(static_cast<size_t>(Value));
}

StoreSync::StoreSync(Settings Given, const Clock &Time, RandomSource &Random)
    : Given(Given), Time(Time), Random(Random) {}

std::optional<StoreQuery> StoreSync::next() {
  if (Calling || Time.now() + TimerSlack < NextAt)
    return std::nullopt;
  Calling = true;
  StoreQuery Query;
  Query.Timeout = CallTimeout;
  if (TakingSnapshot) {
    Query.AfterKey = Pages.empty() ? "" : Pages.back().Key;
    return Query;
  }
  Query.What = StoreQuery::Kind::Watch;
  Query.AfterRevision = Revision;
  // After a failure a short watch shows sooner whether the store is back.
  if (Failures == 0) {
    Query.Wait = Given.MaxAge - CallTimeout;
    Query.Timeout = Given.MaxAge;
  }
  return Query;
}

std::optional<StoreSync::Update> StoreSync::onResult(StoreResult Result) {
  Calling = false;
  switch (Result.What) {
  case StoreResult::Status::Answered:
    Failures = 0;
    ConfirmedAt = Time.now();
    return TakingSnapshot ? onPage(Result) : onEvents(Result);
  case StoreResult::Status::HistoryLost:
    TakingSnapshot = true;
    Pages.clear();
    NextAt = Time.now();
    return std::nullopt;
  case StoreResult::Status::Refused:
  case StoreResult::Status::Failed:
    break;
  }
  fail();
  return std::nullopt;
}

void StoreSync::fail() {
  const Duration Backoff =
      std::min(FirstRetry * (1 << std::min(Failures, 8U)), LongestRetry);
  ++Failures;
  // Instances that failed together do not come back together.
  NextAt = Time.now() + Backoff / 2 + Duration(Random.below(Backoff.count()));
}

std::optional<StoreSync::Update> StoreSync::onPage(StoreResult &Result) {
  NextAt = Time.now();
  // Later pages may hold newer values than the first; watching from the
  // revision of the first repeats them and misses none.
  if (Pages.empty())
    Revision = Result.Revision;
  std::move(Result.Items.begin(), Result.Items.end(),
            std::back_inserter(Pages));
  if (Result.HasMore && !Result.Items.empty())
    return std::nullopt;
  TakingSnapshot = false;
  Synced = true;
  return Update{true, std::exchange(Pages, {})};
}

std::optional<StoreSync::Update> StoreSync::onEvents(StoreResult &Result) {
  Revision = std::max(Revision, Result.Revision);
  NextAt = Time.now();
  if (Result.Items.empty())
    return std::nullopt;
  NextAt += PauseAfterChange;
  return Update{false, std::move(Result.Items)};
}

} // namespace indigopoint
