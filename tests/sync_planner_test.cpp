#include "sync_planner.h"

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

class SyncPlannerTest : public testing::Test {
protected:
  // Takes a snapshot from the store.
  void sync() {
    Sync.start(Planner.next(Sync));
    StoreResult Result;
    Result.ResultStatus = StoreResult::Status::Answered;
    Result.Revision = 1;
    Sync.onResult(Result);
  }

  void fail() {
    Sync.start(Planner.next(Sync));
    Sync.onResult({});
  }

  void knowPeers(uint32_t Count) {
    for (uint32_t Other = 2; Other < 2 + Count; ++Other)
      Peers.update({{Other, 9}, "a", 0s, 100});
  }

  // A zone in which another instance reads for all.
  void knowReader() {
    for (uint32_t Count = 20; Peers.zoneReader() == Endpoint{1, 9}; Count *= 2)
      knowPeers(Count);
  }

  ManualClock TimeSource;
  RandomSource Random{1};
  PeerTable Peers{{{1, 9}, "a", 0s, 100}, {{77, 9}}, TimeSource, Random};
  StoreSync Sync{TimeSource, Random};
  SyncPlanner Planner{{{1, 9}, 4s, 3s}, TimeSource, Peers};
};

TEST_F(SyncPlannerTest, AStartReadsTheStore) {
  EXPECT_FALSE(Planner.next(Sync).Peer);
}

// A silent connection must show before an instance counts as undisturbed.
TEST_F(SyncPlannerTest, ASmallZoneReadsTheStoreWithLongWatches) {
  sync();
  knowPeers(3);
  const SyncSource Source = Planner.next(Sync);
  EXPECT_FALSE(Source.Peer);
  EXPECT_GE(Source.Wait, 3s);
  EXPECT_LT(Source.Wait, 4s);
}

TEST_F(SyncPlannerTest, InALargeZoneOneInstanceReadsForAll) {
  sync();
  knowReader();
  EXPECT_EQ(Planner.next(Sync).Peer, Peers.zoneReader());
}

// A reader that is frozen or cut off must not hold up the others: a change has
// to be in force within the bound.
TEST_F(SyncPlannerTest, AnOldBeliefIsCheckedAtTheStore) {
  sync();
  knowReader();
  ASSERT_TRUE(Planner.next(Sync).Peer);
  TimeSource.advance(2s);
  const SyncSource Source = Planner.next(Sync);
  EXPECT_FALSE(Source.Peer);
  EXPECT_EQ(Source.Wait, 0s);
}

// A machine that the store turns away still learns what its peers know.
TEST_F(SyncPlannerTest, WhileTheStoreFailsPeersAreAskedInTurn) {
  fail();
  const SyncSource Second = Planner.next(Sync);
  EXPECT_EQ(Second.Peer, (Endpoint{77, 9}));
  Sync.start(Second);
  Sync.onResult({});
  EXPECT_FALSE(Planner.next(Sync).Peer);
}

// Peers that lost the same history offered their old copies in turn, and no
// instance read the store again until the next failure ended.
TEST_F(SyncPlannerTest, AfterALostHistoryTheStoreIsRead) {
  sync();
  fail();
  Sync.start({});
  StoreResult Lost;
  Lost.ResultStatus = StoreResult::Status::HistoryLost;
  Sync.onResult(Lost);
  EXPECT_EQ(Sync.failures(), 0U);
  EXPECT_FALSE(Planner.next(Sync).Peer);
}

} // namespace
} // namespace indigopoint
