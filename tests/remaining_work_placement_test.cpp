// Placement of new flows by the remaining work of the upstreams.

#include <algorithm>
#include <map>
#include <memory>

#include <gtest/gtest.h>

#include "flow_steering.h"
#include "manual_clock.h"
#include "placement.h"
#include "random_source.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr Endpoint ChatAddress{0xc6120001, 443};
constexpr Endpoint PhotoAddress{0xc6120001, 8443};

PlacementOptions withRemainingWork() {
  PlacementOptions Opts;
  Opts.CountRemainingWork = true;
  // The long requests would make their upstream unresponsive as well.
  Opts.AvoidUnresponsive = false;
  return Opts;
}

// An instance and the clients of two routes to two upstreams.
class Instance {
public:
  explicit Instance(const PlacementOptions &Opts)
      : Steering({"a", makeZoneAwareLeastFlowsPolicy("a", Opts), Opts},
                 TimeSource, Routes, Upstreams, Metrics,
                 {[](const FlowAddress &, const Upstream &) {},
                  [](const Upstream &) {},
                  [](const PacketHeader &, const SteeringDecision &) {}}) {
    Routes.apply({ConfigVersion(1),
                  {{"chat", ChatAddress, {{"chat", 1}}, true},
                   {"photos", PhotoAddress, {{"chat", 1}}, true}},
                  15s});
    start(1, 1);
    start(2, 1);
    Upstreams.markComplete();
  }

  void start(uint64_t Id, int64_t StartedAtMs) {
    UpstreamRegistration Registration;
    Registration.Id = UpstreamId(Id);
    Registration.Service = "chat";
    Registration.Zone = "a";
    Registration.Address = {static_cast<uint32_t>(Id), 80};
    Registration.Slots = 2;
    Registration.StartedAtMs = StartedAtMs;
    Upstreams.put(Registration, Id, TimeSource.now());
  }

  uint64_t open(uint16_t Port, Endpoint Route = ChatAddress) {
    PacketHeader Packet = packet(Port, Route);
    Packet.IsOpening = true;
    const SteeringDecision Decision = Steering.steer(Packet);
    Tags[Port] = tagOf(Packet.Flow, Decision.Target->Registration.Id);
    return Decision.Target->Registration.Id.value();
  }

  void sendRequest(uint16_t Port, Endpoint Route = ChatAddress) {
    PacketHeader Packet = packet(Port, Route);
    Packet.Sequence = 1 + 100 * Requests[Port]++;
    Packet.AckNumber = 1 + Answers[Port];
    Packet.DataBytes = 100;
    Steering.steer(Packet);
  }

  void acknowledge(uint16_t Port, bool IsFinal, Endpoint Route = ChatAddress) {
    PacketHeader Packet = packet(Port, Route);
    Packet.Sequence = 1 + 100 * Requests[Port];
    Packet.AckNumber = 1 + ++Answers[Port];
    Packet.IsFinal = IsFinal;
    Steering.steer(Packet);
  }

  // Flows of one request, of which 3% take 7 times as long.
  void learn() {
    for (int Count = 0; Count < 400; ++Count) {
      const auto Port = static_cast<uint16_t>(1000 + Count);
      open(Port);
      sendRequest(Port);
      TimeSource.advance(Count % 33 == 0 ? 210ms : 30ms);
      acknowledge(Port, true);
    }
  }

  // Opens flows until both upstreams have one; the flow of upstream 1 waits for
  // an answer since 150 ms, upstream 2 has two flows that wait for none.
  void openLongRequestAndIdleFlows() {
    uint16_t Port = 1;
    std::map<uint64_t, int> Kept;
    for (; Kept[1] < 1 || Kept[2] < 2; ++Port) {
      const uint64_t Id = open(Port);
      sendRequest(Port);
      const int Wanted = Id == 1 ? 1 : 2;
      const bool IsKept = Kept[Id] < Wanted;
      Kept[Id] += IsKept ? 1 : 0;
      if (!IsKept || Id == 2) {
        TimeSource.advance(30ms);
        acknowledge(Port, !IsKept);
      }
    }
    TimeSource.advance(150ms);
  }

  ManualClock TimeSource;

private:
  PacketHeader packet(uint16_t Port, Endpoint Route) {
    PacketHeader Packet;
    Packet.Flow = {{0x64400000U + Port, Port}, Route};
    Packet.Tag = Tags[Port];
    return Packet;
  }

  RouteTable Routes;
  UpstreamRegistry Upstreams;
  SteeringMetrics Metrics;
  FlowSteering Steering;
  std::map<uint16_t, FlowTag> Tags;
  std::map<uint16_t, uint32_t> Requests;
  std::map<uint16_t, uint32_t> Answers;
};

int countChoicesOfFirst(Instance &Tested, Endpoint Route = ChatAddress) {
  int Count = 0;
  for (uint16_t Port = 100; Port < 120; ++Port) {
    Count += Tested.open(Port, Route) == 1 ? 1 : 0;
    Tested.sendRequest(Port, Route);
    Tested.acknowledge(Port, true, Route);
  }
  return Count;
}

// Guards against a request that queues behind a long one while a neighbour with
// more flows is idle. By the number of flows, all 20 flows choose the upstream
// with the long request.
TEST(RemainingWorkPlacementTest, FlowsAvoidALongRequestWhileANeighbourIsIdle) {
  Instance ByFlows({});
  ByFlows.learn();
  ByFlows.openLongRequestAndIdleFlows();
  EXPECT_EQ(countChoicesOfFirst(ByFlows), 20);

  Instance ByWork(withRemainingWork());
  ByWork.learn();
  ByWork.openLongRequestAndIdleFlows();
  EXPECT_EQ(countChoicesOfFirst(ByWork), 0);
}

// Guards against assumptions after a start of the instance: without samples it
// decides by the number of flows.
TEST(RemainingWorkPlacementTest, InstanceWithoutSamplesCountsFlows) {
  Instance Restarted(withRemainingWork());
  Restarted.openLongRequestAndIdleFlows();
  EXPECT_EQ(countChoicesOfFirst(Restarted), 20);
}

TEST(RemainingWorkPlacementTest, FlowsOfUnknownRoutesCountFlows) {
  Instance Tested(withRemainingWork());
  Tested.learn();
  Tested.openLongRequestAndIdleFlows();
  EXPECT_EQ(countChoicesOfFirst(Tested, PhotoAddress), 20);
}

// Guards against an upstream that is avoided after its restart because of a
// request that its earlier process never answered.
TEST(RemainingWorkPlacementTest, RestartedUpstreamHasNoRemainingWork) {
  Instance Tested(withRemainingWork());
  Tested.learn();
  Tested.openLongRequestAndIdleFlows();
  Tested.start(1, 2);
  EXPECT_EQ(countChoicesOfFirst(Tested), 20);
}

class ReportedWorkTest : public testing::Test {
protected:
  static constexpr size_t UpstreamCount = 30;
  static constexpr size_t IdleUpstream = 7;

  ReportedWorkTest() {
    for (size_t Index = 0; Index < UpstreamCount; ++Index) {
      auto Created = std::make_unique<Upstream>(Reachability);
      Created->Registration.Id = UpstreamId(Index * 7919 + 1);
      Created->Registration.Zone = "a";
      Created->Registration.Slots = 2;
      Candidates.push_back(Created.get());
      Upstreams.push_back(std::move(Created));
    }
    for (int Count = 0; Count < 100; ++Count)
      Costs.record(ChatAddress, 30ms, Now);
  }

  void report(Duration Age) {
    for (size_t Index = 0; Index < UpstreamCount; ++Index)
      Work.recordReport({{Candidates[Index]->Registration.Id, 0},
                         {1, 1},
                         Index == IdleUpstream ? 0.0 : 2.0,
                         Now - Age});
  }

  NewFlow flow(uint32_t Client) const {
    return {{{Client, 1}, ChatAddress}, {}, 0, &Work};
  }

  // How many of the flows choose the idle upstream.
  int countChoicesOfIdle(uint32_t FlowCount) {
    int Count = 0;
    for (uint32_t Client = 0; Client < FlowCount; ++Client)
      Count += Policy(Candidates, flow(Client), Now) == Candidates[IdleUpstream]
                   ? 1
                   : 0;
    return Count;
  }

  ReachabilityOptions Reachability;
  TimePoint Now{1h};
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  std::vector<Upstream *> Candidates;
  CostModel Costs;
  RemainingWork Work{Costs};
  BalancingPolicy Policy =
      makeZoneAwareLeastFlowsPolicy("a", withRemainingWork());
};

// Guards against 16 instances with the same reports that all open their next
// flow on the only idle upstream. It is one of the two choices of a flow in 2
// of 30 cases.
TEST_F(ReportedWorkTest, InstancesDoNotAllChooseTheSameIdleUpstream) {
  report(0ms);
  int MostInARound = 0;
  int Sum = 0;
  for (uint32_t Round = 0; Round < 100; ++Round) {
    int Count = 0;
    for (uint32_t Instance = 0; Instance < 16; ++Instance)
      Count += Policy(Candidates, flow(Round * 16 + Instance), Now) ==
                       Candidates[IdleUpstream]
                   ? 1
                   : 0;
    MostInARound = std::max(MostInARound, Count);
    Sum += Count;
  }
  EXPECT_LE(MostInARound, 6);
  EXPECT_NEAR(Sum, 1600.0 * 2 / 30, 35);
}

// Guards against reports of exchanges that have ended since: with reports of
// 250 ms age, response times were longer than without reports.
TEST_F(ReportedWorkTest, OldReportsDoNotDecide) {
  report(250ms);
  EXPECT_NEAR(countChoicesOfIdle(1600), 1600.0 / 30, 25);
}

// The order before remaining work was introduced.
TEST_F(ReportedWorkTest, DecisionsWithoutTheOptionAreUnchanged) {
  const BalancingPolicy Default = makeZoneAwareLeastFlowsPolicy("a");
  report(0ms);
  RandomSource Random(1);
  for (uint32_t Client = 0; Client < 500; ++Client) {
    Upstream *Expected = nullptr;
    const NewFlow Opened = flow(Client);
    for (Upstream *Candidate : Candidates) {
      Candidate->OpenFlows = static_cast<uint32_t>(Random.below(4));
      Work.start({Candidate->Registration.Id, 0}, ChatAddress,
                 Now - Duration(static_cast<int64_t>(Random.below(300'000))));
    }
    const auto ScoreOf = [&](const Upstream &Target) {
      return std::pair(flowsPerSlot(Target, Now),
                       rendezvousScore(hashOf(Opened.Address),
                                       Target.Registration.Id.value()));
    };
    for (Upstream *Candidate : Candidates)
      if (Expected == nullptr || ScoreOf(*Candidate) < ScoreOf(*Expected))
        Expected = Candidate;
    ASSERT_EQ(Default(Candidates, Opened, Now), Expected) << Client;
  }
}

} // namespace
} // namespace indigopoint
