#include "peer_table.h"

#include <set>

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

PeerInfo peerInfo(uint32_t Address, const std::string &Zone, Duration Age = 0s,
                  uint32_t LinkMbps = 100) {
  return {{Address, 9}, Zone, Age, LinkMbps};
}

class PeerTableTest : public testing::Test {
protected:
  PeerTable table(uint32_t Self, std::vector<Endpoint> Seeds = {}) {
    return {peerInfo(Self, "a"), std::move(Seeds), TimeSource, Random};
  }

  ManualClock TimeSource;
  RandomSource Random{1};
};

// Guards against instances of one zone that choose different readers, so that
// several of them read the store.
TEST_F(PeerTableTest, InstancesOfZoneChooseSameReader) {
  std::set<Endpoint> Readers;
  for (uint32_t Self = 1; Self <= 8; ++Self) {
    PeerTable Table = table(Self);
    for (uint32_t Address = 1; Address <= 8; ++Address)
      Table.update(peerInfo(Address, "a", 0s));
    Table.update(peerInfo(100, "b", 0s));
    Readers.insert(Table.zoneReader());
    EXPECT_EQ(Table.zoneSize(), 8U);
  }
  EXPECT_EQ(Readers.size(), 1U);
}

TEST_F(PeerTableTest, FailedReaderIsReplacedTemporarily) {
  PeerTable Table = table(100);
  for (uint32_t Address = 2; Address <= 90; ++Address)
    Table.update(peerInfo(Address, "a", 0s));
  const Endpoint First = Table.zoneReader();
  ASSERT_NE(First, (Endpoint{100, 9}));
  Table.recordFailure(First);
  EXPECT_NE(Table.zoneReader(), First);
  TimeSource.advance(6s);
  EXPECT_EQ(Table.zoneReader(), First);
}

TEST_F(PeerTableTest, EntryWithoutUpdateExpires) {
  PeerTable Table = table(1);
  Table.update(peerInfo(2, "a", 0s));
  TimeSource.advance(21s);
  EXPECT_EQ(Table.zoneSize(), 1U);
  Table.update(peerInfo(3, "a", 0s));
  EXPECT_EQ(Table.size(), 1U);
}

// Guards against a reader with a slow link: sending one change to all instances
// saturated the link, and packets of clients were lost.
TEST_F(PeerTableTest, InstanceWithFastestLinkIsReader) {
  PeerTable Table = table(1);
  for (uint32_t Address = 2; Address <= 20; ++Address)
    Table.update(peerInfo(Address, "a", 0s, Address == 7 ? 200 : 10));
  EXPECT_EQ(Table.zoneReader(), (Endpoint{7, 9}));
}

// Guards against forwarded entries that keep a dead instance in the table.
TEST_F(PeerTableTest, ForwardedEntriesKeepAge) {
  PeerTable Table = table(1);
  Table.update(peerInfo(2, "a", 15s));
  TimeSource.advance(4s);
  ASSERT_EQ(Table.recentPeers("a", 10).size(), 1U);
  EXPECT_EQ(Table.recentPeers("a", 10)[0].Age, 19s);
  TimeSource.advance(2s);
  EXPECT_EQ(Table.zoneSize(), 1U);
}

TEST_F(PeerTableTest, EntriesOfRequestedZoneComeFirst) {
  PeerTable Table = table(1);
  for (uint32_t Address = 2; Address <= 5; ++Address)
    Table.update(peerInfo(Address, Address % 2 == 0 ? "a" : "b", 0s));
  const auto Entries = Table.recentPeers("b", 2);
  ASSERT_EQ(Entries.size(), 2U);
  EXPECT_EQ(Entries[0].Zone, "b");
  EXPECT_EQ(Entries[1].Zone, "b");
}

TEST_F(PeerTableTest, ContactsAreSeedsAndPeersButNotOwnAddress) {
  PeerTable Table = table(1, {{1, 9}, {50, 9}});
  Table.update(peerInfo(2, "a", 0s));
  Table.update(peerInfo(1, "a", 0s));
  std::set<Endpoint> ContactedPeers;
  for (int Turn = 0; Turn < 20; ++Turn)
    if (const auto Peer = Table.nextContact())
      ContactedPeers.insert(*Peer);
  EXPECT_EQ(ContactedPeers, std::set<Endpoint>({{2, 9}, {50, 9}}));
}

TEST_F(PeerTableTest, NoContactWithoutSeedsAndPeers) {
  PeerTable Table = table(1);
  for (int Turn = 0; Turn < 8; ++Turn)
    EXPECT_FALSE(Table.nextContact());
}

} // namespace
} // namespace indigopoint
