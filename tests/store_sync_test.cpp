#include "store_sync.h"

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// A sync in virtual time. Its snapshot has been taken at revision 10 once
// takeSnapshot was called.
class StoreSyncTest : public testing::Test {
protected:
  static StoreResult answered(uint64_t Revision,
                              std::vector<StoreItem> Items = {}) {
    StoreResult Result;
    Result.What = StoreResult::Status::Answered;
    Result.Revision = Revision;
    Result.Items = std::move(Items);
    return Result;
  }

  static StoreResult failed(StoreResult::Status Status) {
    StoreResult Result;
    Result.What = Status;
    return Result;
  }

  static StoreItem item(const std::string &Key, uint64_t Revision) {
    return {Key, "value", Revision, Revision, false};
  }

  void takeSnapshot() {
    ASSERT_TRUE(Sync.next());
    ASSERT_TRUE(Sync.onResult(answered(10, {item("a", 5)})));
  }

  // Advances to the next call.
  StoreQuery nextCall() {
    Time.advance(std::max(Duration(), Sync.wakeAt() - Time.now()));
    const auto Query = Sync.next();
    EXPECT_TRUE(Query);
    return Query.value_or(StoreQuery());
  }

  ManualClock Time;
  RandomSource Random{1};
  StoreSync Sync{{4s}, Time, Random};
};

TEST_F(StoreSyncTest, StartsWithASnapshotAndWatchesFromItsRevision) {
  const auto First = Sync.next();
  ASSERT_TRUE(First);
  EXPECT_EQ(First->What, StoreQuery::Kind::Snapshot);
  const auto Update = Sync.onResult(answered(10, {item("a", 5)}));
  ASSERT_TRUE(Update);
  EXPECT_TRUE(Update->Complete);
  const StoreQuery Watch = nextCall();
  EXPECT_EQ(Watch.What, StoreQuery::Kind::Watch);
  EXPECT_EQ(Watch.AfterRevision, 10U);
}

// Pages are read one after another while keys change. A change between two
// pages must not be missed.
TEST_F(StoreSyncTest, WatchesFromTheRevisionOfTheFirstPage) {
  ASSERT_TRUE(Sync.next());
  StoreResult First = answered(10, {item("a", 5)});
  First.HasMore = true;
  EXPECT_FALSE(Sync.onResult(First));
  const StoreQuery Second = nextCall();
  EXPECT_EQ(Second.AfterKey, "a");
  const auto Update = Sync.onResult(answered(14, {item("b", 12)}));
  ASSERT_TRUE(Update);
  EXPECT_EQ(Update->Items.size(), 2U);
  EXPECT_EQ(nextCall().AfterRevision, 10U);
}

// A connection that went silent shows by nothing but time. The watch must be
// renewed before what it would have told is too old.
TEST_F(StoreSyncTest, AWatchEndsWithinTheAgeOfABelief) {
  takeSnapshot();
  const StoreQuery Watch = nextCall();
  EXPECT_LE(Watch.Timeout, 4s);
  EXPECT_LT(Watch.Wait, Watch.Timeout);
}

TEST_F(StoreSyncTest, ALostHistoryLeadsToASnapshot) {
  takeSnapshot();
  nextCall();
  EXPECT_FALSE(Sync.onResult(failed(StoreResult::Status::HistoryLost)));
  EXPECT_EQ(nextCall().What, StoreQuery::Kind::Snapshot);
}

TEST_F(StoreSyncTest, ChangesThatComeTogetherCostOneCall) {
  takeSnapshot();
  nextCall();
  ASSERT_TRUE(Sync.onResult(answered(11, {item("a", 11)})));
  EXPECT_FALSE(Sync.next());
  EXPECT_GT(Sync.wakeAt(), Time.now());
  EXPECT_LE(Sync.wakeAt() - Time.now(), 1s);
}

// The store turns some instances away for long. Their calls are paid for, so
// they slow down, but each has to notice its return within a second or two.
TEST_F(StoreSyncTest, RetriesSlowDownToAboutASecond) {
  takeSnapshot();
  Duration Longest{};
  for (int Try = 0; Try < 20; ++Try) {
    nextCall();
    Sync.onResult(failed(StoreResult::Status::Refused));
    Longest = std::max(Longest, Sync.wakeAt() - Time.now());
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
  Time.advance(Sync.wakeAt() - Time.now() - 5ms);
  EXPECT_TRUE(Sync.next());
}

TEST_F(StoreSyncTest, OneCallIsUnderWayAtATime) {
  ASSERT_TRUE(Sync.next());
  Time.advance(10s);
  EXPECT_FALSE(Sync.next());
}

} // namespace
} // namespace indigopoint
