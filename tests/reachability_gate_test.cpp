#include "reachability_gate.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration MaxStoreAge = seconds(4);
constexpr Duration Step = milliseconds(50);

// One instance that opens a flow at one upstream after the other: upstreams 1
// to 4 of the service chat, 5 and 6 of photos.
class ReachabilityGateTest : public testing::Test {
protected:
  static std::string serviceOf(uint64_t Id) {
    return Id <= 4 ? "chat" : "photos";
  }

  // Sends openings for \p Period, one each step. Updates the gate like the
  // forwarder does and returns the time for which it was not reachable.
  Duration run(Duration Period) {
    Duration Unreachable{};
    for (const TimePoint End = TimeSource.Now + Period; TimeSource.Now < End;
         TimeSource.advance(Step)) {
      if (IsStoreUp)
        ConfirmedAt = TimeSource.Now;
      Gate.update(inputs(), TimeSource.Now);
      if (!Gate.isReachable(TimeSource.Now)) {
        Unreachable += Step;
        continue;
      }
      if (Targets.empty())
        continue;
      const uint64_t Id = Targets[Turn++ % Targets.size()];
      Gate.recordSent(serviceOf(Id), UpstreamId(Id), false, TimeSource.Now);
      if (Answers(Id))
        Gate.recordAnswer(false, TimeSource.Now);
    }
    return Unreachable;
  }

  ManualClock TimeSource;
  ReachabilityGate Gate;
  ReachabilityGate::Inputs inputs() const {
    return {Known, {}, ConfirmedAt + MaxStoreAge, {}};
  }

  ReachabilityGate::Counts Known{6, 2};
  TimePoint ConfirmedAt = TimeSource.Now;
  bool IsStoreUp = true;
  std::vector<uint64_t> Targets = {1, 5, 2, 6, 3, 4};
  std::function<bool(uint64_t)> Answers = [](uint64_t) { return true; };
  size_t Turn = 0;

  static bool never(uint64_t) { return false; }
};

TEST_F(ReachabilityGateTest, StaysReachableWhileUpstreamsAnswer) {
  EXPECT_EQ(run(minutes(1)), Duration());
  IsStoreUp = false;
  EXPECT_EQ(run(minutes(10)), Duration()) << "store down";
}

// Guards against a whole fleet that takes no clients when all upstreams stop
// at once, or when their answers are lost.
TEST_F(ReachabilityGateTest, StaysReachableWhileTheStoreConfirms) {
  Answers = never;
  EXPECT_EQ(run(minutes(10)), Duration());
}

TEST_F(ReachabilityGateTest, StaysReachableWhenOneUpstreamFails) {
  IsStoreUp = false;
  for (uint64_t Failed = 1; Failed <= 6; ++Failed) {
    Answers = [Failed](uint64_t Id) { return Id != Failed; };
    EXPECT_EQ(run(minutes(1)), Duration()) << Failed;
  }
  Answers = never;
  Targets = {1};
  EXPECT_EQ(run(minutes(1)), Duration()) << "without other traffic";
}

// Guards against a failed service that takes the other services of the zone
// with it, also while the other services have no traffic.
TEST_F(ReachabilityGateTest, StaysReachableWhenOneServiceFails) {
  IsStoreUp = false;
  Answers = [](uint64_t Id) { return serviceOf(Id) != "chat"; };
  EXPECT_EQ(run(minutes(10)), Duration());
  Targets = {1, 2, 3, 4};
  EXPECT_EQ(run(minutes(10)), Duration()) << "without other traffic";
}

// Guards against an instance without clients that counts as cut off.
TEST_F(ReachabilityGateTest, StaysReachableWithoutTraffic) {
  const std::vector<uint64_t> AllTargets = std::exchange(Targets, {});
  IsStoreUp = false;
  EXPECT_EQ(run(minutes(10)), Duration()) << "no client ever";
  Targets = AllTargets;
  EXPECT_EQ(run(seconds(10)), Duration());
  Targets.clear();
  EXPECT_EQ(run(minutes(10)), Duration()) << "the clients left";
}

// Guards against openings before a long quiet time that decide later, when the
// store fails.
TEST_F(ReachabilityGateTest, DiscardsOldOpenings) {
  Answers = never;
  run(seconds(3));
  Targets.clear();
  run(milliseconds(1100));
  IsStoreUp = false;
  EXPECT_EQ(run(minutes(10)), Duration());
}

// Guards against answers that count as missing before they can have come.
TEST_F(ReachabilityGateTest, GivesUpstreamsTimeToAnswer) {
  IsStoreUp = false;
  Targets.clear();
  run(minutes(1));
  for (int Burst = 0; Burst < 100; ++Burst) {
    for (const uint64_t Id : {1, 2, 5, 6})
      Gate.recordSent(serviceOf(Id), UpstreamId(Id), false, TimeSource.Now);
    EXPECT_EQ(run(milliseconds(150)), Duration());
    Gate.recordAnswer(false, TimeSource.Now);
    EXPECT_EQ(run(seconds(3)), Duration());
  }
}

TEST_F(ReachabilityGateTest, ACutZoneWithRestartedUpstreamsIsNotReachable) {
  run(seconds(10));
  IsStoreUp = false;
  Answers = never;
  const TimePoint Cut = TimeSource.Now;
  EXPECT_EQ(run(MaxStoreAge), Duration());
  run(milliseconds(200));
  EXPECT_FALSE(Gate.isReachable(TimeSource.Now));
  EXPECT_GE(TimeSource.Now - Cut, MaxStoreAge);
}

TEST_F(ReachabilityGateTest, NeedsASecondWithoutAnswer) {
  IsStoreUp = false;
  run(seconds(30));
  Answers = never;
  EXPECT_EQ(run(milliseconds(1000)), Duration());
  run(milliseconds(200));
  EXPECT_FALSE(Gate.isReachable(TimeSource.Now));
}

TEST_F(ReachabilityGateTest, AllUpstreamsAreEnoughIfThereAreFewerThanThree) {
  IsStoreUp = false;
  Answers = never;
  Known = {2, 1};
  Targets = {1};
  EXPECT_EQ(run(seconds(20)), Duration()) << "one of two";
  Targets = {1, 2};
  EXPECT_GT(run(seconds(20)), Duration());
}

// Guards against an evacuation that closes instances which still have to refuse
// openings and to forward the packets of open flows.
TEST_F(ReachabilityGateTest, StaysReachableWhenNoUpstreamTakesFlows) {
  IsStoreUp = false;
  Answers = never;
  Known = {0, 0};
  EXPECT_EQ(run(minutes(1)), Duration());
}

// Guards against a zone that stays closed after the fault has ended.
TEST_F(ReachabilityGateTest, IsReachableAtOnceAfterAnAnswer) {
  IsStoreUp = false;
  Answers = never;
  run(seconds(7));
  ASSERT_FALSE(Gate.isReachable(TimeSource.Now));
  Gate.recordAnswer(false, TimeSource.Now);
  EXPECT_TRUE(Gate.isReachable(TimeSource.Now));
  Answers = [](uint64_t) { return true; };
  EXPECT_EQ(run(minutes(1)), Duration());
}

TEST_F(ReachabilityGateTest, IsReachableAtOnceAfterAConfirmation) {
  IsStoreUp = false;
  Answers = never;
  run(seconds(7));
  ASSERT_FALSE(Gate.isReachable(TimeSource.Now));
  IsStoreUp = true;
  run(Step);
  EXPECT_TRUE(Gate.isReachable(TimeSource.Now));
  EXPECT_EQ(run(minutes(1)), Duration());
}

TEST_F(ReachabilityGateTest, TriesAgainAtGrowingIntervals) {
  IsStoreUp = false;
  Answers = never;
  std::vector<int64_t> TrialsS;
  bool WasReachable = true;
  const TimePoint OutdatedAt = ConfirmedAt + MaxStoreAge;
  for (int Count = 0; Count < 6 * 60 * 20; ++Count) {
    run(Step);
    const bool IsReachable = Gate.isReachable(TimeSource.Now);
    if (IsReachable && !WasReachable)
      TrialsS.push_back(millisecondsOf(TimeSource.Now - OutdatedAt) / 1000);
    WasReachable = IsReachable;
  }
  EXPECT_EQ(TrialsS, (std::vector<int64_t>{10, 30, 70, 130, 190, 250, 310}));
}

// Guards against instances that try one after the other: each of them would
// then get all clients of the zone.
TEST_F(ReachabilityGateTest, InstancesOfAZoneTryAtTheSameTime) {
  IsStoreUp = false;
  Answers = never;
  ReachabilityGate Second;
  run(seconds(7));
  ASSERT_FALSE(Gate.isReachable(TimeSource.Now));
  TimePoint SecondTrial{};
  for (const TimePoint End = TimeSource.Now + seconds(40); TimeSource.Now < End;
       TimeSource.advance(Step)) {
    for (const uint64_t Id : Targets)
      Second.recordSent(serviceOf(Id), UpstreamId(Id), false, TimeSource.Now);
    const bool WasReachable = Second.isReachable(TimeSource.Now - Step);
    Second.update(inputs(), TimeSource.Now);
    if (!WasReachable && Second.isReachable(TimeSource.Now) &&
        SecondTrial == TimePoint())
      SecondTrial = TimeSource.Now;
  }
  EXPECT_FALSE(Gate.isReachable(SecondTrial - Step));
  EXPECT_TRUE(Gate.isReachable(SecondTrial));
}

// Guards against a process that was paused and takes the answers that it has
// not read yet as missing.
TEST_F(ReachabilityGateTest, DiscardsOpeningsBeforeAPause) {
  IsStoreUp = false;
  run(seconds(30));
  Answers = never;
  run(milliseconds(300));
  TimeSource.advance(milliseconds(1500));
  Gate.discardWaits();
  EXPECT_EQ(run(milliseconds(500)), Duration());
}

// The gate with the openings and answers that flow steering finds.
class SteeredGateTest : public SteeringFixture {
protected:
  // Opens a flow of each service and sends the copies of the openings. Clients
  // go on with their flows if \p HasAnswer. Returns whether the gate is
  // reachable afterwards.
  bool openFlows(bool HasAnswer) {
    for (const uint32_t Copy : {0U, 1U, 2U}) {
      for (const Endpoint Address : {ChatAddress, PhotoAddress}) {
        const uint64_t Id =
            idOf(GatedSteering.steer(opening(Port, Address, Copy)));
        if (HasAnswer && Copy == 2)
          GatedSteering.steer(data(Port, Id, 500, Address));
      }
      TimeSource.advance(milliseconds(200U << Copy));
    }
    ++Port;
    Gate.update({Upstreams.available(), {}, ConfirmedAt + MaxStoreAge, {}},
                TimeSource.now());
    return Gate.isReachable(TimeSource.now());
  }

  ReachabilityGate Gate;
  FlowSteering GatedSteering{
      {"a", makeZoneAwareLeastFlowsPolicy("a"), {}, {}, {}, &Gate},
      TimeSource,
      Routes,
      Upstreams,
      Metrics,
      {}};
  const TimePoint ConfirmedAt = TimeSource.now();
  uint16_t Port = 1;
};

// Guards against openings or answers that flow steering does not pass on.
TEST_F(SteeredGateTest, FollowsTheOpeningsAndAnswersOfFlows) {
  EXPECT_EQ(Upstreams.available().Upstreams, 4U);
  EXPECT_EQ(Upstreams.available().Services, 2U);
  for (int Count = 0; Count < 10; ++Count)
    EXPECT_TRUE(openFlows(true));
  bool IsReachable = true;
  for (int Count = 0; Count < 3; ++Count)
    IsReachable = openFlows(false);
  EXPECT_FALSE(IsReachable);
  openFlows(true);
  EXPECT_TRUE(Gate.isReachable(TimeSource.now()));
}

// Guards against one instance that keeps a silent zone in use: it learned of
// the stopped upstreams from others, so none of its own flows waits for them.
TEST_F(SteeredGateTest, CountsUpstreamsThatOthersFoundStopped) {
  for (const uint32_t Sender : {1U, 2U}) {
    PeerReport Report{{Sender, 7000}, "a", 1, {}};
    for (const uint64_t Id : {11, 12, 21})
      Report.Evidence.push_back({UpstreamId(Id), 0, {}, true});
    GatedSteering.recordPeerEvidence(Report);
  }
  TimeSource.advance(milliseconds(600));
  const uint64_t Id = idOf(GatedSteering.steer(opening(1)));
  EXPECT_EQ(Id, 13U);
  TimeSource.advance(milliseconds(7));
  GatedSteering.steer(data(1, Id));
  Gate.update({Upstreams.available(),
               Upstreams.availableIn("a"),
               TimeSource.now() + MaxStoreAge,
               {}},
              TimeSource.now());
  EXPECT_TRUE(Gate.isZoneSilent());
}

} // namespace
} // namespace indigopoint
