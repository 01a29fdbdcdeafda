#include "store_sync.h"

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// A sync in virtual time. Its snapshot has been taken at revision 10 once
// takeSnapshot was called.
using Content = StoreSync::Update::Content;

class StoreSyncTest : public testing::Test {
protected:
  static StoreResult answered(uint64_t Revision,
                              std::vector<StoreItem> Items = {}) {
    StoreResult Result;
    Result.ResultStatus = StoreResult::Status::Answered;
    Result.Revision = Revision;
    Result.Items = std::move(Items);
    return Result;
  }

  static StoreResult failed(StoreResult::Status Status) {
    StoreResult Result;
    Result.ResultStatus = Status;
    return Result;
  }

  static StoreItem item(const std::string &Key, uint64_t Revision) {
    return {Key, "value", Revision, Revision, false};
  }

  // Starts a call if one is due.
  std::optional<StoreQuery> next(const SyncSource &Source = {{}, 3s}) {
    if (!Sync.isDue())
      return std::nullopt;
    return Sync.start(Source);
  }

  void takeSnapshot() {
    ASSERT_TRUE(next());
    ASSERT_TRUE(Sync.onResult(answered(10, {item("a", 5)})));
  }

  // Advances to the next call.
  StoreQuery nextCall() {
    TimeSource.advance(
        std::max(Duration(), Sync.nextCallAt() - TimeSource.now()));
    const auto Query = next();
    EXPECT_TRUE(Query);
    return Query.value_or(StoreQuery());
  }

  // The call to the store fails, and a peer tells all that it holds.
  std::optional<StoreSync::Update> failAndAskPeer() {
    Sync.onResult(failed(StoreResult::Status::Failed));
    TimeSource.advance(Sync.nextCallAt() - TimeSource.now());
    EXPECT_TRUE(next({Endpoint{1, 1}, 0s}));
    StoreResult Told = answered(12, {item("a", 12)});
    Told.Complete = true;
    return Sync.onResult(Told);
  }

  ManualClock TimeSource;
  RandomSource Random{1};
  StoreSync Sync{TimeSource, Random};
};

TEST_F(StoreSyncTest, StartsWithASnapshotAndWatchesFromItsRevision) {
  const auto First = next();
  ASSERT_TRUE(First);
  EXPECT_EQ(First->QueryKind, StoreQuery::Kind::Snapshot);
  const auto Update = Sync.onResult(answered(10, {item("a", 5)}));
  ASSERT_TRUE(Update);
  EXPECT_EQ(Update->ContentKind, Content::Snapshot);
  const StoreQuery Watch = nextCall();
  EXPECT_EQ(Watch.QueryKind, StoreQuery::Kind::Watch);
  EXPECT_EQ(Watch.AfterRevision, 10U);
}

// Pages are read one after another while keys change. A change between two
// pages must not be missed.
TEST_F(StoreSyncTest, WatchesFromTheRevisionOfTheFirstPage) {
  ASSERT_TRUE(next());
  StoreResult First = answered(10, {item("a", 5)});
  First.MorePages = true;
  const auto Page = Sync.onResult(First);
  ASSERT_TRUE(Page);
  EXPECT_EQ(Page->ContentKind, Content::FirstPage);
  EXPECT_EQ(Page->Items.size(), 1U);
  EXPECT_FALSE(Sync.isSynced());
  const StoreQuery Second = nextCall();
  EXPECT_EQ(Second.AfterKey, "a");
  const auto Last = Sync.onResult(answered(14, {item("b", 12)}));
  ASSERT_TRUE(Last);
  EXPECT_EQ(Last->ContentKind, Content::LastPage);
  EXPECT_EQ(Last->Items.size(), 1U);
  EXPECT_EQ(nextCall().AfterRevision, 10U);
}

// A connection that went silent shows by nothing but time.
TEST_F(StoreSyncTest, AWatchTimesOutSoonAfterItsWait) {
  takeSnapshot();
  const StoreQuery Watch = nextCall();
  EXPECT_EQ(Watch.Wait, 3s);
  EXPECT_LE(Watch.Timeout, 4s);
  EXPECT_LT(Watch.Wait, Watch.Timeout);
}

TEST_F(StoreSyncTest, ALostHistoryLeadsToASnapshot) {
  takeSnapshot();
  nextCall();
  EXPECT_FALSE(Sync.onResult(failed(StoreResult::Status::HistoryLost)));
  EXPECT_EQ(nextCall().QueryKind, StoreQuery::Kind::Snapshot);
}

TEST_F(StoreSyncTest, ChangesThatComeTogetherCostOneCall) {
  takeSnapshot();
  nextCall();
  ASSERT_TRUE(Sync.onResult(answered(11, {item("a", 11)})));
  EXPECT_FALSE(next());
  EXPECT_GT(Sync.nextCallAt(), TimeSource.now());
  EXPECT_LE(Sync.nextCallAt() - TimeSource.now(), 1s);
}

// The store turns some instances away for long. Their calls are paid for, so
// they slow down, but each has to notice its return within a second or two.
TEST_F(StoreSyncTest, RetriesSlowDownToAboutASecond) {
  takeSnapshot();
  Duration Longest{};
  for (int Try = 0; Try < 20; ++Try) {
    nextCall();
    Sync.onResult(failed(StoreResult::Status::Refused));
    Longest = std::max(Longest, Sync.nextCallAt() - TimeSource.now());
  }
  EXPECT_GE(Longest, 700ms);
  EXPECT_LE(Longest, 1300ms);
  EXPECT_EQ(Sync.failures(), 20U);
}

// While the store is away, a watch that it holds for seconds would hide its
// return.
TEST_F(StoreSyncTest, TheFirstWatchAfterAFailureIsShort) {
  takeSnapshot();
  nextCall();
  Sync.onResult(failed(StoreResult::Status::Failed));
  const StoreQuery Retry = nextCall();
  EXPECT_EQ(Retry.Wait, 0s);
  EXPECT_LE(Retry.Timeout, 1s);
}

// Event loops run timers a little early, and nothing asks again after that:
// the sync once stopped for good.
TEST_F(StoreSyncTest, ACallIsMadeWhenItsTimerRunsEarly) {
  takeSnapshot();
  nextCall();
  Sync.onResult(failed(StoreResult::Status::Failed));
  TimeSource.advance(Sync.nextCallAt() - TimeSource.now() - 5ms);
  EXPECT_TRUE(next());
}

// A peer that lags must not take back what is known: versions never revert.
TEST_F(StoreSyncTest, APeerThatKnowsLessChangesNothing) {
  takeSnapshot();
  ASSERT_TRUE(next({Endpoint{1, 1}, 0s}));
  StoreResult Old = answered(9, {item("a", 4)});
  Old.Complete = true;
  EXPECT_FALSE(Sync.onResult(Old));
  EXPECT_EQ(Sync.revision(), 10U);
}

// A belief is as old as the store's word behind it, however many instances
// passed it on.
TEST_F(StoreSyncTest, APeersAnswerIsAsOldAsItSays) {
  takeSnapshot();
  TimeSource.advance(5s);
  ASSERT_TRUE(next({Endpoint{1, 1}, 0s}));
  StoreResult Told = answered(12, {item("a", 12)});
  Told.Age = 2s;
  ASSERT_TRUE(Sync.onResult(Told));
  EXPECT_EQ(TimeSource.now() - Sync.confirmedAt(), 2s);
}

// Seen when a zone was cut off: an instance that started there had no
// configuration until the cut was over.
TEST_F(StoreSyncTest, AStartWithoutTheStoreLearnsFromAPeer) {
  nextCall();
  const auto Update = failAndAskPeer();
  ASSERT_TRUE(Update);
  EXPECT_EQ(Update->ContentKind, Content::Snapshot);
  EXPECT_TRUE(Sync.isSynced());
  EXPECT_EQ(nextCall().AfterRevision, 12U);
}

// The pages of a snapshot that the store broke off do not mix with a peer's.
TEST_F(StoreSyncTest, APeersSnapshotReplacesPagesOfTheStore) {
  nextCall();
  StoreResult First = answered(10, {item("gone", 5)});
  First.MorePages = true;
  Sync.onResult(First);
  nextCall();
  const auto Update = failAndAskPeer();
  ASSERT_TRUE(Update);
  EXPECT_EQ(Update->ContentKind, Content::Snapshot);
  EXPECT_EQ(Update->Items.size(), 1U);
}

TEST_F(StoreSyncTest, OneCallIsUnderWayAtATime) {
  ASSERT_TRUE(next());
  TimeSource.advance(10s);
  EXPECT_FALSE(next());
}

} // namespace
} // namespace indigopoint
