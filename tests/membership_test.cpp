#include <gtest/gtest.h>

#include "engine_fixture.h"

namespace indigopoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *ZoneNames[] = {"lim-a", "lim-b", "lim-c", "lim-d"};

std::string nameOfInstance(size_t Index) {
  return std::string(ZoneNames[Index % 4]) + "-" +
         std::to_string(Index / 4 + 1);
}

class MembershipTest : public testing::Test {
protected:
  void acceptZones() {
    ConfigChange Change;
    Change.Version = ConfigVersion(1);
    Change.Zones.emplace();
    for (const char *Zone : ZoneNames)
      Change.Zones->push_back({Zone, "lim"});
    Net.publishChange(Change);
  }
  /// Starts a region and waits until all of its instances are active.
  void startRegion(size_t Count) {
    acceptZones();
    for (size_t Index = 0; Index < Count; ++Index)
      Net.start(nameOfInstance(Index), ZoneNames[Index % 4]);
    ASSERT_TRUE(runUntil(seconds(20), [&] { return allActive(); }));
    Net.run(seconds(2));
  }
  bool runUntil(Duration Limit, const std::function<bool()> &Done) {
    const TimePoint End = Net.TimeSource.Now + Limit;
    while (!Done() && Net.TimeSource.Now < End)
      Net.run(milliseconds(10));
    return Done();
  }
  MemberState stateAt(const std::string &Observer, const std::string &About) {
    const Member *Known =
        Net.node(Observer).board().Members.find(instanceIdOf(About));
    return Known == nullptr ? MemberState::Left : Known->State;
  }
  /// Whether each running instance sees \p About in \p State.
  bool allSee(const std::string &About, MemberState State) {
    for (const auto &[Name, Node] : Net.Nodes)
      if (Node.runs() && Name != About && stateAt(Name, About) != State)
        return false;
    return true;
  }
  bool allActive() {
    for (const auto &[Name, Node] : Net.Nodes)
      if (Node.runs() && (Node.board().Self.State != MemberState::Active ||
                          !allSee(Name, MemberState::Active)))
        return false;
    return true;
  }
  uint64_t deathsSeen() {
    uint64_t Count = 0;
    for (const auto &[Name, Node] : Net.Nodes)
      Count += Node.Engine ? Node.board().EngineMetrics.MembersLost : 0;
    return Count;
  }

  EngineNetwork Net;
};

// Guards the fixture: a change in the store reaches every running engine within
// the time of P8.
TEST_F(MembershipTest, StoreChangeReachesRunningEngines) {
  Net.start("lim-a-1", "lim-a");
  Net.start("lim-b-1", "lim-b");
  acceptZones();
  Net.run(seconds(5));
  for (const auto &[Name, Node] : Net.Nodes)
    EXPECT_EQ(Node.board().Config.Version, ConfigVersion(1)) << Name;
}

// Guards against a lone instance that waits for others for ever.
TEST_F(MembershipTest, LoneInstanceIsActiveAfterOneSecond) {
  acceptZones();
  Net.start("lim-a-1", "lim-a");
  Net.run(milliseconds(900));
  EXPECT_EQ(Net.node("lim-a-1").board().Self.State, MemberState::Joining);
  Net.run(milliseconds(200));
  EXPECT_EQ(Net.node("lim-a-1").board().Self.State, MemberState::Active);
}

// Guards against an instance that takes traffic it has no configuration for.
TEST_F(MembershipTest, InstanceWithoutConfigurationStaysJoining) {
  Net.start("lim-a-1", "lim-a");
  Net.run(seconds(5));
  EXPECT_EQ(Net.node("lim-a-1").board().Self.State, MemberState::Joining);
  acceptZones();
  Net.run(milliseconds(50));
  EXPECT_EQ(Net.node("lim-a-1").board().Self.State, MemberState::Active);
}

TEST_F(MembershipTest, EightInstancesFindEachOther) {
  startRegion(8);
  EXPECT_EQ(deathsSeen(), 0U);
}

// Guards against slow detection: the takeover of flows waits for it.
TEST_F(MembershipTest, KilledInstanceIsDeadEverywhereWithinTwoSeconds) {
  startRegion(8);
  Duration Worst{};
  for (size_t Index = 0; Index < 5; ++Index) {
    const std::string Name = nameOfInstance(Index);
    const TimePoint Start = Net.TimeSource.Now;
    Net.kill(Name);
    ASSERT_TRUE(
        runUntil(seconds(5), [&] { return allSee(Name, MemberState::Dead); }));
    Worst = std::max(Worst, Duration(Net.TimeSource.Now - Start));
    Net.restart(Name);
    ASSERT_TRUE(runUntil(seconds(20), [&] { return allActive(); }));
  }
  RecordProperty("WorstMilliseconds", std::to_string(Worst.count() / 1000));
  EXPECT_LE(Worst, seconds(2));
}

// Guards against deaths declared because single datagrams were lost.
TEST_F(MembershipTest, TenPercentLossDeclaresNobodyDead) {
  startRegion(8);
  for (const auto &[From, A] : Net.Nodes)
    for (const auto &[To, B] : Net.Nodes)
      Net.link(From, To).Drop = 0.1;
  Net.run(seconds(60));
  EXPECT_EQ(deathsSeen(), 0U);
}

// Guards against one instance with bad reception accusing all others.
TEST_F(MembershipTest, InstanceThatHearsLittleDoesNotMakeTheRegionFlap) {
  startRegion(8);
  for (const auto &[From, A] : Net.Nodes)
    Net.link(From, "lim-a-1").Drop = 0.4;
  Net.run(seconds(60));
  EXPECT_EQ(deathsSeen(), 0U);
}

// Guards against a one-way cut being taken for a death, and against messages
// that keep being sent into the cut.
TEST_F(MembershipTest, OneWayCutIsBridgedByAnotherMember) {
  startRegion(8);
  Net.link("lim-a-1", "lim-b-1").Cut = true;
  Net.run(seconds(30));
  EXPECT_EQ(deathsSeen(), 0U);
  const Member *Known =
      Net.node("lim-a-1").board().Members.find(instanceIdOf("lim-b-1"));
  EXPECT_NE(Known->RelayMember, InstanceId());
  Net.link("lim-a-1", "lim-b-1").Cut = false;
  Net.run(seconds(5));
  EXPECT_EQ(Known->RelayMember, InstanceId());
}

// Guards against two zones that lost each other directly but share a third.
TEST_F(MembershipTest, ZonesCutFromEachOtherStayAliveThroughAThird) {
  startRegion(8);
  for (const char *A : {"lim-a-1", "lim-a-2"})
    for (const char *B : {"lim-b-1", "lim-b-2"})
      Net.cutBoth(A, B);
  Net.run(seconds(30));
  EXPECT_EQ(deathsSeen(), 0U);
}

// Guards against acting on an order of dead processes: the name is the same.
TEST_F(MembershipTest, RestartReplacesTheOldProcess) {
  startRegion(4);
  const uint64_t Before = Net.node("lim-b-1").board().EngineMetrics.MembersLost;
  Net.restart("lim-a-1");
  ASSERT_TRUE(runUntil(seconds(10), [&] { return allActive(); }));
  EXPECT_EQ(Net.node("lim-b-1").board().EngineMetrics.MembersLost, Before + 1);
}

// Guards against an address that another instance took over hiding the death
// of its previous user.
TEST_F(MembershipTest, ReusedAddressIsAnotherInstance) {
  startRegion(4);
  const Endpoint Address = Net.node("lim-a-1").Settings.Address;
  Net.kill("lim-a-1");
  Net.node("lim-a-1").Settings.Address = {};
  Net.start("lim-a-9", "lim-a");
  Net.node("lim-a-9").Settings.Address = Address;
  Net.restart("lim-a-9");
  ASSERT_TRUE(runUntil(seconds(2),
                       [&] { return allSee("lim-a-1", MemberState::Dead); }));
  ASSERT_TRUE(runUntil(seconds(10), [&] { return allActive(); }));
}

// Guards against work for a process that no longer exists, and from one.
TEST_F(MembershipTest, DatagramOfADeadBootIsDropped) {
  startRegion(4);
  const Sender Old{instanceIdOf("lim-a-1"), Net.node("lim-a-1").Settings.Boot};
  Net.restart("lim-a-1");
  ASSERT_TRUE(runUntil(seconds(10), [&] { return allActive(); }));
  auto &Receiver = Net.node("lim-b-1");
  const uint64_t Before = Receiver.board().EngineMetrics.OutdatedSenders;
  Net.handle(Receiver, DatagramReceived{Net.node("lim-a-1").Settings.Address,
                                        Old, CancelSubmit{SubmitId(1)}});
  EXPECT_EQ(Receiver.board().EngineMetrics.OutdatedSenders, Before + 1);
}

// Guards against a region that does not grow together again: each side has
// declared the other one dead.
TEST_F(MembershipTest, PartitionHeals) {
  startRegion(8);
  const auto Cut = [&](bool On) {
    for (const auto &[A, First] : Net.Nodes)
      for (const auto &[B, Second] : Net.Nodes)
        if (A < "lim-c" && B > "lim-c")
          Net.cutBoth(A, B, On);
  };
  Cut(true);
  ASSERT_TRUE(runUntil(seconds(10), [&] {
    return stateAt("lim-a-1", "lim-d-1") == MemberState::Dead &&
           stateAt("lim-d-1", "lim-a-1") == MemberState::Dead;
  }));
  EXPECT_EQ(stateAt("lim-a-1", "lim-b-1"), MemberState::Active);
  Net.run(seconds(20));
  Cut(false);
  EXPECT_TRUE(runUntil(seconds(10), [&] { return allActive(); }));
}

// Guards against two instances that both believe to be alone for long.
TEST_F(MembershipTest, InstancesThatStartedAloneFindEachOther) {
  acceptZones();
  Net.start("lim-a-1", "lim-a");
  Net.start("lim-b-1", "lim-b");
  Net.cutBoth("lim-a-1", "lim-b-1");
  Net.run(seconds(3));
  Net.cutBoth("lim-a-1", "lim-b-1", false);
  EXPECT_TRUE(runUntil(seconds(3), [&] { return allActive(); }));
}

// Guards against trusting the platform's list: it lags.
TEST_F(MembershipTest, ListedInstanceIsOnlyAnAddressToProbe) {
  startRegion(4);
  InstanceListObserved List;
  List.Instances.push_back({"lim-a-7", "lim-a", {0x7f000001, 9999}, false});
  List.Instances.push_back(
      {"lim-b-1", "lim-b", Net.node("lim-b-1").Settings.Address, true});
  Net.handle(Net.node("lim-a-1"), List);
  Net.run(seconds(3));
  EXPECT_EQ(Net.node("lim-a-1").board().Members.find(instanceIdOf("lim-a-7")),
            nullptr);
  EXPECT_TRUE(allActive());
}

} // namespace
} // namespace indigopoint
