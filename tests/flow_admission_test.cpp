// Admission control in flow steering: which packets it may refuse, and which
// requests it counts as load.

#include <gtest/gtest.h>

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

class FlowAdmissionTest : public SteeringFixture {
protected:
  FlowAdmissionTest() { rank(2); }

  void rank(std::optional<uint32_t> Priority) {
    configure(
        ++Version,
        {{"chat", ChatAddress, {{"chat", 1}}, true, Priority, 400ms, 2s}});
  }

  double openExchanges() {
    for (const ServiceLoad &Load : Steering.loads().ownLoads())
      if (Load.Service == "chat")
        return Load.OpenExchanges;
    return 0;
  }

  uint64_t Version = 10;
};

TEST_F(FlowAdmissionTest, FirstOpeningIsResetUnderOverload) {
  overloadChat();
  const SteeringDecision Decision = Steering.steer(opening(100));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::Overloaded);
  ASSERT_TRUE(Decision.OverloadInputs);
  EXPECT_EQ(Decision.OverloadInputs->Service, "chat");
  EXPECT_EQ(Decision.OverloadInputs->Priority, 2U);
  EXPECT_EQ(Decision.OverloadInputs->Demand, 1000);
  EXPECT_EQ(Decision.OverloadInputs->Capacity, 4);
  EXPECT_LT(Decision.OverloadInputs->AdmittedShare, 0.01);
  EXPECT_EQ(Metrics.service("chat").RefusedByPriority.at(2), 1U);
}

// Another instance may have forwarded the first copy, so the flow may be open.
TEST_F(FlowAdmissionTest, RetransmittedOpeningIsNotRefused) {
  overloadChat();
  EXPECT_EQ(Steering.steer(opening(100, ChatAddress, 1)).Action,
            SteeringAction::Forward);
}

// Guards against a reset of a flow that was admitted before the overload.
TEST_F(FlowAdmissionTest, AdmittedFlowIsNotRefused) {
  Steering.steer(opening(100));
  const uint64_t Id = open(101);
  overloadChat();
  EXPECT_EQ(Steering.steer(opening(100)).Action, SteeringAction::Forward);
  EXPECT_EQ(Steering.steer(data(101, Id, 600)).Action, SteeringAction::Forward);
}

TEST_F(FlowAdmissionTest, RoutesWithoutPriorityAreNotRefused) {
  rank(std::nullopt);
  overloadChat();
  EXPECT_EQ(Steering.steer(opening(100)).Action, SteeringAction::Forward);
}

// The switch off must leave every decision as before.
TEST_F(FlowAdmissionTest, DisabledAdmissionRefusesNothing) {
  FlowSteering::Options Opts{"a", makeZoneAwareLeastFlowsPolicy("a")};
  Opts.Admission.Enabled = false;
  FlowSteering Disabled(Opts, TimeSource, Routes, Upstreams, Metrics, {});
  overloadChat(Disabled);
  EXPECT_EQ(Disabled.steer(opening(100)).Action, SteeringAction::Forward);
}

// Guards against demand that does not end: with the answer, with the flow, or
// when the client has stopped waiting.
TEST_F(FlowAdmissionTest, ExchangesAreCountedUntilTheyEnd) {
  const uint64_t First = open(1);
  EXPECT_EQ(openExchanges(), 1);
  const uint64_t Second = open(2);
  EXPECT_EQ(openExchanges(), 2);
  PacketHeader Answered = data(1, First, 600);
  Answered.DataBytes = 0;
  Steering.steer(Answered);
  EXPECT_EQ(openExchanges(), 1);
  PacketHeader Aborted = data(2, Second);
  Aborted.DataBytes = 0;
  Aborted.IsReset = true;
  Steering.steer(Aborted);
  EXPECT_EQ(openExchanges(), 0);
  open(3);
  TimeSource.advance(1s);
  Steering.sweep();
  EXPECT_EQ(openExchanges(), 1);
  TimeSource.advance(1s);
  Steering.sweep();
  EXPECT_EQ(openExchanges(), 0);
}

TEST_F(FlowAdmissionTest, SweepUpdatesDemandAndCapacity) {
  open(1);
  TimeSource.advance(1s);
  Steering.sweep();
  EXPECT_EQ(Metrics.service("chat").Demand, 1);
  EXPECT_EQ(Metrics.service("chat").Capacity, 4);
}

} // namespace
} // namespace indigopoint
