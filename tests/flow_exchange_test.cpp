// What an instance learns from the exchanges of requests and answers on open
// flows.

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

class FlowExchangeTest : public SteeringFixture {
protected:
  // Sends a request and, after ResponseTime, the client's acknowledgement of
  // the answer.
  void exchange(uint16_t Port, uint64_t Id, Duration ResponseTime) {
    PacketHeader Packet = data(Port, Id, AckNumber);
    Packet.Sequence = Sequence;
    Steering.steer(Packet);
    Sequence += Packet.DataBytes;
    TimeSource.advance(ResponseTime);
    acknowledge(Port, Id);
  }

  void acknowledge(uint16_t Port, uint64_t Id) {
    AckNumber += 100;
    PacketHeader Packet = data(Port, Id, AckNumber);
    Packet.Sequence = Sequence;
    Packet.DataBytes = 0;
    Steering.steer(Packet);
  }

  std::optional<Duration> averageOf(uint64_t Id) {
    return Upstreams.find(UpstreamId(Id))
        ->ResponseTimes.recentAverage(TimeSource.now());
  }

  uint32_t Sequence = 1101;
  uint32_t AckNumber = 500;
};

TEST_F(FlowExchangeTest, AnswersGiveTheAverageResponseTime) {
  const uint64_t Id = open(1);
  EXPECT_EQ(averageOf(Id), std::nullopt);
  acknowledge(1, Id);
  for (int Count = 0; Count < 20; ++Count)
    exchange(1, Id, 40ms);
  ASSERT_TRUE(averageOf(Id));
  EXPECT_NEAR(static_cast<double>(averageOf(Id)->count()), 40'000, 1000);
}

TEST_F(FlowExchangeTest, PausesBetweenRequestsAreNotCounted) {
  const uint64_t Id = open(1);
  acknowledge(1, Id);
  for (int Count = 0; Count < 20; ++Count) {
    exchange(1, Id, 40ms);
    TimeSource.advance(500ms);
  }
  ASSERT_TRUE(averageOf(Id));
  EXPECT_LT(*averageOf(Id), 45ms);
}

// Guards against an upstream that looks slow because a packet was lost.
TEST_F(FlowExchangeTest, RetransmittedRequestsAreNotCounted) {
  const uint64_t Id = open(1);
  acknowledge(1, Id);
  for (int Count = 0; Count < 20; ++Count) {
    PacketHeader Packet = data(1, Id, AckNumber);
    Packet.Sequence = Sequence;
    Steering.steer(Packet);
    TimeSource.advance(200ms);
    Steering.steer(Packet);
    Sequence += Packet.DataBytes;
    TimeSource.advance(40ms);
    acknowledge(1, Id);
  }
  EXPECT_EQ(averageOf(Id), std::nullopt);
}

// Guards against a lost answer: an upstream that was only silent for a moment
// answers later, and a client does not repeat a non-idempotent request.
TEST_F(FlowExchangeTest, SilentUpstreamKeepsNonIdempotentFlows) {
  configure(2, {{"chat", ChatAddress, {{"chat", 1}}, false}});
  const uint64_t Id = openAtDeadUpstream();
  ASSERT_TRUE(
      Upstreams.find(UpstreamId(Id))->Reachability.isDead(TimeSource.now()));
  EXPECT_TRUE(ResetFlows.empty());
  EXPECT_EQ(Steering.steer(data(1, Id, 500)).Action, SteeringAction::Forward);
  EXPECT_NE(open(3), Id);
}

// Guards against flows that are opened, or refused, by what was known before a
// pause. Open flows go on.
TEST_F(FlowExchangeTest, NoFlowIsOpenedByOutdatedData) {
  const uint64_t Id = open(1);
  IsOutdated = true;
  for (const Endpoint Address : {ChatAddress, UnknownAddress}) {
    const SteeringDecision Decision = Steering.steer(opening(2, Address));
    EXPECT_EQ(Decision.Action, SteeringAction::Drop);
    EXPECT_EQ(Decision.Reason, SteeringReason::Paused);
  }
  EXPECT_EQ(Steering.steer(data(1, Id, 600)).Action, SteeringAction::Forward);
  IsOutdated = false;
  EXPECT_EQ(Steering.steer(opening(2, ChatAddress, 1)).Action,
            SteeringAction::Forward);
}

// Packets of an upload overtake each other. Guards against connection checks
// of upstreams that work, and against resets of their flows.
TEST_F(FlowExchangeTest, ReorderedPacketsAreNoRetransmission) {
  const uint64_t Id = open(1);
  Upstreams.remove(UpstreamId(Id), TimeSource.now());
  TimeSource.advance(3s);
  Upstreams.recordStoreSync(TimeSource.now());
  PacketHeader Later = data(1, Id);
  Later.Sequence = Sequence + Later.DataBytes;
  EXPECT_EQ(Steering.steer(Later).Action, SteeringAction::Forward);
  PacketHeader Earlier = data(1, Id);
  Earlier.Sequence = Sequence;
  TimeSource.advance(2ms);
  EXPECT_EQ(Steering.steer(Earlier).Action, SteeringAction::Forward);
  EXPECT_TRUE(CheckedUpstreams.empty());
}

} // namespace
} // namespace indigopoint
