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

/// Whom to ask for what the store holds.
struct SyncSource {
  /// Another instance; the store itself if it is not set.
  std::optional<Endpoint> Peer;
  /// How long it may hold a watch while nothing changes.
  Duration Wait{};
};

/// A call that StoreSync asks for.
struct StoreQuery {
  enum class Kind : uint8_t {
    /// A page of all keys.
    Snapshot,
    /// All changes after a revision, as soon as there are any.
    Watch
  };

  Kind QueryKind = Kind::Snapshot;
  /// Where the call goes; the store if it is not set.
  std::optional<Endpoint> Peer;
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

  Status ResultStatus = Status::Failed;
  std::vector<StoreItem> Items;
  /// The store's revision at the answer.
  uint64_t Revision = 0;
  /// More pages follow.
  bool MorePages = false;
  /// A peer sent all that the store holds.
  bool Complete = false;
  /// How long ago a peer last heard from the store.
  Duration Age{};
};

std::string_view nameOf(StoreResult::Status Value);

/// Follows all keys of the store: a snapshot, then watches from its revision
/// on. Says which call is due when; makes none itself.
class StoreSync {
public:
  /// What an answer brought.
  struct Update {
    enum class Content : uint8_t {
      /// Items that changed.
      Changes,
      /// All that the store holds; others are gone.
      Snapshot,
      /// A part of that. Items that no page named are gone after the last one.
      FirstPage,
      NextPage,
      LastPage
    };

    bool isSnapshot() const { return ContentKind != Content::Changes; }
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
  };

  StoreSync(const Clock &TimeSource, RandomSource &Random)
      : TimeSource(TimeSource), Random(Random) {}

  /// Whether a call is due and none is under way.
  bool isDue() const;

  /// Starts the call that is due, to \p Source.
  StoreQuery start(const SyncSource &Source);

  /// When the next call is due.
  TimePoint nextCallAt() const { return NextAt; }

  /// Takes the result of the call under way.
  std::optional<Update> onResult(StoreResult Result);

  bool isSynced() const { return Synced; }

  /// Calls in a row to the store that failed; 0 while it is reached.
  uint32_t failures() const { return Failures; }

  /// When what is known was last confirmed by the store, here or at a peer.
  TimePoint confirmedAt() const { return ConfirmedAt; }

  uint64_t revision() const { return Revision; }

private:
  std::optional<Update> onPeerAnswer(StoreResult &Result);
  std::optional<Update> onPage(StoreResult &Result);
  std::optional<Update> onEvents(StoreResult &Result);
  void fail();
  Duration retryPause();

  const Clock &TimeSource;
  RandomSource &Random;
  bool Calling = false;
  bool AskingPeer = false;
  bool Synced = false;
  bool TakingSnapshot = true;
  uint32_t Failures = 0;
  uint64_t Revision = 0;
  TimePoint NextAt{};
  TimePoint ConfirmedAt{};
  /// The last key of the pages that were read; empty before the first one.
  std::string LastKey;
};

} // namespace indigopoint
