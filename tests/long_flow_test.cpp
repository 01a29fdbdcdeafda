// Flows that are unlike a short exchange: uploads, and flows that stay idle
// almost as long as they may.

#include <gtest/gtest.h>

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr uint16_t BytesPerPacket = 1200;

class LongFlowTest : public SteeringFixture {
protected:
  // One packet of an upload. The client receives no data meanwhile, so its
  // acknowledgement number does not change.
  static PacketHeader uploadPacket(uint16_t Port, uint64_t Upstream,
                                   uint32_t Index) {
    PacketHeader Packet = data(Port, Upstream);
    Packet.Sequence = 1001 + Index * BytesPerPacket;
    Packet.DataBytes = BytesPerPacket;
    return Packet;
  }
};

TEST_F(LongFlowTest, AllPacketsOfAnUploadGoToOneUpstream) {
  const uint64_t Id = open(1);
  for (uint32_t Index = 0; Index < 17; ++Index) {
    open(static_cast<uint16_t>(2 + Index));
    const SteeringDecision Decision =
        Steering.steer(uploadPacket(1, Id, Index));
    EXPECT_EQ(Decision.Action, SteeringAction::Forward);
    EXPECT_EQ(idOf(Decision), Id);
  }
  EXPECT_TRUE(CheckedUpstreams.empty());
}

// Guards against a reset of an upload that loses packets: during an upload the
// client acknowledges nothing, so its packets do not show that the upstream
// answers.
TEST_F(LongFlowTest, UploadWithLostPacketsIsNotReset) {
  const uint64_t Id = open(1);
  for (uint32_t Index = 0; Index < 17; ++Index) {
    TimeSource.advance(200ms);
    for (int Copy = 0; Copy < 2; ++Copy)
      EXPECT_EQ(Steering.steer(uploadPacket(1, Id, Index)).Action,
                SteeringAction::Forward);
    for (const uint64_t CheckedId : CheckedUpstreams)
      Steering.recordCheckResult(UpstreamId(CheckedId), CheckResult::Accepted);
  }
  EXPECT_TRUE(ResetFlows.empty());
}

// The instance that a router selects may change during an upload.
TEST_F(LongFlowTest, UploadContinuesAtAnotherInstance) {
  FlowSteering OtherInstance({"b", makeZoneAwareLeastFlowsPolicy("b")},
                             TimeSource, Routes, Upstreams, Metrics, {});
  const uint64_t Id = open(1);
  for (uint32_t Index = 0; Index < 17; ++Index) {
    FlowSteering &Receiver = Index % 3 == 1 ? OtherInstance : Steering;
    EXPECT_EQ(idOf(Receiver.steer(uploadPacket(1, Id, Index))), Id);
  }
}

TEST_F(LongFlowTest, IdleFlowIsKnownUntilItsIdleTimeout) {
  const uint64_t Id = open(1);
  TimeSource.advance(Routes.idleTimeout() - 1ms);
  Steering.sweep();
  const SteeringDecision Decision = Steering.steer(data(1, Id, 600));
  EXPECT_EQ(Decision.Reason, SteeringReason::KnownFlow);
  EXPECT_EQ(idOf(Decision), Id);
}

// Guards against a lost request when client and instance disagree by some
// milliseconds on whether the idle timeout has passed.
TEST_F(LongFlowTest, PacketRightAfterTheIdleTimeoutStillReachesItsUpstream) {
  const uint64_t Id = open(1);
  TimeSource.advance(Routes.idleTimeout() + 1ms);
  Steering.sweep();
  EXPECT_EQ(Steering.flows(), 0U);
  const SteeringDecision Decision = Steering.steer(data(1, Id, 600));
  EXPECT_EQ(Decision.Reason, SteeringReason::TaggedFlow);
  EXPECT_EQ(idOf(Decision), Id);
}

// A shorter idle timeout applies to flows that were opened before it.
TEST_F(LongFlowTest, ShorterIdleTimeoutAppliesToOpenFlows) {
  const uint64_t Id = open(1);
  Routes.apply({ConfigVersion(2),
                {{"chat", ChatAddress, {{"chat", 1}}, false}},
                std::chrono::seconds(5)});
  TimeSource.advance(6s);
  Steering.sweep();
  EXPECT_EQ(Steering.flows(), 0U);
  EXPECT_EQ(idOf(Steering.steer(data(1, Id, 600))), Id);
}

} // namespace
} // namespace indigopoint
