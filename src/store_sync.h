#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "random_source.h"
#include "types.h"

namespace indigopoint {

/// One key of the store as a snapshot or a watch tells it.
struct StoreItem {
  std::string Key;
  std::string Value;
  /// Of its last change.
  uint64_t Revision = 0;
  uint64_t CreatedRevision = 0;
  bool Deleted = false;
};

/// A call that StoreSync asks for.
struct StoreQuery {
  enum class Kind : uint8_t {
    /// A page of all keys.
    Snapshot,
    /// All changes after a revision, as soon as there are any.
    Watch
  };

  Kind What = Kind::Snapshot;
  /// Snapshot: the last key of the page before; empty for the first page.
  std::string AfterKey;
  /// Watch: the revision that is known.
  uint64_t AfterRevision = 0;
  /// Watch: how long the store may hold the call while nothing changes.
  Duration Wait{};
  /// For the whole call.
  Duration Timeout{};
};

struct StoreResult {
  enum class Status : uint8_t {
    Answered,
    /// The store no longer holds the changes after the revision.
    HistoryLost,
    /// It answered that it does not serve the call now.
    Refused,
    /// No answer, or one that cannot be read.
    Failed
  };

  Status What = Status::Failed;
  std::vector<StoreItem> Items;
  /// The store's revision at the answer.
  uint64_t Revision = 0;
  /// More pages follow.
  bool HasMore = false;
};

std::string_view nameOf(StoreResult::Status Value);

/// Follows all keys of the store: a snapshot, then watches from its revision
/// on. Says which call is due when; makes none itself.
class StoreSync {
public:
  struct Settings {
    /// How long a belief may go unconfirmed. A connection can go silent
    /// without a sign, so a watch is renewed within this time.
    Duration MaxAge = std::chrono::seconds(4);
  };

  /// What an answer brought.
  struct Update {
    /// The items are all that the store holds; others are gone.
    bool Complete = false;
    std::vector<StoreItem> Items;
  };

  StoreSync(Settings Given, const Clock &Time, RandomSource &Random);

  /// The call to make now, if one is due and none is under way.
  std::optional<StoreQuery> next();

  /// When next has to be asked again.
  TimePoint wakeAt() const { return NextAt; }

  /// Takes the result of the call under way.
  std::optional<Update> onResult(StoreResult Result);

  bool isSynced() const { return Synced; }

  /// Calls in a row that failed; 0 while the store is reached.
  uint32_t failures() const { return Failures; }

  /// When the store last answered.
  TimePoint confirmedAt() const { return ConfirmedAt; }

  uint64_t revision() const { return Revision; }

private:
  std::optional<Update> onPage(StoreResult &Result);
  std::optional<Update> onEvents(StoreResult &Result);
  void fail();

  Settings Given;
  const Clock &Time;
  RandomSource &Random;
  bool Calling = false;
  bool Synced = false;
  bool TakingSnapshot = true;
  uint32_t Failures = 0;
  uint64_t Revision = 0;
  TimePoint NextAt{};
  TimePoint ConfirmedAt{};
  std::vector<StoreItem> Pages;
};

} // namespace indigopoint
