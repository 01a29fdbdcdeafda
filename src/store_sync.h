#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "random_source.h"
#include "types.h"

namespace indigopoint {

/// A point in the history of the store. The era rises each time the store is
/// restored from an older copy; revisions are then given out again, so they can
/// only be compared within an era.
struct StorePosition {
  /// 0 if the store does not report eras.
  uint64_t Era = 0;
  uint64_t Revision = 0;
  auto operator<=>(const StorePosition &) const = default;
};

/// One key of the store, as returned by a snapshot or a watch.
struct StoreItem {
  std::string Key;
  std::string Value;
  /// The revision of the last change of the key.
  uint64_t Revision = 0;
  uint64_t CreatedRevision = 0;
  bool Deleted = false;
};

/// The content that a configuration version had before the store was restored.
struct LostConfiguration {
  ConfigVersion Version;
  uint64_t ContentHash = 0;
  auto operator<=>(const LostConfiguration &) const = default;
};

/// The target of the next call for items of the store.
struct SyncSource {
  /// Another instance; the store itself if not set.
  std::optional<Endpoint> Peer;
  /// How long the target may hold a watch while nothing changes.
  Duration Wait{};
};

/// A call that StoreSync requests from its owner.
struct StoreQuery {
  enum class Kind : uint8_t {
    /// A page of all keys.
    Snapshot,
    /// All changes after a revision, as soon as there is one.
    Watch
  };

  Kind QueryKind = Kind::Snapshot;
  /// The instance to call; the store if not set.
  std::optional<Endpoint> Peer;
  /// Snapshot: the last key of the previous page; empty for the first page.
  std::string AfterKey;
  /// Watch: the revision after which changes are requested.
  uint64_t AfterRevision = 0;
  /// Watch: how long the store may hold the call while nothing changes.
  Duration Wait{};
  /// The time without progress after which the call is given up; 0 for none.
  Duration IdleTimeout{};
  /// The timeout of the whole call.
  Duration Timeout{};
};

/// The result of a StoreQuery, from the store or from a peer.
struct StoreResult {
  enum class Status : uint8_t {
    Answered,
    /// The store no longer has all changes after the revision.
    HistoryLost,
    /// The store answered that it cannot serve the call now.
    Refused,
    /// There was no answer, or it could not be decoded.
    Failed,
    /// The answer was larger than an instance accepts. Changes gather until the
    /// next call, so the same call would fail again.
    TooLarge
  };

  Status ResultStatus = Status::Failed;
  std::vector<StoreItem> Items;
  /// The position of the store when it answered.
  StorePosition Position;
  /// More pages follow.
  bool MorePages = false;
  /// Whether a peer sent all items of the store (a snapshot), not only changes.
  bool Complete = false;
  /// Time since the store confirmed the data, to this instance or to the peer
  /// that sent them.
  Duration Age{};
  /// Items that a peer keeps in force although the restored store has older
  /// ones.
  std::vector<StoreItem> Retained;
  /// What a peer knows of the version that this instance asked for.
  std::vector<LostConfiguration> Lost;
  /// Why an answer could not be used; empty if that is clear from the status.
  std::string Problem;
  /// Bytes that arrived from the store, also if the call failed.
  size_t ReceivedBytes = 0;
};

std::string_view nameOf(StoreResult::Status Value);

/// The delay before a call to the store is repeated. It starts at First,
/// doubles with each failure up to Max, and is varied at random by half of it.
struct RetryDelays {
  Duration First = std::chrono::milliseconds(100);
  Duration Max = std::chrono::milliseconds(800);
};

/// Follows all keys of the store: reads a snapshot, then watches for changes
/// after its revision. Determines the calls and their times, but makes no calls
/// itself.
class StoreSync {
public:
  /// The items received in one answer.
  struct Update {
    enum class Content : uint8_t {
      /// Changed items.
      Changes,
      /// All items of the store; all other items are deleted.
      Snapshot,
      /// One page of a snapshot. After the last page, items that no page
      /// contained are deleted.
      FirstPage,
      NextPage,
      LastPage,
      /// Items that a peer keeps in force although the restored store has older
      /// ones.
      Retained
    };

    /// Returns whether the items are a whole snapshot or one page of it.
    bool isSnapshotOrPage() const {
      return ContentKind != Content::Changes &&
             ContentKind != Content::Retained;
    }
    bool startsSnapshot() const {
      return ContentKind == Content::Snapshot ||
             ContentKind == Content::FirstPage;
    }
    bool endsSnapshot() const {
      return ContentKind == Content::Snapshot ||
             ContentKind == Content::LastPage;
    }

    Content ContentKind = Content::Changes;
    std::vector<StoreItem> Items;
    /// Whether the items belong to the first snapshot after the store was
    /// restored: they may be older than what was known before.
    bool IsFromRestoredStore = false;
  };

  /// \p DelayAfterChange is the time from a change to the next call.
  StoreSync(const Clock &TimeSource, RandomSource &Random,
            Duration DelayAfterChange, RetryDelays Retries = {})
      : TimeSource(TimeSource), Random(Random),
        DelayAfterChange(DelayAfterChange), Retries(Retries) {}

  /// Returns whether a call is due and no call is pending.
  bool isDue() const;

  /// Returns the call that is due, with \p Target as its target.
  StoreQuery start(const SyncSource &Target);

  /// Gives up the pending call, whose result must not be passed on. The next
  /// call is due now and is answered without a wait.
  void abandonCall();

  /// Returns when the next call is due.
  TimePoint nextCallAt() const { return NextCallTime; }

  /// Processes the result of the pending call.
  std::optional<Update> onResult(StoreResult Result);

  /// Whether a call was started whose result has not been processed yet.
  bool isCallPending() const { return IsCallPending; }

  /// Returns whether a whole snapshot has been received.
  bool isSnapshotLoaded() const { return SnapshotLoaded; }

  /// Returns the number of consecutive failed calls to the store. It is 0 again
  /// when a peer that this instance follows has reached the store since.
  uint32_t failures() const { return Failures; }

  /// Returns when the store last confirmed the current data, to this instance
  /// or to the peer that sent the data.
  TimePoint confirmedAt() const { return ConfirmedAt; }

  StorePosition position() const { return Position; }

private:
  /// The lowest era of which an answer like \p Result is used.
  uint64_t minEra(const StoreResult &Result) const;
  void startNewEra(uint64_t Era);
  void restartSnapshot();
  void finishSnapshot();
  std::optional<Update> onPeerAnswer(StoreResult &Result);
  std::optional<Update> onPage(StoreResult &Result);
  std::optional<Update> onChanges(StoreResult &Result);
  void fail();
  Duration retryDelay();

  const Clock &TimeSource;
  RandomSource &Random;
  Duration DelayAfterChange;
  RetryDelays Retries;
  bool IsCallPending = false;
  /// Whether the next call has to confirm the current data at once.
  bool NeedsConfirmation = false;
  bool IsPeerCall = false;
  bool SnapshotLoaded = false;
  bool NeedsSnapshot = true;
  uint32_t Failures = 0;
  TimePoint LastFailure{};
  /// Peer calls since the last call to the store.
  uint32_t PeerCallsInRow = 0;
  /// Whether the pending call goes to a peer that this instance follows.
  bool IsFollowingPeer = false;
  StorePosition Position;
  /// Whether items of the store have been passed on.
  bool HasItems = false;
  /// Whether the snapshot being read is the first one after a restoration.
  bool IsReadingRestoredStore = false;
  TimePoint NextCallTime{};
  TimePoint ConfirmedAt{};
  /// The last key of the pages read so far; empty before the first page.
  std::string LastKey;
};

} // namespace indigopoint
