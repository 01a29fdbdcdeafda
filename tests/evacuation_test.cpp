// What happens to new and open flows while a zone is evacuated.

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

class EvacuationTest : public SteeringFixture {
protected:
  void evacuate(const std::string &Zone) {
    Upstreams.evacuations().start(Zone, TimeSource.now());
  }
};

TEST_F(EvacuationTest, NewFlowsAvoidTheZone) {
  evacuate("a");
  for (uint16_t Port = 1; Port <= 20; ++Port)
    EXPECT_EQ(open(Port), 13U);
  Upstreams.evacuations().end("a");
  EXPECT_NE(open(30), 13U);
}

// Guards against cutting chats that were open when the operator asked.
TEST_F(EvacuationTest, OpenFlowsStay) {
  const uint64_t Id = open(1);
  evacuate("a");
  const SteeringDecision Decision = Steering.steer(data(1, Id, 600));
  EXPECT_EQ(Decision.Action, SteeringAction::Forward);
  EXPECT_EQ(idOf(Decision), Id);
}

// Guards against an upstream of the zone that takes a flow by a later copy of
// an opening that was sent to it before the evacuation.
TEST_F(EvacuationTest, CopiesOfAnOpeningLeaveTheZone) {
  Steering.steer(opening(1));
  Steering.steer(opening(2));
  evacuate("a");
  EXPECT_EQ(idOf(Steering.steer(opening(1))), 13U);
  TimeSource.advance(200ms);
  EXPECT_EQ(idOf(Steering.steer(opening(2, ChatAddress, 1))), 13U);
  TimeSource.advance(400ms);
  EXPECT_EQ(idOf(Steering.steer(opening(2, ChatAddress, 2))), 13U);
}

// An operator's request goes before service: the caller is told at once.
TEST_F(EvacuationTest, FlowsAreRefusedIfNoOtherZoneHasTheService) {
  evacuate("a");
  const SteeringDecision Decision = Steering.steer(opening(1, PhotoAddress));
  EXPECT_EQ(Decision.Action, SteeringAction::Reset);
  EXPECT_EQ(Decision.Reason, SteeringReason::NoUpstream);
  evacuate("b");
  EXPECT_EQ(Steering.steer(opening(2)).Action, SteeringAction::Reset);
}

TEST_F(EvacuationTest, EvacuationOfAnUnknownZoneChangesNothing) {
  evacuate("x");
  EXPECT_NE(open(1), 13U);
}

// Guards against suspicion or drains that send a flow into the zone: an
// upstream of another zone is used even if it is suspect.
TEST_F(EvacuationTest, SuspectUpstreamElsewhereGoesFirst) {
  evacuate("a");
  Upstreams.find(UpstreamId(13))
      ->Reachability.recordOpenTimeout(TimeSource.now());
  EXPECT_EQ(open(1), 13U);
  drain(13, "chat", "b");
  EXPECT_EQ(Steering.steer(opening(2)).Action, SteeringAction::Reset);
}

// Guards against the full load on upstreams that became cold while their zone
// was evacuated: they report it only with their next renewal.
TEST_F(EvacuationTest, UpstreamsCountAsColdAfterTheEvacuation) {
  Upstreams.assumeCold("a", TimeSource.now(), [](const std::string &Service) {
    return Service == "chat" ? Duration(2s) : Duration();
  });
  EXPECT_EQ(Upstreams.find(UpstreamId(11))->WarmupEnd, TimeSource.now() + 2s);
  EXPECT_EQ(Upstreams.find(UpstreamId(21))->WarmupEnd, TimeSource.now());
  EXPECT_LE(Upstreams.find(UpstreamId(13))->WarmupEnd, TimeSource.now());
}

} // namespace
} // namespace indigopoint
