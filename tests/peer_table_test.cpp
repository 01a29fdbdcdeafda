#include "peer_table.h"

#include <set>

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

PeerInfo news(uint32_t Address, const std::string &Zone, Duration Age = 0s,
              uint32_t LinkMbps = 100) {
  return {{Address, 9}, Zone, Age, LinkMbps};
}

class PeerTableTest : public testing::Test {
protected:
  PeerTable table(uint32_t Self, std::vector<Endpoint> Seeds = {}) {
    return {news(Self, "a"), std::move(Seeds), TimeSource, Random};
  }

  ManualClock TimeSource;
  RandomSource Random{1};
};

// Every instance of the zone has to come to the same reader, or more of them
// than one would read the store.
TEST_F(PeerTableTest, MembersOfAZoneChooseOneReader) {
  std::set<Endpoint> Readers;
  for (uint32_t Self = 1; Self <= 8; ++Self) {
    PeerTable Table = table(Self);
    for (uint32_t Other = 1; Other <= 8; ++Other)
      Table.update(news(Other, "a", 0s));
    Table.update(news(100, "b", 0s));
    Readers.insert(Table.zoneReader());
    EXPECT_EQ(Table.zoneSize(), 8U);
  }
  EXPECT_EQ(Readers.size(), 1U);
}

TEST_F(PeerTableTest, AReaderThatFailsIsReplacedForAWhile) {
  PeerTable Table = table(100);
  for (uint32_t Other = 2; Other <= 90; ++Other)
    Table.update(news(Other, "a", 0s));
  const Endpoint First = Table.zoneReader();
  ASSERT_NE(First, (Endpoint{100, 9}));
  Table.recordFailure(First);
  EXPECT_NE(Table.zoneReader(), First);
  TimeSource.advance(6s);
  EXPECT_EQ(Table.zoneReader(), First);
}

TEST_F(PeerTableTest, AnInstanceThatIsNotHeardOfIsForgotten) {
  PeerTable Table = table(1);
  Table.update(news(2, "a", 0s));
  TimeSource.advance(21s);
  EXPECT_EQ(Table.zoneSize(), 1U);
  Table.update(news(3, "a", 0s));
  EXPECT_EQ(Table.size(), 1U);
}

// A reader with a slow link filled it with one change for all others, and lost
// the packets of its clients meanwhile.
TEST_F(PeerTableTest, AFastLinkReadsForTheOthers) {
  PeerTable Table = table(1);
  for (uint32_t Other = 2; Other <= 20; ++Other)
    Table.update(news(Other, "a", 0s, Other == 7 ? 200 : 10));
  EXPECT_EQ(Table.zoneReader(), (Endpoint{7, 9}));
}

// News that go round must not keep a dead instance alive.
TEST_F(PeerTableTest, NewsKeepTheirAge) {
  PeerTable Table = table(1);
  Table.update(news(2, "a", 15s));
  TimeSource.advance(4s);
  ASSERT_EQ(Table.recentPeers("a", 10).size(), 1U);
  EXPECT_EQ(Table.recentPeers("a", 10)[0].Age, 19s);
  TimeSource.advance(2s);
  EXPECT_EQ(Table.zoneSize(), 1U);
}

TEST_F(PeerTableTest, NewsOfTheAskersZoneComeFirst) {
  PeerTable Table = table(1);
  for (uint32_t Other = 2; Other <= 5; ++Other)
    Table.update(news(Other, Other % 2 == 0 ? "a" : "b", 0s));
  const auto News = Table.recentPeers("b", 2);
  ASSERT_EQ(News.size(), 2U);
  EXPECT_EQ(News[0].Zone, "b");
  EXPECT_EQ(News[1].Zone, "b");
}

TEST_F(PeerTableTest, ContactsAreSeedsAndPeersButNeverItself) {
  PeerTable Table = table(1, {{1, 9}, {50, 9}});
  Table.update(news(2, "a", 0s));
  Table.update(news(1, "a", 0s));
  std::set<Endpoint> Asked;
  for (int Turn = 0; Turn < 20; ++Turn)
    if (const auto Peer = Table.nextContact())
      Asked.insert(*Peer);
  EXPECT_EQ(Asked, std::set<Endpoint>({{2, 9}, {50, 9}}));
}

TEST_F(PeerTableTest, WithoutSeedsAndPeersThereIsNoContact) {
  PeerTable Table = table(1);
  for (int Turn = 0; Turn < 8; ++Turn)
    EXPECT_FALSE(Table.nextContact());
}

} // namespace
} // namespace indigopoint
