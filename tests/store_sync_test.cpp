#include "store_sync.h"

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

using Content = StoreSync::Update::Content;

// A StoreSync in virtual time. After readSnapshot() it has a snapshot at
// revision 10.
class StoreSyncTest : public testing::Test {
protected:
  static StoreResult makeAnswer(uint64_t Revision,
                                std::vector<StoreItem> Items = {}) {
    StoreResult Result;
    Result.ResultStatus = StoreResult::Status::Answered;
    Result.Position.Revision = Revision;
    Result.Items = std::move(Items);
    return Result;
  }

  static StoreResult makeFailure(StoreResult::Status Status) {
    StoreResult Result;
    Result.ResultStatus = Status;
    return Result;
  }

  static StoreItem item(const std::string &Key, uint64_t Revision) {
    return {Key, "value", Revision, Revision, false};
  }

  // Starts a call if one is due.
  std::optional<StoreQuery> startCallIfDue(const SyncSource &Target = {{},
                                                                       3s}) {
    if (!Sync.isDue())
      return std::nullopt;
    return Sync.start(Target);
  }

  void readSnapshot() {
    ASSERT_TRUE(startCallIfDue());
    ASSERT_TRUE(Sync.onResult(makeAnswer(10, {item("a", 5)})));
  }

  // Advances the time to the next call and starts the call.
  StoreQuery nextCall() {
    TimeSource.advance(
        std::max(Duration(), Sync.nextCallAt() - TimeSource.now()));
    const auto Query = startCallIfDue();
    EXPECT_TRUE(Query);
    return Query.value_or(StoreQuery());
  }

  // The call to the store fails, and then a peer sends all its items.
  std::optional<StoreSync::Update> failAndAskPeer() {
    Sync.onResult(makeFailure(StoreResult::Status::Failed));
    TimeSource.advance(Sync.nextCallAt() - TimeSource.now());
    EXPECT_TRUE(startCallIfDue({Endpoint{1, 1}, 0s}));
    StoreResult Result = makeAnswer(12, {item("a", 12)});
    Result.Complete = true;
    return Sync.onResult(Result);
  }

  ManualClock TimeSource;
  RandomSource Random{1};
  StoreSync Sync{TimeSource, Random, std::chrono::milliseconds(400)};
};

TEST_F(StoreSyncTest, StartsWithSnapshotAndWatchesFromItsRevision) {
  const auto First = startCallIfDue();
  ASSERT_TRUE(First);
  EXPECT_EQ(First->QueryKind, StoreQuery::Kind::Snapshot);
  const auto Update = Sync.onResult(makeAnswer(10, {item("a", 5)}));
  ASSERT_TRUE(Update);
  EXPECT_EQ(Update->ContentKind, Content::Snapshot);
  const StoreQuery Watch = nextCall();
  EXPECT_EQ(Watch.QueryKind, StoreQuery::Kind::Watch);
  EXPECT_EQ(Watch.AfterRevision, 10U);
}

// Guards against a missed change: pages are read one after another, and keys
// may change between two pages.
TEST_F(StoreSyncTest, WatchesFromRevisionOfFirstPage) {
  ASSERT_TRUE(startCallIfDue());
  StoreResult FirstPage = makeAnswer(10, {item("a", 5)});
  FirstPage.MorePages = true;
  const auto Page = Sync.onResult(FirstPage);
  ASSERT_TRUE(Page);
  EXPECT_EQ(Page->ContentKind, Content::FirstPage);
  EXPECT_EQ(Page->Items.size(), 1U);
  EXPECT_FALSE(Sync.isSnapshotLoaded());
  const StoreQuery Second = nextCall();
  EXPECT_EQ(Second.AfterKey, "a");
  const auto Last = Sync.onResult(makeAnswer(14, {item("b", 12)}));
  ASSERT_TRUE(Last);
  EXPECT_EQ(Last->ContentKind, Content::LastPage);
  EXPECT_EQ(Last->Items.size(), 1U);
  EXPECT_EQ(nextCall().AfterRevision, 10U);
}

// Guards against a congestion collapse when all instances start together: a
// page that arrives slowly must not be requested again from the beginning. A
// call without any progress is still given up early.
TEST_F(StoreSyncTest, SnapshotPagesMayArriveSlowlyButNotStall) {
  for (const SyncSource &Target :
       {SyncSource{{}, 3s}, SyncSource{Endpoint{1, 1}, 0s}}) {
    const auto Query = startCallIfDue(Target);
    ASSERT_TRUE(Query);
    EXPECT_EQ(Query->QueryKind, StoreQuery::Kind::Snapshot);
    EXPECT_GT(Query->IdleTimeout, 0s);
    EXPECT_LE(Query->IdleTimeout, 1s);
    EXPECT_GE(Query->Timeout, 5s);
    Sync.onResult(makeFailure(StoreResult::Status::Failed));
    TimeSource.advance(1s);
  }
}

// Guards against reading the pages of a large snapshot again after each failed
// call: between two attempts, peers are asked as well.
TEST_F(StoreSyncTest, FailedCallsDoNotDiscardPages) {
  ASSERT_TRUE(startCallIfDue());
  StoreResult FirstPage = makeAnswer(10, {item("a", 5)});
  FirstPage.MorePages = true;
  ASSERT_TRUE(Sync.onResult(FirstPage));
  nextCall();
  Sync.onResult(makeFailure(StoreResult::Status::Failed));
  TimeSource.advance(1s);
  ASSERT_TRUE(startCallIfDue({Endpoint{1, 1}, 0s}));
  Sync.onResult(makeFailure(StoreResult::Status::Failed));
  EXPECT_EQ(nextCall().AfterKey, "a");
}

// Guards against a later snapshot that starts in the middle of the keys: pages
// are obsolete once a peer has sent all items.
TEST_F(StoreSyncTest, PeerSnapshotReplacesPages) {
  ASSERT_TRUE(startCallIfDue());
  StoreResult FirstPage = makeAnswer(10, {item("a", 5)});
  FirstPage.MorePages = true;
  ASSERT_TRUE(Sync.onResult(FirstPage));
  nextCall();
  ASSERT_TRUE(failAndAskPeer());
  nextCall();
  EXPECT_FALSE(Sync.onResult(makeFailure(StoreResult::Status::HistoryLost)));
  EXPECT_EQ(nextCall().AfterKey, "");
}

// A broken connection without any packet can be detected only by a timeout.
TEST_F(StoreSyncTest, WatchTimesOutSoonAfterItsWait) {
  readSnapshot();
  const StoreQuery Watch = nextCall();
  EXPECT_EQ(Watch.Wait, 3s);
  EXPECT_LE(Watch.IdleTimeout, 4s);
  EXPECT_LT(Watch.Wait, Watch.IdleTimeout);
}

TEST_F(StoreSyncTest, LostHistoryLeadsToSnapshot) {
  readSnapshot();
  nextCall();
  EXPECT_FALSE(Sync.onResult(makeFailure(StoreResult::Status::HistoryLost)));
  EXPECT_EQ(nextCall().QueryKind, StoreQuery::Kind::Snapshot);
}

TEST_F(StoreSyncTest, GroupedChangesNeedOneCall) {
  readSnapshot();
  nextCall();
  ASSERT_TRUE(Sync.onResult(makeAnswer(11, {item("a", 11)})));
  EXPECT_FALSE(startCallIfDue());
  EXPECT_GT(Sync.nextCallAt(), TimeSource.now());
  EXPECT_LE(Sync.nextCallAt() - TimeSource.now(), 1s);
}

// The store may reject some instances for a long time. Their calls are billed,
// so the retries slow down, but each instance must detect within one or two
// seconds that the store accepts its calls again.
TEST_F(StoreSyncTest, RetryDelayGrowsToAboutOneSecond) {
  readSnapshot();
  Duration MaxDelay{};
  for (int Attempt = 0; Attempt < 20; ++Attempt) {
    nextCall();
    Sync.onResult(makeFailure(StoreResult::Status::Refused));
    MaxDelay = std::max(MaxDelay, Sync.nextCallAt() - TimeSource.now());
  }
  EXPECT_GE(MaxDelay, 700ms);
  EXPECT_LE(MaxDelay, 1300ms);
  EXPECT_EQ(Sync.failures(), 20U);
}

// Guards against a long watch after an outage, which would delay by seconds the
// detection that the store is reachable again.
TEST_F(StoreSyncTest, FirstWatchAfterFailureIsShort) {
  readSnapshot();
  nextCall();
  Sync.onResult(makeFailure(StoreResult::Status::Failed));
  const StoreQuery Retry = nextCall();
  EXPECT_EQ(Retry.Wait, 0s);
  EXPECT_LE(Retry.IdleTimeout, 1s);
}

// Guards against a sync that stops for good: event loops may fire timers
// slightly early, and no further timer is set if the call is then not
// considered due.
TEST_F(StoreSyncTest, CallIsMadeWhenTimerFiresEarly) {
  readSnapshot();
  nextCall();
  Sync.onResult(makeFailure(StoreResult::Status::Failed));
  TimeSource.advance(Sync.nextCallAt() - TimeSource.now() - 5ms);
  EXPECT_TRUE(startCallIfDue());
}

// Guards against a peer with older data that reverts a newer revision.
TEST_F(StoreSyncTest, PeerWithOlderRevisionChangesNothing) {
  readSnapshot();
  ASSERT_TRUE(startCallIfDue({Endpoint{1, 1}, 0s}));
  StoreResult Old = makeAnswer(9, {item("a", 4)});
  Old.Complete = true;
  EXPECT_FALSE(Sync.onResult(Old));
  EXPECT_EQ(Sync.position().Revision, 10U);
}

// Guards against an answer that the process reads late, after a stall, and
// takes for the present state of the store.
TEST_F(StoreSyncTest, AgeOfStoreAnswerIsUsed) {
  readSnapshot();
  TimeSource.advance(2s);
  ASSERT_TRUE(startCallIfDue());
  TimeSource.advance(3s);
  StoreResult Result = makeAnswer(11, {item("a", 11)});
  Result.Age = 2s;
  Sync.onResult(Result);
  EXPECT_EQ(TimeSource.now() - Sync.confirmedAt(), 2s);
}

// Guards against data that seems newer after it was forwarded: its age counts
// from the confirmation by the store.
TEST_F(StoreSyncTest, AgeOfPeerAnswerIsUsed) {
  readSnapshot();
  TimeSource.advance(5s);
  ASSERT_TRUE(startCallIfDue({Endpoint{1, 1}, 0s}));
  StoreResult Result = makeAnswer(12, {item("a", 12)});
  Result.Age = 2s;
  ASSERT_TRUE(Sync.onResult(Result));
  EXPECT_EQ(TimeSource.now() - Sync.confirmedAt(), 2s);
}

// Guards against an instance that starts in a partitioned zone and has no
// configuration until the partition ends.
TEST_F(StoreSyncTest, StartingInstanceReadsFromPeerDuringOutage) {
  nextCall();
  const auto Update = failAndAskPeer();
  ASSERT_TRUE(Update);
  EXPECT_EQ(Update->ContentKind, Content::Snapshot);
  EXPECT_TRUE(Sync.isSnapshotLoaded());
  EXPECT_EQ(nextCall().AfterRevision, 12U);
}

// Guards against mixing the pages of an interrupted snapshot of the store with
// the snapshot of a peer.
TEST_F(StoreSyncTest, PeerSnapshotReplacesPagesOfStore) {
  nextCall();
  StoreResult FirstPage = makeAnswer(10, {item("gone", 5)});
  FirstPage.MorePages = true;
  Sync.onResult(FirstPage);
  nextCall();
  const auto Update = failAndAskPeer();
  ASSERT_TRUE(Update);
  EXPECT_EQ(Update->ContentKind, Content::Snapshot);
  EXPECT_EQ(Update->Items.size(), 1U);
}

// Guards against a large change that is given up while it arrives, and
// transferred again and again: on a slow link a configuration with 1,360 more
// routes came into force 20 s late.
TEST_F(StoreSyncTest, WatchIsGivenUpOnlyWithoutProgress) {
  readSnapshot();
  const StoreQuery Watch = nextCall();
  EXPECT_GT(Watch.IdleTimeout, Watch.Wait);
  EXPECT_LE(Watch.IdleTimeout, Watch.Wait + 1s);
  EXPECT_GE(Watch.Timeout, Watch.Wait + 8s);
}

// Guards against a process that waits after a pause for the answer of a call
// from before.
TEST_F(StoreSyncTest, AbandonedCallIsFollowedByOneWithoutWait) {
  readSnapshot();
  ASSERT_TRUE(startCallIfDue());
  Sync.abandonCall();
  const auto Query = startCallIfDue();
  ASSERT_TRUE(Query);
  EXPECT_EQ(Query->Wait, 0s);
  Sync.onResult(makeAnswer(11));
  EXPECT_EQ(nextCall().Wait, 3s);
}

TEST_F(StoreSyncTest, OnlyOneCallIsPending) {
  ASSERT_TRUE(startCallIfDue());
  TimeSource.advance(10s);
  EXPECT_FALSE(startCallIfDue());
}

// Guards against a watch that is repeated without end: the changes since its
// revision exceed what an instance accepts, and more changes only add to them.
TEST_F(StoreSyncTest, TooManyChangesAreReadAsASnapshot) {
  readSnapshot();
  ASSERT_EQ(nextCall().QueryKind, StoreQuery::Kind::Watch);
  Sync.onResult(makeFailure(StoreResult::Status::TooLarge));
  EXPECT_EQ(Sync.failures(), 0U);
  EXPECT_EQ(Sync.nextCallAt(), TimeSource.now());
  ASSERT_EQ(nextCall().QueryKind, StoreQuery::Kind::Snapshot);
  const auto Update = Sync.onResult(makeAnswer(40, {item("a", 39)}));
  ASSERT_TRUE(Update);
  EXPECT_EQ(Update->ContentKind, Content::Snapshot);
  const StoreQuery Watch = nextCall();
  EXPECT_EQ(Watch.QueryKind, StoreQuery::Kind::Watch);
  EXPECT_EQ(Watch.AfterRevision, 40U);
}

// A snapshot whose page is too large cannot be read another way.
TEST_F(StoreSyncTest, PageThatIsTooLargeIsAFailure) {
  ASSERT_TRUE(startCallIfDue());
  Sync.onResult(makeFailure(StoreResult::Status::TooLarge));
  EXPECT_EQ(Sync.failures(), 1U);
  EXPECT_GT(Sync.nextCallAt(), TimeSource.now());
}

} // namespace
} // namespace indigopoint
