#include "flow_steering.h"

#include <gtest/gtest.h>

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

using FlowSteeringTest = SteeringFixture;

TEST_F(FlowSteeringTest, NewFlowGoesToUpstreamOfItsServiceAndZone) {
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

// Other zones serve the new flows of a zone whose upstreams are all draining or
// unregistered.
TEST_F(FlowSteeringTest, OtherZonesServeAZoneWithoutUpstreams) {
  drain(11, "chat", "a");
  Upstreams.remove(UpstreamId(12), TimeSource.now());
  EXPECT_EQ(open(1), 13U);
}

TEST_F(FlowSteeringTest, OpenFlowStaysAtADrainingUpstream) {
  const uint64_t Id = open(1);
  drain(Id, "chat", "a");
  EXPECT_EQ(idOf(Steering.steer(data(1, Id, 600))), Id);
  for (uint16_t Port = 2; Port < 20; ++Port)
    EXPECT_NE(open(Port), Id);
}

// Guards against losing open flows when instances start or fail, and routers
// then distribute the flows differently over the instances.
TEST_F(FlowSteeringTest, PacketOfAnotherInstancesFlowIsForwardedByTag) {
  const SteeringDecision Decision = Steering.steer(data(1, 13));
  EXPECT_EQ(Decision.Reason, SteeringReason::TaggedFlow);
  EXPECT_EQ(idOf(Decision), 13U);
}

// Guards against dropping the packets of open flows after a change of weights:
// instances that started after the change did not know that the service had
// been part of the route.
TEST_F(FlowSteeringTest, FlowStaysAtAServiceRemovedFromItsRoute) {
  EXPECT_EQ(idOf(Steering.steer(data(1, 21))), 21U);
}

// A client may write any tag. Guards against forwarding by a forged tag.
TEST_F(FlowSteeringTest, PacketWithTheTagOfAnotherFlowIsDropped) {
  PacketHeader ForgedPacket = data(1, 0);
  ForgedPacket.Tag = tagOf(data(2, 0).Flow, UpstreamId(21));
  const SteeringDecision Decision = Steering.steer(ForgedPacket);
  EXPECT_EQ(Decision.Action, SteeringAction::Drop);
  EXPECT_EQ(Decision.Reason, SteeringReason::UnknownTag);
}

// Guards against resets of open flows by an instance that has just started and
// has not read its configuration yet. An early prototype broke flows that way.
TEST_F(FlowSteeringTest, NothingIsResetWithoutAConfiguration) {
  RouteTable EmptyTable;
  FlowSteering NewSteering({"a", makeZoneAwareLeastFlowsPolicy("a")},
                           TimeSource, EmptyTable, Upstreams, Metrics, {});
  for (const PacketHeader &Packet : {opening(1), data(2, 11)}) {
    const SteeringDecision Decision = NewSteering.steer(Packet);
    EXPECT_EQ(Decision.Action, SteeringAction::Drop);
    EXPECT_EQ(Decision.Reason, SteeringReason::NoConfiguration);
  }
}

TEST_F(FlowSteeringTest, NewFlowWithoutARouteIsReset) {
  const SteeringDecision Decision = Steering.steer(opening(1, UnknownAddress));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::NoRoute);
}

// Another instance may have opened the flow under a newer configuration.
TEST_F(FlowSteeringTest, UnknownFlowWithoutARouteIsNotReset) {
  EXPECT_EQ(Steering.steer(data(1, 11, 500, UnknownAddress)).Action,
            SteeringAction::Drop);
}

TEST_F(FlowSteeringTest, FlowWhoseRouteWasRemovedIsReset) {
  open(1);
  configure(2, {});
  const SteeringDecision Decision = Steering.steer(data(1, 11));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::RouteRemoved);
}

TEST_F(FlowSteeringTest, NewFlowWithoutAnUpstreamIsReset) {
  Upstreams.remove(UpstreamId(21), TimeSource.now());
  const SteeringDecision Decision = Steering.steer(opening(1, PhotoAddress));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::NoUpstream);
}

// Guards against resets of new flows after a start, while registrations are
// still being read.
TEST_F(FlowSteeringTest, NewFlowIsNotResetBeforeAllUpstreamsAreRead) {
  UpstreamRegistry PartialRegistry;
  FlowSteering NewSteering({"a", makeZoneAwareLeastFlowsPolicy("a")},
                           TimeSource, Routes, PartialRegistry, Metrics, {});
  EXPECT_EQ(NewSteering.steer(opening(1)).Action, SteeringAction::Drop);
  PartialRegistry.markComplete();
  EXPECT_EQ(NewSteering.steer(opening(2)).Action, SteeringAction::Reset);
}

// Another instance may have forwarded the first opening packet, so the flow may
// be open.
TEST_F(FlowSteeringTest, RetransmittedOpeningIsNeverReset) {
  Upstreams.remove(UpstreamId(21), TimeSource.now());
  EXPECT_EQ(Steering.steer(opening(1, PhotoAddress, 1)).Action,
            SteeringAction::Drop);
}

// A retransmission after 200 ms means that the upstream did not answer. Guards
// against sending it to the same unresponsive upstream.
TEST_F(FlowSteeringTest, RetransmittedUnansweredOpeningGoesToAnotherUpstream) {
  const uint64_t FirstId = idOf(Steering.steer(opening(1)));
  TimeSource.advance(200ms);
  const SteeringDecision SecondDecision =
      Steering.steer(opening(1, ChatAddress, 1));
  EXPECT_EQ(SecondDecision.Reason, SteeringReason::MovedOpening);
  EXPECT_NE(idOf(SecondDecision), FirstId);
}

// Guards against a second copy that goes to another crashed upstream although
// some are known to work.
TEST_F(FlowSteeringTest, RetransmittedOpeningPrefersAnsweringUpstreams) {
  const uint64_t AnsweringId = open(1);
  const uint64_t CrashedId = idOf(Steering.steer(opening(2)));
  ASSERT_NE(CrashedId, AnsweringId);
  for (uint64_t Id = 31; Id < 40; ++Id)
    add(Id, "chat", "a");
  TimeSource.advance(200ms);
  EXPECT_EQ(idOf(Steering.steer(opening(2, ChatAddress, 1))), AnsweringId);
}

// Guards against spending all copies of an opening in a zone whose upstreams
// failed together.
TEST_F(FlowSteeringTest, LastCopyOfAnOpeningGoesToAnotherZone) {
  add(14, "chat", "a");
  Steering.steer(opening(1));
  TimeSource.advance(200ms);
  EXPECT_NE(idOf(Steering.steer(opening(1, ChatAddress, 1))), 13U);
  TimeSource.advance(400ms);
  EXPECT_EQ(idOf(Steering.steer(opening(1, ChatAddress, 2))), 13U);
}

// Guards against moving a flow to another upstream although the first one
// works: if both answered, the client would use the tag of the later answer.
TEST_F(FlowSteeringTest,
       RetransmittedOpeningStaysIfUpstreamAnsweredOtherFlows) {
  const uint64_t FirstId = idOf(Steering.steer(opening(1)));
  TimeSource.advance(20ms);
  uint16_t Port = 2;
  while (open(Port) != FirstId)
    ++Port;
  TimeSource.advance(180ms);
  const SteeringDecision Copy = Steering.steer(opening(1, ChatAddress, 1));
  EXPECT_EQ(Copy.Reason, SteeringReason::RepeatedOpening);
  EXPECT_EQ(idOf(Copy), FirstId);
}

// The flow belongs to the upstream whose answer the client accepted; the tag of
// the client's next packet identifies that upstream.
TEST_F(FlowSteeringTest, FirstDataPacketDecidesTheUpstreamAfterAMove) {
  const uint64_t FirstId = idOf(Steering.steer(opening(1)));
  TimeSource.advance(200ms);
  Steering.steer(opening(1, ChatAddress, 1));
  EXPECT_EQ(idOf(Steering.steer(data(1, FirstId))), FirstId);
  // After a late second answer the client sends the tag of the other upstream.
  EXPECT_EQ(idOf(Steering.steer(data(1, FirstId == 11 ? 12 : 11, 700))),
            FirstId);
}

TEST_F(FlowSteeringTest, UnresponsiveUpstreamIsAvoided) {
  const uint64_t UnresponsiveId = idOf(Steering.steer(opening(1)));
  TimeSource.advance(OpenTimeout);
  for (uint16_t Port = 2; Port < 20; ++Port)
    EXPECT_NE(open(Port), UnresponsiveId);
}

// Each packet leads to one decision, which is counted by action and reason.
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

TEST_F(FlowSteeringTest, OpenTimeoutIsReportedOnce) {
  const uint64_t Id = idOf(Steering.steer(opening(1)));
  TimeSource.advance(OpenTimeout);
  open(2);
  open(3);
  EXPECT_EQ(TimedOutUpstreams, std::vector<uint64_t>({Id}));
  EXPECT_EQ(Metrics.service("chat").OpenTimeouts, 1U);
}

// The machine of a crashed upstream resets each opening, and the resets do not
// pass through this instance. Guards against clients that use up their retries
// on the same upstream.
TEST_F(FlowSteeringTest, RefusedClientIsSentToAnotherUpstream) {
  for (uint16_t Port = 1; Port < 9; Port += 2) {
    const uint64_t RefusingId = idOf(Steering.steer(opening(Port)));
    TimeSource.advance(10ms);
    EXPECT_NE(idOf(Steering.steer(opening(Port + 1))), RefusingId);
    TimeSource.advance(1s);
  }
}

TEST_F(FlowSteeringTest, TwoRefusalsMakeAnUpstreamSuspect) {
  constexpr uint64_t RefusingId = 11;
  uint16_t Port = 1;
  for (int Refusals = 0; Refusals < 2;) {
    const uint64_t Id = idOf(Steering.steer(opening(Port)));
    TimeSource.advance(10ms);
    if (Id == RefusingId)
      ++Refusals;
    else
      Steering.steer(data(Port, Id));
    ++Port;
  }
  Steering.steer(opening(Port));
  EXPECT_TRUE(Upstreams.find(UpstreamId(RefusingId))
                  ->Reachability.isSuspect(TimeSource.now()));
  EXPECT_FALSE(
      Upstreams.find(UpstreamId(12))->Reachability.isSuspect(TimeSource.now()));
}

// Clients usually open several flows at once. Guards against mistaking the
// second flow for a reaction to a refusal of the first one.
TEST_F(FlowSteeringTest, FlowsOpenedAtOnceDoNotCountAsRefusals) {
  for (uint16_t Port = 1; Port < 9; ++Port)
    Steering.steer(opening(Port));
  for (const uint64_t Id : {11, 12})
    EXPECT_FALSE(Upstreams.find(UpstreamId(Id))
                     ->Reachability.isSuspect(TimeSource.now()));
}

TEST_F(FlowSteeringTest, SeveralUnansweredOpeningsMakeAnUpstreamSuspect) {
  std::vector<uint16_t> UnansweredPorts;
  for (uint16_t Port = 1; Port <= 4; ++Port)
    if (idOf(Steering.steer(opening(Port))) == 11)
      UnansweredPorts.push_back(Port);
  ASSERT_GE(UnansweredPorts.size(), 2U);
  TimeSource.advance(40ms);
  EXPECT_TRUE(
      Upstreams.find(UpstreamId(11))->Reachability.isSuspect(TimeSource.now()));
  Steering.steer(data(UnansweredPorts[0], 11));
  EXPECT_FALSE(
      Upstreams.find(UpstreamId(11))->Reachability.isSuspect(TimeSource.now()));
}

// Guards against sending flows again and again to an upstream that has crashed
// and whose address another service uses: its registration remains while the
// store is down, and connections to its address succeed.
TEST_F(FlowSteeringTest, AcceptedConnectionIsNoAnswerOfAnUpstream) {
  const uint64_t CrashedId = idOf(Steering.steer(opening(1)));
  TimeSource.advance(OpenTimeout);
  open(2);
  ASSERT_EQ(CheckedUpstreams, std::vector<uint64_t>({CrashedId}));
  Steering.recordCheckResult(UpstreamId(CrashedId), CheckResult::Accepted);
  TimeSource.advance(100ms);
  const SteeringDecision Copy = Steering.steer(opening(1, ChatAddress, 1));
  EXPECT_EQ(Copy.Reason, SteeringReason::MovedOpening);
  EXPECT_NE(idOf(Copy), CrashedId);
  Steering.steer(data(1, idOf(Copy)));
  for (uint16_t Port = 3; Port < 20; ++Port)
    EXPECT_NE(open(Port), CrashedId);
}

// Only one flow at a time tries a suspect upstream, since the client has to
// wait for a timeout if the upstream is still unresponsive.
TEST_F(FlowSteeringTest, OneFlowTriesASuspectUpstreamAfterTheBackoff) {
  const uint64_t UnresponsiveId = idOf(Steering.steer(opening(1)));
  TimeSource.advance(OpenTimeout);
  open(2);
  TimeSource.advance(2s);
  int TriedCount = 0;
  for (uint16_t Port = 3; Port < 13; ++Port)
    TriedCount += idOf(Steering.steer(opening(Port))) == UnresponsiveId ? 1 : 0;
  EXPECT_EQ(TriedCount, 1);
}

TEST_F(FlowSteeringTest, AnsweringUpstreamIsNoLongerSuspect) {
  const uint64_t UnresponsiveId = idOf(Steering.steer(opening(1)));
  TimeSource.advance(OpenTimeout + 10ms);
  Steering.steer(data(1, UnresponsiveId));
  std::map<uint64_t, int> Count;
  for (uint16_t Port = 2; Port < 42; ++Port)
    ++Count[open(Port)];
  EXPECT_GT(Count[UnresponsiveId], 15);
}

// If all upstreams are suspect, trying one is still better for the client than
// a reset.
TEST_F(FlowSteeringTest, NewFlowIsForwardedIfAllUpstreamsAreSuspect) {
  for (uint16_t Port = 1; Port <= 6; ++Port)
    Steering.steer(opening(Port));
  TimeSource.advance(OpenTimeout);
  EXPECT_EQ(Steering.steer(opening(7)).Action, SteeringAction::Forward);
}

// The address of a stopped upstream may be reused by another service. The old
// upstream has certainly stopped then, so its clients need not wait for a
// timeout.
TEST_F(FlowSteeringTest, FlowIsResetWhenItsUpstreamAddressIsReused) {
  const uint64_t Id = open(1, PhotoAddress);
  Upstreams.remove(UpstreamId(Id), TimeSource.now());
  EXPECT_EQ(idOf(Steering.steer(data(1, Id, 600, PhotoAddress))), Id);
  UpstreamRegistration NewRegistration = registration(99, "chat", "a");
  NewRegistration.Address = registration(Id, "photos", "a").Address;
  Upstreams.put(NewRegistration, ++Revision, TimeSource.now());
  const SteeringDecision Decision =
      Steering.steer(data(1, Id, 700, PhotoAddress));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::AddressReused);
}

// Clients also retransmit requests that take long to process. Guards against a
// reset that is based on retransmissions alone.
TEST_F(FlowSteeringTest, RetransmissionsLeadToACheckAndNotToAReset) {
  const uint64_t Id = open(1);
  open(2);
  Steering.steer(data(1, Id, 600));
  TimeSource.advance(250ms);
  for (int Copy = 0; Copy < 2; ++Copy) {
    const SteeringDecision Decision = Steering.steer(data(1, Id, 600));
    EXPECT_EQ(Decision.Action, SteeringAction::Forward);
  }
  EXPECT_EQ(CheckedUpstreams, std::vector<uint64_t>({Id}));
}

// Guards against clients that wait for a second retransmission, 600 ms after
// their request, before the crash of their upstream is detected.
TEST_F(FlowSteeringTest, FirstRetransmissionLeadsToACheck) {
  const uint64_t Id = open(1);
  open(2);
  TimeSource.advance(200ms);
  EXPECT_TRUE(CheckedUpstreams.empty());
  Steering.steer(data(1, Id, 500));
  EXPECT_EQ(CheckedUpstreams, std::vector<uint64_t>({Id}));
}

// Without resets, the clients of an unresponsive upstream would lose one
// request per open flow, since they would notice the failure only by a timeout.
TEST_F(FlowSteeringTest, FlowsOfAnUpstreamThatAcceptsNoConnectionsAreReset) {
  const uint64_t DeadId = open(1);
  const uint64_t OtherId = open(2);
  ASSERT_NE(DeadId, OtherId);
  TimeSource.advance(300ms);
  Steering.steer(data(2, OtherId, 600));
  Steering.steer(data(1, DeadId, 500));
  Steering.steer(data(1, DeadId, 500));
  ASSERT_EQ(CheckedUpstreams, std::vector<uint64_t>({DeadId}));
  Steering.recordCheckResult(UpstreamId(DeadId), CheckResult::Refused);
  const SteeringDecision Decision = Steering.steer(data(1, DeadId, 500));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::UpstreamDead);
  EXPECT_NE(open(3), DeadId);
}

// Guards against clients that learn of the failure only from their next
// retransmission: its interval doubles and may exceed what is left of their
// timeout.
TEST_F(FlowSteeringTest, FailedCheckResetsWaitingFlowsAtOnce) {
  const uint64_t DeadId = openAtDeadUpstream();
  ASSERT_EQ(ResetFlows.size(), 1U);
  EXPECT_EQ(ResetFlows[0].Flow, data(1, DeadId).Flow);
  EXPECT_EQ(ResetFlows[0].AckNumber, 500U);
}

// An idle flow is not reset on a verdict that may be wrong; an answered one
// shows that the upstream works.
TEST_F(FlowSteeringTest, FailedCheckResetsNoOtherFlows) {
  const uint64_t Id = open(1);
  uint16_t IdlePort = 2;
  while (open(IdlePort) != Id)
    ++IdlePort;
  TimeSource.advance(300ms);
  Steering.steer(data(1, Id, 500));
  Steering.steer(data(1, Id, 500));
  Steering.steer(data(1, Id, 600));
  Steering.recordCheckResult(UpstreamId(Id), CheckResult::Refused);
  EXPECT_TRUE(ResetFlows.empty());
}

TEST_F(FlowSteeringTest, AnswerDuringACheckOutweighsItsFailure) {
  const uint64_t Id = open(1);
  open(2);
  TimeSource.advance(300ms);
  Steering.steer(data(1, Id, 500));
  TimeSource.advance(10ms);
  Steering.steer(data(1, Id, 500));
  ASSERT_EQ(CheckedUpstreams.size(), 1U);
  TimeSource.advance(10ms);
  Steering.steer(data(1, Id, 700));
  Steering.recordCheckResult(UpstreamId(Id), CheckResult::Refused);
  EXPECT_EQ(Steering.steer(data(1, Id, 700)).Action, SteeringAction::Forward);
}

// Guards against an instance that resets all flows because its own network link
// is down.
// With a reference, such a check has no result, see UpstreamCheckTest.
TEST_F(FlowSteeringTest, FailedCheckIsIgnoredIfNoUpstreamAnswers) {
  CheckOptions Checks;
  Checks.UseReference = false;
  FlowSteering Instance{{"a", makeZoneAwareLeastFlowsPolicy("a"), {}, Checks},
                        TimeSource,
                        Routes,
                        Upstreams,
                        Metrics,
                        {}};
  const uint64_t Id = idOf(Instance.steer(opening(1)));
  TimeSource.advance(7ms);
  Instance.steer(data(1, Id, 500));
  TimeSource.advance(1s);
  Instance.steer(data(1, Id, 500));
  Instance.steer(data(1, Id, 500));
  Instance.recordCheckResult(UpstreamId(Id), CheckResult::Refused);
  EXPECT_EQ(Instance.steer(data(1, Id, 500)).Action, SteeringAction::Forward);
}

// Guards against resets of flows after their upstream has recovered.
TEST_F(FlowSteeringTest, FailedCheckExpires) {
  const uint64_t DeadId = openAtDeadUpstream();
  ASSERT_EQ(Steering.steer(data(1, DeadId, 500)).Action, SteeringAction::Reset);
  TimeSource.advance(2s);
  EXPECT_EQ(Steering.steer(data(1, DeadId, 500)).Action,
            SteeringAction::Forward);
}

// A registration can lapse while the store is unavailable, or because the
// upstream has too little processor time, although the upstream is running.
TEST_F(FlowSteeringTest, MissingRegistrationResetsFlowsOnlyAfterAFailedCheck) {
  configure(2, {{"chat", ChatAddress, {{"chat", 1}}, false},
                {"photos", PhotoAddress, {{"photos", 1}}, false}});
  uint16_t Port = 0;
  for (const bool HasSync : {false, true})
    for (const bool HasFailedCheck : {false, true})
      for (const bool HasAnswered : {false, true}) {
        TimeSource.advance(5s);
        const uint64_t Id = open(++Port);
        Upstreams.remove(UpstreamId(Id), TimeSource.now());
        TimeSource.advance(3s);
        const uint32_t AckNumber = HasAnswered ? 600 : 500;
        const auto Retransmit = [&, Flow = Port] {
          return Steering.steer(data(Flow, Id, AckNumber));
        };
        Retransmit();
        TimeSource.advance(300ms);
        CheckedUpstreams.clear();
        Retransmit();
        EXPECT_EQ(CheckedUpstreams.empty(), !HasAnswered);
        open(++Port, PhotoAddress);
        if (HasFailedCheck)
          Steering.recordCheckResult(UpstreamId(Id), CheckResult::Refused);
        if (HasSync)
          Upstreams.recordStoreSync(TimeSource.now());
        const SteeringDecision Decision = Retransmit();
        const bool IsReset = HasSync && HasFailedCheck && !HasAnswered;
        EXPECT_EQ(Decision.Action,
                  IsReset ? SteeringAction::Reset : SteeringAction::Forward);
        EXPECT_EQ(Decision.Reason, IsReset ? SteeringReason::UpstreamGone
                                           : SteeringReason::KnownFlow);
        add(Id, "chat", "a");
      }
}

TEST_F(FlowSteeringTest, ReusedClientPortOpensANewFlow) {
  open(1);
  PacketHeader SecondOpening = opening(1);
  SecondOpening.Sequence = 77'000;
  EXPECT_EQ(Steering.steer(SecondOpening).Reason, SteeringReason::NewFlow);
}

// Guards against closed and idle flows that count as load of their upstream
// forever.
TEST_F(FlowSteeringTest, ClosedAndIdleFlowsDoNotCountAsLoad) {
  const uint64_t Id = open(1);
  EXPECT_EQ(Upstreams.find(UpstreamId(Id))->OpenFlows, 1U);
  PacketHeader FinalPacket = data(1, Id, 600);
  FinalPacket.IsFinal = true;
  Steering.steer(FinalPacket);
  EXPECT_EQ(Upstreams.find(UpstreamId(Id))->OpenFlows, 0U);
  const uint64_t IdleId = open(2);
  TimeSource.advance(16s);
  Steering.sweep();
  EXPECT_EQ(Upstreams.find(UpstreamId(IdleId))->OpenFlows, 0U);
  EXPECT_EQ(Steering.flows(), 0U);
}

TEST_F(FlowSteeringTest, StartingUpstreamGetsFewerFlows) {
  UpstreamRegistration StartingRegistration = registration(14, "chat", "a");
  StartingRegistration.WarmupLeft = 2s;
  Upstreams.put(StartingRegistration, ++Revision, TimeSource.now());
  std::map<uint64_t, int> Count;
  for (uint16_t Port = 1; Port <= 100; ++Port)
    ++Count[idOf(Steering.steer(opening(Port)))];
  EXPECT_EQ(Count[14], 20);
}

// Guards against an action or reason without a name in the log.
TEST(SteeringNames, EveryReasonHasAName) {
  for (size_t Index = 0; Index < SteeringReasonCount; ++Index)
    EXPECT_FALSE(nameOf(static_cast<SteeringReason>(Index)).empty());
  EXPECT_EQ(nameOf(SteeringReason::UpstreamDead), "upstream-dead");
  EXPECT_EQ(nameOf(SteeringAction::Drop), "drop");
}

} // namespace
} // namespace indigopoint
