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
  void publishZones() {
    ConfigChange Change;
    Change.Version = ConfigVersion(1);
    Change.Zones.emplace();
    for (const char *Zone : ZoneNames)
      Change.Zones->push_back({Zone, "lim"});
    Net.publishChange(Change);
  }
  /// Starts a region and waits until all of its instances are active.
  void startRegion(size_t Count) {
    publishZones();
    for (size_t Index = 0; Index < Count; ++Index)
      Net.start(nameOfInstance(Index), ZoneNames[Index % 4]);
    ASSERT_TRUE(runUntil(seconds(20), [&] { return areAllActive(); }));
    Net.run(seconds(2));
  }
  bool runUntil(Duration Limit, const std::function<bool()> &Condition) {
    const TimePoint End = Net.TimeSource.Now + Limit;
    while (!Condition() && Net.TimeSource.Now < End)
      Net.run(milliseconds(10));
    return Condition();
  }
  MemberState stateAt(const std::string &Observer, const std::string &Subject) {
    const Member *Peer =
        Net.node(Observer).board().Members.find(instanceIdOf(Subject));
    return Peer == nullptr ? MemberState::Left : Peer->State;
  }
  /// Whether each running instance sees \p Subject in \p State.
  bool doAllSee(const std::string &Subject, MemberState State) {
    for (const auto &[Name, Node] : Net.Nodes)
      if (Node.runs() && Name != Subject && stateAt(Name, Subject) != State)
        return false;
    return true;
  }
  bool areAllActive() {
    for (const auto &[Name, Node] : Net.Nodes)
      if (Node.runs() && (Node.board().Self.State != MemberState::Active ||
                          !doAllSee(Name, MemberState::Active)))
        return false;
    return true;
  }
  uint64_t membersLost() {
    uint64_t Count = 0;
    for (const auto &[Name, Node] : Net.Nodes)
      Count += Node.Engine ? Node.board().EngineMetrics.MembersLost : 0;
    return Count;
  }

  EngineNetwork Net;
};

// Checks the fixture: a change in the store has to reach every running engine
// within 5 s, as a configuration change has to in production.
TEST_F(MembershipTest, StoreChangeReachesRunningEngines) {
  Net.start("lim-a-1", "lim-a");
  Net.start("lim-b-1", "lim-b");
  publishZones();
  Net.run(seconds(5));
  for (const auto &[Name, Node] : Net.Nodes)
    EXPECT_EQ(Node.board().Config.Version, ConfigVersion(1)) << Name;
}

// Guards against a single instance that waits for other members forever.
TEST_F(MembershipTest, LoneInstanceIsActiveAfterOneSecond) {
  publishZones();
  Net.start("lim-a-1", "lim-a");
  Net.run(milliseconds(900));
  EXPECT_EQ(Net.node("lim-a-1").board().Self.State, MemberState::Joining);
  Net.run(milliseconds(200));
  EXPECT_EQ(Net.node("lim-a-1").board().Self.State, MemberState::Active);
}

// Guards against an instance that becomes active without a configuration.
TEST_F(MembershipTest, InstanceWithoutConfigurationStaysJoining) {
  Net.start("lim-a-1", "lim-a");
  Net.run(seconds(5));
  EXPECT_EQ(Net.node("lim-a-1").board().Self.State, MemberState::Joining);
  publishZones();
  Net.run(milliseconds(50));
  EXPECT_EQ(Net.node("lim-a-1").board().Self.State, MemberState::Active);
}

TEST_F(MembershipTest, EightInstancesFindEachOther) {
  startRegion(8);
  EXPECT_EQ(membersLost(), 0U);
}

// Guards against slow detection of a death, on which the takeover of flows
// depends.
TEST_F(MembershipTest, KilledInstanceIsDeadEverywhereWithinTwoSeconds) {
  startRegion(8);
  Duration Worst{};
  for (size_t Index = 0; Index < 5; ++Index) {
    const std::string Name = nameOfInstance(Index);
    const TimePoint Start = Net.TimeSource.Now;
    Net.kill(Name);
    ASSERT_TRUE(runUntil(seconds(5),
                         [&] { return doAllSee(Name, MemberState::Dead); }));
    Worst = std::max(Worst, Duration(Net.TimeSource.Now - Start));
    Net.restart(Name);
    ASSERT_TRUE(runUntil(seconds(20), [&] { return areAllActive(); }));
  }
  RecordProperty("WorstMilliseconds", std::to_string(Worst.count() / 1000));
  EXPECT_LE(Worst, seconds(2));
}

// Guards against deaths declared because single datagrams were lost.
TEST_F(MembershipTest, TenPercentLossDeclaresNobodyDead) {
  startRegion(8);
  for (const auto &[From, A] : Net.Nodes)
    for (const auto &[To, B] : Net.Nodes)
      Net.link(From, To).DropProbability = 0.1;
  Net.run(seconds(60));
  EXPECT_EQ(membersLost(), 0U);
}

// Guards against one instance that loses many incoming datagrams and therefore
// declares other members dead.
TEST_F(MembershipTest, InstanceWithIncomingLossCausesNoDeaths) {
  startRegion(8);
  for (const auto &[From, A] : Net.Nodes)
    Net.link(From, "lim-a-1").DropProbability = 0.4;
  Net.run(seconds(60));
  EXPECT_EQ(membersLost(), 0U);
}

// Guards against a one-way cut that is treated as a death, and against messages
// that are sent directly although they cannot arrive.
TEST_F(MembershipTest, OneWayCutIsBypassedThroughAnotherMember) {
  startRegion(8);
  Net.link("lim-a-1", "lim-b-1").Cut = true;
  Net.run(seconds(30));
  EXPECT_EQ(membersLost(), 0U);
  const Member *Peer =
      Net.node("lim-a-1").board().Members.find(instanceIdOf("lim-b-1"));
  EXPECT_NE(Peer->RelayMember, InstanceId());
  Net.link("lim-a-1", "lim-b-1").Cut = false;
  Net.run(seconds(5));
  EXPECT_EQ(Peer->RelayMember, InstanceId());
}

// Guards against deaths declared between two zones that cannot reach each other
// directly, but can both reach a third zone.
TEST_F(MembershipTest, ZonesCutFromEachOtherStayAliveThroughAThird) {
  startRegion(8);
  for (const char *A : {"lim-a-1", "lim-a-2"})
    for (const char *B : {"lim-b-1", "lim-b-2"})
      Net.cutBoth(A, B);
  Net.run(seconds(30));
  EXPECT_EQ(membersLost(), 0U);
}

// Guards against treating a new process as the old one because both have the
// same name: the loss of the old process has to be noticed exactly once.
TEST_F(MembershipTest, RestartReplacesTheOldProcess) {
  startRegion(4);
  const uint64_t LostBefore =
      Net.node("lim-b-1").board().EngineMetrics.MembersLost;
  Net.restart("lim-a-1");
  ASSERT_TRUE(runUntil(seconds(10), [&] { return areAllActive(); }));
  EXPECT_EQ(Net.node("lim-b-1").board().EngineMetrics.MembersLost,
            LostBefore + 1);
}

// Guards against an instance whose death goes unnoticed because another
// instance now answers at its address.
TEST_F(MembershipTest, ReusedAddressDoesNotHideDeath) {
  startRegion(4);
  const Endpoint Address = Net.node("lim-a-1").Settings.Address;
  Net.kill("lim-a-1");
  Net.node("lim-a-1").Settings.Address = {};
  Net.start("lim-a-9", "lim-a");
  Net.node("lim-a-9").Settings.Address = Address;
  Net.restart("lim-a-9");
  ASSERT_TRUE(runUntil(seconds(2),
                       [&] { return doAllSee("lim-a-1", MemberState::Dead); }));
  ASSERT_TRUE(runUntil(seconds(10), [&] { return areAllActive(); }));
}

// Guards against handling a message of a process that was replaced.
TEST_F(MembershipTest, DatagramOfReplacedProcessIsDropped) {
  startRegion(4);
  const Sender ReplacedSender{instanceIdOf("lim-a-1"),
                              Net.node("lim-a-1").Settings.Boot};
  Net.restart("lim-a-1");
  ASSERT_TRUE(runUntil(seconds(10), [&] { return areAllActive(); }));
  auto &Receiver = Net.node("lim-b-1");
  const uint64_t OutdatedBefore =
      Receiver.board().EngineMetrics.OutdatedSenders;
  Net.handle(Receiver,
             DatagramReceived{Net.node("lim-a-1").Settings.Address,
                              ReplacedSender, CancelSubmit{SubmitId(1)}});
  EXPECT_EQ(Receiver.board().EngineMetrics.OutdatedSenders, OutdatedBefore + 1);
}

// Guards against a region that stays split after a partition, in which each
// side has declared the other one dead.
TEST_F(MembershipTest, PartitionHeals) {
  startRegion(8);
  const auto Cut = [&](bool IsCut) {
    for (const auto &[A, First] : Net.Nodes)
      for (const auto &[B, Second] : Net.Nodes)
        if (A < "lim-c" && B > "lim-c")
          Net.cutBoth(A, B, IsCut);
  };
  Cut(true);
  ASSERT_TRUE(runUntil(seconds(10), [&] {
    return stateAt("lim-a-1", "lim-d-1") == MemberState::Dead &&
           stateAt("lim-d-1", "lim-a-1") == MemberState::Dead;
  }));
  EXPECT_EQ(stateAt("lim-a-1", "lim-b-1"), MemberState::Active);
  Net.run(seconds(20));
  Cut(false);
  EXPECT_TRUE(runUntil(seconds(10), [&] { return areAllActive(); }));
}

// Guards against two instances that do not find each other after each of them
// became active alone.
TEST_F(MembershipTest, InstancesThatStartedAloneFindEachOther) {
  publishZones();
  Net.start("lim-a-1", "lim-a");
  Net.start("lim-b-1", "lim-b");
  Net.cutBoth("lim-a-1", "lim-b-1");
  Net.run(seconds(3));
  Net.cutBoth("lim-a-1", "lim-b-1", false);
  EXPECT_TRUE(runUntil(seconds(3), [&] { return areAllActive(); }));
}

// Guards against taking members or states from the platform's list, which
// lags.
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
  EXPECT_TRUE(areAllActive());
}

} // namespace
} // namespace indigopoint
