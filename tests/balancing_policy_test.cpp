#include "balancing_policy.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

class BalancingPolicyTest : public testing::Test {
protected:
  Upstream make(uint64_t Id, const std::string &Zone, uint32_t Flows = 0) {
    Upstream Result(Reachability);
    Result.Registration.Id = UpstreamId(Id);
    Result.Registration.Zone = Zone;
    Result.Registration.Slots = 2;
    Result.OpenFlows = Flows;
    return Result;
  }

  Upstream *choose(uint16_t Port = 1, UpstreamId UpstreamToAvoid = {}) {
    NewFlow Flow{{{0x64400001, Port}, {0xc6120001, 443}}, UpstreamToAvoid};
    return Policy({&FirstUpstream, &SecondUpstream, &OtherZoneUpstream}, Flow,
                  Now);
  }

  void makeSuspect(Upstream &Target) {
    Target.Reachability.recordOpenTimeout(Now);
  }

  // Gives the upstream an average response time.
  void answer(Upstream &Target, Duration ResponseTime) {
    for (int Count = 0; Count < 8; ++Count)
      Target.ResponseTimes.record(ResponseTime, Now);
  }

  int countChoicesOf(const Upstream &Target) {
    int Count = 0;
    for (uint16_t Port = 0; Port < 100; ++Port)
      Count += choose(Port) == &Target ? 1 : 0;
    return Count;
  }

  ReachabilityOptions Reachability;
  TimePoint Now{1h};
  BalancingPolicy Policy = makeZoneAwareLeastFlowsPolicy("a");
  Upstream FirstUpstream = make(1, "a");
  Upstream SecondUpstream = make(2, "a");
  Upstream OtherZoneUpstream = make(3, "b");
};

TEST_F(BalancingPolicyTest, ReturnsNullWithoutUpstreams) {
  EXPECT_EQ(Policy({}, {}, Now), nullptr);
}

TEST_F(BalancingPolicyTest, PrefersUpstreamWithFewerFlows) {
  FirstUpstream.OpenFlows = 1;
  EXPECT_EQ(choose(), &SecondUpstream);
}

TEST_F(BalancingPolicyTest, UpstreamWithMoreSlotsGetsMoreFlows) {
  FirstUpstream.OpenFlows = 3;
  FirstUpstream.Registration.Slots = 8;
  SecondUpstream.OpenFlows = 1;
  EXPECT_EQ(choose(), &FirstUpstream);
}

// Guards against instances that all send their first flows to the same
// upstream.
TEST_F(BalancingPolicyTest, EqualUpstreamsShareNewFlows) {
  int FirstCount = 0;
  for (uint16_t Port = 0; Port < 100; ++Port)
    FirstCount += choose(Port) == &FirstUpstream ? 1 : 0;
  EXPECT_GT(FirstCount, 25);
  EXPECT_LT(FirstCount, 75);
}

TEST_F(BalancingPolicyTest, PrefersOwnZoneToLowerLoad) {
  FirstUpstream.OpenFlows = SecondUpstream.OpenFlows = 50;
  EXPECT_NE(choose(), &OtherZoneUpstream);
}

// Guards against overload of a zone's remaining upstreams by the flows of the
// lost ones. In a test scenario with three of five upstreams unreachable, the
// other two shed 450 requests while other zones had free slots.
TEST_F(BalancingPolicyTest, ZoneThatLostHalfOfItsSlotsSendsHalfToOtherZones) {
  choose();
  makeSuspect(FirstUpstream);
  int OtherZoneCount = 0;
  for (uint16_t Port = 0; Port < 1000; ++Port)
    OtherZoneCount += choose(Port) == &OtherZoneUpstream ? 1 : 0;
  EXPECT_GT(OtherZoneCount, 400);
  EXPECT_LT(OtherZoneCount, 600);
}

// Flows between zones fail in a network partition, so a zone that lost few
// slots keeps its flows.
TEST_F(BalancingPolicyTest, ZoneThatLostFewSlotsKeepsItsFlows) {
  FirstUpstream.Registration.Slots = 8;
  choose();
  makeSuspect(SecondUpstream);
  for (uint16_t Port = 0; Port < 100; ++Port)
    EXPECT_EQ(choose(Port), &FirstUpstream);
}

// A zone that has few slots by design serves its own clients without other
// zones.
TEST_F(BalancingPolicyTest, SmallZoneKeepsItsFlows) {
  OtherZoneUpstream.Registration.Slots = 100;
  for (uint16_t Port = 0; Port < 100; ++Port)
    EXPECT_NE(choose(Port), &OtherZoneUpstream);
}

TEST_F(BalancingPolicyTest, LastingCapacityLossBecomesTheBaseline) {
  choose();
  const std::vector<Upstream *> RemainingUpstreams = {&SecondUpstream,
                                                      &OtherZoneUpstream};
  const auto CountOtherZone = [&] {
    int Count = 0;
    for (uint16_t Port = 0; Port < 100; ++Port)
      Count += Policy(RemainingUpstreams, {{{1, Port}, {2, 443}}, {}}, Now) ==
                       &OtherZoneUpstream
                   ? 1
                   : 0;
    return Count;
  };
  EXPECT_GT(CountOtherZone(), 30);
  Now += 61s;
  EXPECT_EQ(CountOtherZone(), 0);
}

TEST_F(BalancingPolicyTest, PrefersResponsiveUpstreamsToOwnZone) {
  makeSuspect(FirstUpstream);
  makeSuspect(SecondUpstream);
  EXPECT_EQ(choose(), &OtherZoneUpstream);
}

TEST_F(BalancingPolicyTest, UpstreamToAvoidIsTheLastResort) {
  EXPECT_EQ(choose(1, UpstreamId(1)), &SecondUpstream);
  EXPECT_EQ(Policy({&FirstUpstream}, {{}, UpstreamId(1)}, Now), &FirstUpstream);
}

// Guards against slow upstreams that get as many new flows as the others, whose
// requests then queue there while the others have free slots.
TEST_F(BalancingPolicyTest, SlowUpstreamGetsFewerFlows) {
  answer(FirstUpstream, 200ms);
  answer(SecondUpstream, 50ms);
  answer(OtherZoneUpstream, 50ms);
  EXPECT_EQ(countChoicesOf(FirstUpstream), 0);
  FirstUpstream.OpenFlows = 1;
  SecondUpstream.OpenFlows = 8;
  EXPECT_EQ(choose(), &FirstUpstream);
}

TEST_F(BalancingPolicyTest, SmallDifferencesOfResponseTimesAreIgnored) {
  answer(FirstUpstream, 60ms);
  answer(SecondUpstream, 50ms);
  answer(OtherZoneUpstream, 50ms);
  EXPECT_GT(countChoicesOf(FirstUpstream), 25);
}

// Guards against an upstream that is avoided forever, because it gets no flows
// that would show that it has recovered.
TEST_F(BalancingPolicyTest, OldResponseTimesAreForgotten) {
  answer(FirstUpstream, 200ms);
  answer(SecondUpstream, 50ms);
  answer(OtherZoneUpstream, 50ms);
  Now += 4s;
  EXPECT_GT(countChoicesOf(FirstUpstream), 25);
}

TEST_F(BalancingPolicyTest, OptionsSwitchOffTheRules) {
  PlacementOptions Opts;
  Opts.CountResponseTime = false;
  Opts.PreferOwnZone = false;
  Opts.AvoidSuspects = false;
  Policy = makeZoneAwareLeastFlowsPolicy("a", Opts);
  answer(FirstUpstream, 200ms);
  answer(SecondUpstream, 50ms);
  answer(OtherZoneUpstream, 50ms);
  makeSuspect(FirstUpstream);
  EXPECT_GT(countChoicesOf(FirstUpstream), 15);
  EXPECT_GT(countChoicesOf(OtherZoneUpstream), 15);
}

TEST_F(BalancingPolicyTest, StartingUpstreamCountsHalfOfItsSlots) {
  FirstUpstream.OpenFlows = SecondUpstream.OpenFlows = 2;
  FirstUpstream.WarmupEnd = Now + 1s;
  EXPECT_EQ(flowsPerSlot(FirstUpstream, Now),
            2 * flowsPerSlot(SecondUpstream, Now));
  EXPECT_EQ(choose(), &SecondUpstream);
}

} // namespace
} // namespace indigopoint
