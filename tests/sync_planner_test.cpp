#include "sync_planner.h"

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

class SyncPlannerTest : public testing::Test {
protected:
  // Reads a snapshot from the store.
  void sync() {
    Sync.start(Planner.next(Sync));
    StoreResult Result;
    Result.ResultStatus = StoreResult::Status::Answered;
    Result.Position.Revision = 1;
    Sync.onResult(Result);
  }

  void fail() {
    Sync.start(Planner.next(Sync));
    Sync.onResult({});
  }

  void addPeers(uint32_t Count) {
    for (uint32_t Address = 2; Address < 2 + Count; ++Address)
      Peers.update({{Address, 9}, "a", 0s, 100});
  }

  // Adds peers until another instance is the reader of the zone.
  void addPeersUntilAnotherInstanceIsReader() {
    for (uint32_t Count = 20; Peers.zoneReader() == Endpoint{1, 9}; Count *= 2)
      addPeers(Count);
  }

  ManualClock TimeSource;
  RandomSource Random{1};
  PeerTable Peers{{{1, 9}, "a", 0s, 100}, {{77, 9}}, TimeSource, Random};
  StoreSync Sync{TimeSource, Random, std::chrono::milliseconds(400)};
  SyncPlanner Planner{{{1, 9}, 4s, 3s}, TimeSource, Peers};
};

TEST_F(SyncPlannerTest, StartingInstanceReadsStore) {
  EXPECT_FALSE(Planner.next(Sync).Peer);
}

// A broken connection must be detected before the data exceeds its maximum age
// of 4 s.
TEST_F(SyncPlannerTest, SmallZoneReadsStoreWithLongWatches) {
  sync();
  addPeers(3);
  const SyncSource Source = Planner.next(Sync);
  EXPECT_FALSE(Source.Peer);
  EXPECT_GE(Source.Wait, 2400ms);
  EXPECT_LT(Source.Wait, 4s - 900ms - 500ms);
}

// Guards against data that is too old although the store is reachable: a
// connection that went silent during a watch must be noticed and replaced
// within the maximum age, after which the bounds of changes hold again.
TEST_F(SyncPlannerTest, SilentWatchIsReplacedWithinTheMaximumAge) {
  addPeers(3);
  for (int Round = 0; Round < 200; ++Round) {
    sync();
    const TimePoint SilentSince = TimeSource.now();
    bool IsRefreshed = false;
    while (!IsRefreshed) {
      TimeSource.advance(
          std::max(Duration(), Sync.nextCallAt() - TimeSource.now()));
      const StoreQuery Query = Sync.start(Planner.next(Sync));
      const bool IsSilent = Query.Wait > Duration() || Query.Peer;
      IsRefreshed = !IsSilent;
      TimeSource.advance(IsSilent ? Query.IdleTimeout : 50ms);
      StoreResult Result;
      if (IsRefreshed)
        Result.ResultStatus = StoreResult::Status::Answered;
      Sync.onResult(Result);
    }
    ASSERT_LE(TimeSource.now() - SilentSince, Duration(4s)) << Round;
  }
}

TEST_F(SyncPlannerTest, LargeZoneHasOneReader) {
  sync();
  addPeersUntilAnotherInstanceIsReader();
  EXPECT_EQ(Planner.next(Sync).Peer, Peers.zoneReader());
}

// Guards against a frozen or partitioned reader that delays the other
// instances: a change must be in force within ChangeBound.
TEST_F(SyncPlannerTest, OldDataIsRefreshedFromStore) {
  sync();
  addPeersUntilAnotherInstanceIsReader();
  ASSERT_TRUE(Planner.next(Sync).Peer);
  TimeSource.advance(2s);
  const SyncSource Source = Planner.next(Sync);
  EXPECT_FALSE(Source.Peer);
  EXPECT_EQ(Source.Wait, 0s);
}

// Guards against calls to the store that grow with the number of instances
// during an outage: each call is billed, and the reader of the zone detects
// that the store is back.
TEST_F(SyncPlannerTest, FollowersSeldomCallTheStoreDuringAnOutage) {
  sync();
  addPeersUntilAnotherInstanceIsReader();
  const Duration Outage = 9s;
  int StoreCalls = 0;
  int PeerCalls = 0;
  const TimePoint End = TimeSource.now() + Outage;
  while (TimeSource.now() < End) {
    const SyncSource Target = Planner.next(Sync);
    ++(Target.Peer ? PeerCalls : StoreCalls);
    TimeSource.advance(Sync.start(Target).Wait);
    StoreResult Answer;
    if (Target.Peer) {
      // A peer answers with the data that it had when the outage began.
      Answer.ResultStatus = StoreResult::Status::Answered;
      Answer.Position.Revision = 1;
      Answer.Age = 20s;
    }
    Sync.onResult(Answer);
    TimeSource.advance(
        std::max(Duration(), Sync.nextCallAt() - TimeSource.now()));
  }
  EXPECT_LE(StoreCalls, 6);
  EXPECT_GE(StoreCalls, 3);
  // Peers are asked about once a second, not continuously.
  EXPECT_GE(PeerCalls, 8);
  EXPECT_LE(PeerCalls, 25);
}

// Guards against calls to a store that rejects this instance only: its reader
// has fresh data.
TEST_F(SyncPlannerTest, RejectedInstanceFollowsItsReader) {
  sync();
  addPeersUntilAnotherInstanceIsReader();
  fail();
  TimeSource.advance(2s);
  fail();
  ASSERT_GT(Sync.failures(), 0U);
  TimeSource.advance(100ms);
  const SyncSource PolledPeer = Planner.next(Sync);
  ASSERT_TRUE(PolledPeer.Peer);
  Sync.start(PolledPeer);
  StoreResult Answer;
  Answer.ResultStatus = StoreResult::Status::Answered;
  Answer.Position.Revision = 1;
  Answer.Age = 50ms;
  Sync.onResult(Answer);
  TimeSource.advance(
      std::max(Duration(), Sync.nextCallAt() - TimeSource.now()));
  const SyncSource Followed = Planner.next(Sync);
  EXPECT_EQ(Followed.Peer, Peers.zoneReader());
  EXPECT_GT(Followed.Wait, 0s);
  Sync.start(Followed);
  Sync.onResult(Answer);
  EXPECT_EQ(Sync.failures(), 0U);
}

// An instance whose calls the store rejects still gets the data of its peers.
TEST_F(SyncPlannerTest, CallsAlternateWithPeersWhileStoreFails) {
  fail();
  const SyncSource SecondTarget = Planner.next(Sync);
  EXPECT_EQ(SecondTarget.Peer, (Endpoint{77, 9}));
  Sync.start(SecondTarget);
  Sync.onResult({});
  EXPECT_FALSE(Planner.next(Sync).Peer);
}

// Guards against a snapshot that is read from a peer after the store no longer
// has the history: if all instances need a snapshot at the same time, they get
// outdated copies from each other, and no instance reads the store until a
// further failure of the store ends.
TEST_F(SyncPlannerTest, StoreIsReadAfterLostHistory) {
  sync();
  fail();
  Sync.start({});
  StoreResult LostHistoryResult;
  LostHistoryResult.ResultStatus = StoreResult::Status::HistoryLost;
  Sync.onResult(LostHistoryResult);
  EXPECT_EQ(Sync.failures(), 0U);
  EXPECT_FALSE(Planner.next(Sync).Peer);
}

} // namespace
} // namespace indigopoint
