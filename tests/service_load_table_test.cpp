#include "service_load_table.h"

#include <limits>

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

class ServiceLoadTableTest : public testing::Test {
protected:
  PeerReport report(uint32_t Sender, uint64_t Sequence, double OpenExchanges,
                    const std::string &Zone = "a") {
    PeerReport Out;
    Out.Sender = {Sender, 1};
    Out.Zone = Zone;
    Out.Sequence = Sequence;
    Out.Loads = {{"chat", 10, OpenExchanges}};
    return Out;
  }
  double exchanges() { return Table.demand("chat").OpenExchanges; }

  ManualClock TimeSource;
  ServiceLoadTable Table{"a", TimeSource};
};

TEST_F(ServiceLoadTableTest, DemandIsOwnAndReportedLoad) {
  Table.recordExchangeStart("chat");
  Table.recordExchangeStart("chat");
  Table.recordExchangeEnd("chat");
  Table.recordPeerReport(report(1, 1, 5));
  Table.recordPeerReport(report(2, 1, 7));
  TimeSource.advance(300ms);
  Table.recordPeerReport(report(3, 1, 1));
  EXPECT_EQ(exchanges(), 14);
  EXPECT_EQ(Table.demand("chat").Instances, 4U);
  EXPECT_EQ(Table.demand("chat").Age, 300ms);
  EXPECT_EQ(Table.demand("photos").OpenExchanges, 0);
}

// Guards against a load that is counted twice, or replaced by a late report.
TEST_F(ServiceLoadTableTest, NewerReportReplacesOlderOne) {
  Table.recordPeerReport(report(1, 2, 5));
  Table.recordPeerReport(report(1, 1, 50));
  EXPECT_EQ(exchanges(), 5);
  Table.recordPeerReport(report(1, 3, 6));
  EXPECT_EQ(exchanges(), 6);
}

// Guards against demand that lasts for ever after a sender's death, and against
// a restarted sender whose reports are all ignored.
TEST_F(ServiceLoadTableTest, OldReportsAreNotUsed) {
  Table.recordPeerReport(report(1, 9, 5));
  TimeSource.advance(2001ms);
  EXPECT_EQ(exchanges(), 0);
  Table.recordPeerReport(report(1, 1, 6));
  EXPECT_EQ(exchanges(), 6);
}

// Each report holds all loads. Guards against the last load of an instance that
// has none any more.
TEST_F(ServiceLoadTableTest, ReportWithoutLoadsReplacesTheLastOnes) {
  Table.recordPeerReport(report(1, 1, 5));
  PeerReport Empty = report(1, 2, 0);
  Empty.Loads.clear();
  Table.recordPeerReport(Empty);
  EXPECT_EQ(exchanges(), 0);
}

TEST_F(ServiceLoadTableTest, ImplausibleReportsAreIgnored) {
  for (const double Value : {-1.0, 1e9, std::numeric_limits<double>::infinity(),
                             std::numeric_limits<double>::quiet_NaN()})
    Table.recordPeerReport(report(1, 1, Value));
  EXPECT_EQ(Table.demand("chat").Instances, 1U);
}

TEST_F(ServiceLoadTableTest, OtherZonesAreCountedApart) {
  Table.recordPeerReport(report(1, 1, 5, "b"));
  EXPECT_EQ(exchanges(), 0);
  EXPECT_EQ(Table.demandOfZone("chat", "b").OpenExchanges, 5);
  EXPECT_EQ(Table.demandOfZone("chat", "c").Instances, 0U);
}

TEST_F(ServiceLoadTableTest, OpeningsASecondFollowTheRate) {
  for (int I = 0; I < 400; ++I) {
    Table.recordOpening("chat", 1);
    TimeSource.advance(10ms);
  }
  EXPECT_NEAR(Table.ownLoads().at(0).OpeningsPerSecond, 100, 3);
  TimeSource.advance(5s);
  EXPECT_NEAR(Table.ownLoads().at(0).OpeningsPerSecond, 0, 0.1);
}

// Guards against memory that forged senders or many services take.
TEST_F(ServiceLoadTableTest, TablesAreBounded) {
  for (uint32_t Sender = 0; Sender < 5000; ++Sender)
    Table.recordPeerReport(report(Sender, 1, 1));
  EXPECT_LE(exchanges(), 1024);
  for (int I = 0; I < 1000; ++I)
    Table.recordOpening("s" + std::to_string(I), 1);
  EXPECT_LE(Table.ownLoads().size(), 64U);
  TimeSource.advance(2min);
  Table.expire();
  EXPECT_TRUE(Table.ownLoads().empty());
}

class CapacityTest : public testing::Test {
protected:
  Upstream &add(const std::string &Zone) {
    Upstreams.push_back(std::make_unique<Upstream>(Opts));
    Upstreams.back()->Registration.Zone = Zone;
    Upstreams.back()->Registration.Slots = 2;
    return *Upstreams.back();
  }
  std::map<std::string, ZoneSlots> slots() {
    std::vector<Upstream *> Pointers;
    for (const auto &Target : Upstreams)
      Pointers.push_back(Target.get());
    return slotsByZone(
        Pointers,
        [](const Upstream &Target) {
          return Target.State == UpstreamState::Ready;
        },
        Now, 0.5);
  }

  TimePoint Now{1h};
  ReachabilityOptions Opts;
  std::vector<std::unique_ptr<Upstream>> Upstreams;
};

TEST_F(CapacityTest, ColdSuspectAndSlowUpstreamsCountLess) {
  for (int I = 0; I < 4; ++I)
    for (int Sample = 0; Sample < 3; ++Sample)
      add("a").ResponseTimes.record(30ms, Now);
  EXPECT_EQ(slots().at("a").Usable, 24);
  add("a").WarmupEnd = Now + 1s;
  EXPECT_EQ(slots().at("a").Usable, 25);
  add("a").Reachability.recordOpenTimeout(Now);
  EXPECT_EQ(slots().at("a").Usable, 25);
  add("a").State = UpstreamState::Draining;
  EXPECT_EQ(slots().at("a").Usable, 25);
  for (const auto &Target : Upstreams)
    for (int Sample = 0; Sample < 3; ++Sample)
      Target->ResponseTimes.record(30ms, Now);
  Upstream &SlowUpstream = add("a");
  for (int Sample = 0; Sample < 3; ++Sample)
    SlowUpstream.ResponseTimes.record(150ms, Now);
  EXPECT_NEAR(slots().at("a").Usable, 25 + 2.0 / 5, 1e-9);
}

// Guards against refusals in a zone whose upstreams are gone while others serve
// its flows, and against the assumption that they serve no one else.
TEST_F(CapacityTest, ZoneWithoutUpstreamsUsesItsPartOfOtherZones) {
  for (const char *Zone : {"a", "b", "c", "d"})
    for (int I = 0; I < 10; ++I)
      add(Zone);
  EXPECT_EQ(capacityOf("a", slots(), 0.3), 20);
  for (int I = 0; I < 10; ++I)
    Upstreams[static_cast<size_t>(I)]->State = UpstreamState::Unregistered;
  EXPECT_EQ(capacityOf("a", slots(), 0.3), 15);
  EXPECT_EQ(capacityOf("b", slots(), 0.3), 20);
  EXPECT_EQ(capacityOf("e", slots(), 0.3), 12);
  EXPECT_EQ(capacityOf("e", {}, 0.3), 0);
}

} // namespace
} // namespace indigopoint
