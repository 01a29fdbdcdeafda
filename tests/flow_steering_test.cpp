#include "flow_steering.h"

#include <gtest/gtest.h>

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

using FlowSteeringTest = SteeringFixture;

TEST_F(FlowSteeringTest, ANewFlowGoesToAnUpstreamOfItsServiceAndZone) {
  const SteeringDecision Decision = Steering.steer(opening(1, PhotoAddress));
  EXPECT_EQ(Decision.Action, SteeringAction::Forward);
  EXPECT_EQ(Decision.Reason, SteeringReason::NewFlow);
  EXPECT_EQ(idOf(Decision), 21U);
  for (uint16_t Port = 2; Port < 30; ++Port)
    EXPECT_NE(open(Port), 13U);
}

TEST_F(FlowSteeringTest, NewFlowsAreSpreadEvenly) {
  std::map<uint64_t, int> Count;
  for (uint16_t Port = 1; Port <= 100; ++Port)
    ++Count[open(Port)];
  EXPECT_EQ(Count[11], 50);
  EXPECT_EQ(Count[12], 50);
}

// A zone whose upstreams left is served by the others.
TEST_F(FlowSteeringTest, WithoutUpstreamsInTheZoneOthersServe) {
  drain(11, "chat", "a");
  Upstreams.remove(UpstreamId(12), TimeSource.now());
  EXPECT_EQ(open(1), 13U);
}

TEST_F(FlowSteeringTest, PacketsFollowTheirFlowWhileItsUpstreamDrains) {
  const uint64_t Id = open(1);
  drain(Id, "chat", "a");
  EXPECT_EQ(idOf(Steering.steer(data(1, Id, 600))), Id);
  for (uint16_t Port = 2; Port < 20; ++Port)
    EXPECT_NE(open(Port), Id);
}

// Guards open flows while instances die, start and routers hash anew.
TEST_F(FlowSteeringTest, APacketOfAnotherInstancesFlowFollowsItsTag) {
  const SteeringDecision Decision = Steering.steer(data(1, 13));
  EXPECT_EQ(Decision.Reason, SteeringReason::TaggedFlow);
  EXPECT_EQ(idOf(Decision), 13U);
}

// Seen after a change of weights: instances that started later did not know
// that a service had been part of the route, and silenced its open flows.
TEST_F(FlowSteeringTest, AFlowStaysAtAServiceThatItsRouteHasLeft) {
  EXPECT_EQ(idOf(Steering.steer(data(1, 21))), 21U);
}

// A client may write any tag it likes.
TEST_F(FlowSteeringTest, ATagOfAnotherFlowLeadsNowhere) {
  PacketHeader Forged = data(1, 0);
  Forged.Tag = tagOf(data(2, 0).Flow, UpstreamId(21));
  const SteeringDecision Decision = Steering.steer(Forged);
  EXPECT_EQ(Decision.Action, SteeringAction::Drop);
  EXPECT_EQ(Decision.Reason, SteeringReason::UnknownTag);
}

// A throwaway trial broke open flows by resets in its first moments.
TEST_F(FlowSteeringTest, WithoutAConfigurationNothingIsReset) {
  RouteTable Empty;
  FlowSteering Fresh({"a", makeZoneAwareLeastFlowsPolicy("a")}, TimeSource,
                     Empty, Upstreams, Metrics, {});
  for (const PacketHeader &Packet : {opening(1), data(2, 11)}) {
    const SteeringDecision Decision = Fresh.steer(Packet);
    EXPECT_EQ(Decision.Action, SteeringAction::Drop);
    EXPECT_EQ(Decision.Reason, SteeringReason::NoConfiguration);
  }
}

TEST_F(FlowSteeringTest, ANewFlowWithoutARouteIsRefusedAtOnce) {
  const SteeringDecision Decision = Steering.steer(opening(1, UnknownAddress));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::NoRoute);
}

// Another instance may know a newer configuration, under which the flow was
// opened.
TEST_F(FlowSteeringTest, AnUnknownFlowWithoutARouteIsNotReset) {
  EXPECT_EQ(Steering.steer(data(1, 11, 500, UnknownAddress)).Action,
            SteeringAction::Drop);
}

TEST_F(FlowSteeringTest, AFlowWhoseRouteWasRemovedIsReset) {
  open(1);
  configure(2, {});
  const SteeringDecision Decision = Steering.steer(data(1, 11));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::RouteRemoved);
}

TEST_F(FlowSteeringTest, ANewFlowWithoutAnUpstreamIsRefusedAtOnce) {
  Upstreams.remove(UpstreamId(21), TimeSource.now());
  const SteeringDecision Decision = Steering.steer(opening(1, PhotoAddress));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::NoUpstream);
}

// Guards against refusals in the moments after a start, while registrations
// are still being read.
TEST_F(FlowSteeringTest, NothingIsRefusedBeforeAllUpstreamsWereRead) {
  UpstreamRegistry Partial;
  FlowSteering Fresh({"a", makeZoneAwareLeastFlowsPolicy("a")}, TimeSource,
                     Routes, Partial, Metrics, {});
  EXPECT_EQ(Fresh.steer(opening(1)).Action, SteeringAction::Drop);
  Partial.markComplete();
  EXPECT_EQ(Fresh.steer(opening(2)).Action, SteeringAction::Reset);
}

// An earlier copy may have gone through another instance and opened the flow.
TEST_F(FlowSteeringTest, ACopyOfAnOpeningIsNeverRefused) {
  Upstreams.remove(UpstreamId(21), TimeSource.now());
  EXPECT_EQ(Steering.steer(opening(1, PhotoAddress, 1)).Action,
            SteeringAction::Drop);
}

// Dark upstreams: a copy after 200 ms tells that nothing answered.
TEST_F(FlowSteeringTest, ACopyOfAnUnansweredOpeningTriesAnotherUpstream) {
  const uint64_t First = idOf(Steering.steer(opening(1)));
  TimeSource.advance(200ms);
  const SteeringDecision Copy = Steering.steer(opening(1, ChatAddress, 1));
  EXPECT_EQ(Copy.Reason, SteeringReason::MovedOpening);
  EXPECT_NE(idOf(Copy), First);
}

// A second answer from another upstream would leave its tag with the client.
TEST_F(FlowSteeringTest, ACopyStaysWhereOthersWereAnsweredSince) {
  const uint64_t First = idOf(Steering.steer(opening(1)));
  TimeSource.advance(20ms);
  uint16_t Port = 2;
  while (open(Port) != First)
    ++Port;
  TimeSource.advance(180ms);
  const SteeringDecision Copy = Steering.steer(opening(1, ChatAddress, 1));
  EXPECT_EQ(Copy.Reason, SteeringReason::RepeatedOpening);
  EXPECT_EQ(idOf(Copy), First);
}

// The flow belongs to the upstream whose answer the client took, which its
// next packet names.
TEST_F(FlowSteeringTest, TheFirstAnswerTakenDecidesAfterACopyWentElsewhere) {
  const uint64_t First = idOf(Steering.steer(opening(1)));
  TimeSource.advance(200ms);
  Steering.steer(opening(1, ChatAddress, 1));
  EXPECT_EQ(idOf(Steering.steer(data(1, First))), First);
  // A late second answer leaves its tag with the client.
  EXPECT_EQ(idOf(Steering.steer(data(1, First == 11 ? 12 : 11, 700))), First);
}

TEST_F(FlowSteeringTest, ASilentUpstreamIsAvoided) {
  const uint64_t Silent = idOf(Steering.steer(opening(1)));
  TimeSource.advance(OpenTimeout);
  for (uint16_t Port = 2; Port < 20; ++Port)
    EXPECT_NE(open(Port), Silent);
}

// Each packet is one decision, and each decision is counted under its reason.
TEST_F(FlowSteeringTest, DecisionsAreCounted) {
  const uint64_t Id = open(1);
  Steering.steer(data(1, Id, 600));
  Steering.steer(opening(2, UnknownAddress));
  EXPECT_EQ(Metrics.decisions(SteeringAction::Forward, SteeringReason::NewFlow),
            1U);
  EXPECT_EQ(
      Metrics.decisions(SteeringAction::Forward, SteeringReason::KnownFlow),
      2U);
  EXPECT_EQ(Metrics.decisions(SteeringAction::Reset, SteeringReason::NoRoute),
            1U);
  EXPECT_EQ(Metrics.service("chat").OpenedInZone, 1U);
  EXPECT_EQ(Metrics.service("chat").OpenLatencySum, 7ms);
}

TEST_F(FlowSteeringTest, ASilenceIsReportedOnce) {
  const uint64_t Id = idOf(Steering.steer(opening(1)));
  TimeSource.advance(OpenTimeout);
  open(2);
  open(3);
  EXPECT_EQ(Silent, std::vector<uint64_t>({Id}));
  EXPECT_EQ(Metrics.service("chat").OpenTimeouts, 1U);
}

// Seen when upstreams crashed: their machine reset each opening, which is not
// seen here, and clients used up their retries on the same upstream.
TEST_F(FlowSteeringTest, ARefusedClientIsSentElsewhere) {
  for (uint16_t Port = 1; Port < 9; Port += 2) {
    const uint64_t Refusing = idOf(Steering.steer(opening(Port)));
    TimeSource.advance(10ms);
    EXPECT_NE(idOf(Steering.steer(opening(Port + 1))), Refusing);
    TimeSource.advance(1s);
  }
}

TEST_F(FlowSteeringTest, TwoRefusalsMakeAnUpstreamSuspect) {
  constexpr uint64_t Refusing = 11;
  uint16_t Port = 1;
  for (int Refusals = 0; Refusals < 2;) {
    const uint64_t Id = idOf(Steering.steer(opening(Port)));
    TimeSource.advance(10ms);
    if (Id == Refusing)
      ++Refusals;
    else
      Steering.steer(data(Port, Id));
    ++Port;
  }
  Steering.steer(opening(Port));
  EXPECT_TRUE(Upstreams.find(UpstreamId(Refusing))
                  ->Reachability.isSuspect(TimeSource.now()));
  EXPECT_FALSE(
      Upstreams.find(UpstreamId(12))->Reachability.isSuspect(TimeSource.now()));
}

// Clients open several flows at once as a rule; that alone says nothing.
TEST_F(FlowSteeringTest, FlowsOpenedAtOnceAreNoRefusal) {
  for (uint16_t Port = 1; Port < 9; ++Port)
    Steering.steer(opening(Port));
  for (const uint64_t Id : {11, 12})
    EXPECT_FALSE(Upstreams.find(UpstreamId(Id))
                     ->Reachability.isSuspect(TimeSource.now()));
}

TEST_F(FlowSteeringTest, SeveralOpeningsWithoutAnyAnswerLookLikeACrash) {
  std::vector<uint16_t> Unanswered;
  for (uint16_t Port = 1; Port <= 4; ++Port)
    if (idOf(Steering.steer(opening(Port))) == 11)
      Unanswered.push_back(Port);
  ASSERT_GE(Unanswered.size(), 2U);
  TimeSource.advance(40ms);
  EXPECT_TRUE(
      Upstreams.find(UpstreamId(11))->Reachability.isSuspect(TimeSource.now()));
  Steering.steer(data(Unanswered[0], 11));
  EXPECT_FALSE(
      Upstreams.find(UpstreamId(11))->Reachability.isSuspect(TimeSource.now()));
}

// One trial at a time: each costs a caller time if the upstream is still dark.
TEST_F(FlowSteeringTest, AfterASuspicionOneFlowTriesTheUpstream) {
  const uint64_t Silent = idOf(Steering.steer(opening(1)));
  TimeSource.advance(OpenTimeout);
  open(2);
  TimeSource.advance(2s);
  int Tried = 0;
  for (uint16_t Port = 3; Port < 13; ++Port)
    Tried += idOf(Steering.steer(opening(Port))) == Silent ? 1 : 0;
  EXPECT_EQ(Tried, 1);
}

TEST_F(FlowSteeringTest, AnAnswerEndsTheSuspicion) {
  const uint64_t Silent = idOf(Steering.steer(opening(1)));
  TimeSource.advance(OpenTimeout + 10ms);
  Steering.steer(data(1, Silent));
  std::map<uint64_t, int> Count;
  for (uint16_t Port = 2; Port < 42; ++Port)
    ++Count[open(Port)];
  EXPECT_GT(Count[Silent], 15);
}

// With all upstreams under suspicion a caller is still better off with a try.
TEST_F(FlowSteeringTest, IfAllAreSuspectOneIsTried) {
  for (uint16_t Port = 1; Port <= 6; ++Port)
    Steering.steer(opening(Port));
  TimeSource.advance(OpenTimeout);
  EXPECT_EQ(Steering.steer(opening(7)).Action, SteeringAction::Forward);
}

// Addresses of upstreams that are gone are used again by other services. The
// old upstream has certainly ended then, and its client need not wait.
TEST_F(FlowSteeringTest, AFlowIsResetWhenItsAddressHasAnotherOwner) {
  const uint64_t Id = open(1, PhotoAddress);
  Upstreams.remove(UpstreamId(Id), TimeSource.now());
  EXPECT_EQ(idOf(Steering.steer(data(1, Id, 600, PhotoAddress))), Id);
  UpstreamRegistration Next = registration(99, "chat", "a");
  Next.Address = registration(Id, "photos", "a").Address;
  Upstreams.put(Next, ++Revision, TimeSource.now());
  const SteeringDecision Decision =
      Steering.steer(data(1, Id, 700, PhotoAddress));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::AddressReused);
}

// Requests that take long are repeated too, so repeats alone prove nothing.
TEST_F(FlowSteeringTest, RepeatsLeadToACheckAndNotToAReset) {
  const uint64_t Id = open(1);
  open(2);
  Steering.steer(data(1, Id, 600));
  TimeSource.advance(250ms);
  for (int Copy = 0; Copy < 2; ++Copy) {
    const SteeringDecision Decision = Steering.steer(data(1, Id, 600));
    EXPECT_EQ(Decision.Action, SteeringAction::Forward);
  }
  EXPECT_EQ(Checks, std::vector<uint64_t>({Id}));
}

// Clients of a dark upstream lost one request for each of their flows, since
// nothing told them before their time was over.
TEST_F(FlowSteeringTest, FlowsOfAnUpstreamThatAcceptsNothingAreReset) {
  const uint64_t Dead = open(1);
  const uint64_t Other = open(2);
  ASSERT_NE(Dead, Other);
  TimeSource.advance(300ms);
  Steering.steer(data(2, Other, 600));
  Steering.steer(data(1, Dead, 500));
  Steering.steer(data(1, Dead, 500));
  ASSERT_EQ(Checks, std::vector<uint64_t>({Dead}));
  Steering.recordCheckResult(UpstreamId(Dead), false);
  const SteeringDecision Decision = Steering.steer(data(1, Dead, 500));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::UpstreamDead);
  EXPECT_NE(open(3), Dead);
}

TEST_F(FlowSteeringTest, AnAnswerOutweighsAFailedCheck) {
  const uint64_t Id = open(1);
  open(2);
  TimeSource.advance(300ms);
  Steering.steer(data(1, Id, 500));
  TimeSource.advance(10ms);
  Steering.steer(data(1, Id, 500));
  ASSERT_EQ(Checks.size(), 1U);
  TimeSource.advance(10ms);
  Steering.steer(data(1, Id, 700));
  Steering.recordCheckResult(UpstreamId(Id), false);
  EXPECT_EQ(Steering.steer(data(1, Id, 700)).Action, SteeringAction::Forward);
}

// An instance whose own link is cut must not reset everybody's flows.
TEST_F(FlowSteeringTest, WithoutAnyAnswerAFailedCheckProvesNothing) {
  const uint64_t Id = open(1);
  open(2);
  TimeSource.advance(1s);
  Steering.steer(data(1, Id, 500));
  Steering.steer(data(1, Id, 500));
  Steering.recordCheckResult(UpstreamId(Id), false);
  EXPECT_EQ(Steering.steer(data(1, Id, 500)).Action, SteeringAction::Forward);
}

// A verdict must not outlive the upstream's return.
TEST_F(FlowSteeringTest, AVerdictHoldsForAWhileOnly) {
  const uint64_t Dead = openAtDeadUpstream();
  ASSERT_EQ(Steering.steer(data(1, Dead, 500)).Action, SteeringAction::Reset);
  TimeSource.advance(2s);
  EXPECT_EQ(Steering.steer(data(1, Dead, 500)).Action, SteeringAction::Forward);
}

// A registration can lapse with the store while the upstream lives.
TEST_F(FlowSteeringTest, AMissingRegistrationResetsNothingAtFirst) {
  const uint64_t Id = open(1);
  Upstreams.remove(UpstreamId(Id), TimeSource.now());
  TimeSource.advance(3s);
  Steering.steer(data(1, Id, 500));
  EXPECT_EQ(Steering.steer(data(1, Id, 500)).Action, SteeringAction::Forward);
  Upstreams.recordStoreSync(TimeSource.now());
  const SteeringDecision Decision = Steering.steer(data(1, Id, 500));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::UpstreamGone);
}

TEST_F(FlowSteeringTest, AnUpstreamThatAnswersIsNotGone) {
  const uint64_t Id = open(1);
  Upstreams.remove(UpstreamId(Id), TimeSource.now());
  TimeSource.advance(3s);
  Upstreams.recordStoreSync(TimeSource.now());
  Steering.steer(data(1, Id, 600));
  EXPECT_EQ(Steering.steer(data(1, Id, 600)).Action, SteeringAction::Forward);
}

TEST_F(FlowSteeringTest, ANewFlowOfAUsedPortIsChosenAnew) {
  open(1);
  PacketHeader Again = opening(1);
  Again.Sequence = 77'000;
  EXPECT_EQ(Steering.steer(Again).Reason, SteeringReason::NewFlow);
}

// Flows that ended must not weigh on their upstream for ever.
TEST_F(FlowSteeringTest, FlowsThatEndNoLongerCount) {
  const uint64_t Id = open(1);
  EXPECT_EQ(Upstreams.find(UpstreamId(Id))->OpenFlows, 1U);
  PacketHeader Finish = data(1, Id, 600);
  Finish.IsFinal = true;
  Steering.steer(Finish);
  EXPECT_EQ(Upstreams.find(UpstreamId(Id))->OpenFlows, 0U);
  const uint64_t Idle = open(2);
  TimeSource.advance(16s);
  Steering.sweep();
  EXPECT_EQ(Upstreams.find(UpstreamId(Idle))->OpenFlows, 0U);
  EXPECT_EQ(Steering.flows(), 0U);
}

TEST_F(FlowSteeringTest, AStartingUpstreamGetsFewerFlows) {
  UpstreamRegistration Cold = registration(14, "chat", "a");
  Cold.WarmupLeft = 2s;
  Upstreams.put(Cold, ++Revision, TimeSource.now());
  std::map<uint64_t, int> Count;
  for (uint16_t Port = 1; Port <= 100; ++Port)
    ++Count[idOf(Steering.steer(opening(Port)))];
  EXPECT_EQ(Count[14], 20);
}

// Every action and reason has a name, for the log.
TEST(SteeringNames, AllHaveOne) {
  for (size_t Index = 0; Index < SteeringReasonCount; ++Index)
    EXPECT_FALSE(nameOf(static_cast<SteeringReason>(Index)).empty());
  EXPECT_EQ(nameOf(SteeringReason::UpstreamDead), "upstream-dead");
  EXPECT_EQ(nameOf(SteeringAction::Drop), "drop");
}

} // namespace
} // namespace indigopoint
