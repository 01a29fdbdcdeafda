#include "steering_log.h"

#include <functional>
#include <map>

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// Plays one case of each reason and counts the log lines that it leads to.
class SteeringLogTest : public SteeringFixture {
protected:
  // Steers the packet and writes its line, as a process does.
  SteeringDecision steer(const PacketHeader &Packet) {
    const SteeringDecision Decision = Steering.steer(Packet);
    write(Packet, Decision);
    return Decision;
  }

  void write(const PacketHeader &Packet, const SteeringDecision &Decision) {
    if (const auto Event = logEventOf(Decision))
      Log.write(*Event, [&] { return describe(Packet, Decision); });
  }

  // The lines of the last packet.
  std::vector<EventLog::Fields> takeLines() {
    std::vector<EventLog::Fields> Lines;
    std::istringstream Text{std::string(Log.pending())};
    for (std::string Line; std::getline(Text, Line);)
      Lines.push_back(EventLog::Fields::parse(Line));
    Log.consume(Log.pending().size());
    return Lines;
  }

  SteeringDecision playDead() {
    return steer(data(1, openAtDeadUpstream(), 500));
  }

  SteeringDecision playGone() {
    const uint64_t Id = open(1);
    Upstreams.remove(UpstreamId(Id), TimeSource.now());
    TimeSource.advance(3s);
    Upstreams.recordStoreSync(TimeSource.now());
    return steer(data(1, Id, 500));
  }

  SteeringDecision playReused() {
    const uint64_t Id = open(1, PhotoAddress);
    Upstreams.remove(UpstreamId(Id), TimeSource.now());
    UpstreamRegistration Next = registration(99, "chat", "a");
    Next.Address = registration(Id, "photos", "a").Address;
    Upstreams.put(Next, ++Revision, TimeSource.now());
    return steer(data(1, Id, 700, PhotoAddress));
  }

  SteeringDecision playRouteRemoved() {
    const uint64_t Id = open(1, PhotoAddress);
    configure(2, {{"chat", ChatAddress, {{"chat", 1}}, false}});
    return steer(data(1, Id, 600, PhotoAddress));
  }

  SteeringDecision playNoUpstream() {
    Upstreams.remove(UpstreamId(21), TimeSource.now());
    return steer(opening(1, PhotoAddress));
  }

  SteeringDecision playNoConfiguration() {
    RouteTable Empty;
    FlowSteering Fresh({"a", makeZoneAwareLeastFlowsPolicy("a")}, TimeSource,
                       Empty, Upstreams, Metrics, {});
    const PacketHeader Packet = opening(1);
    const SteeringDecision Decision = Fresh.steer(Packet);
    write(Packet, Decision);
    return Decision;
  }

  // A second packet that follows the decision on a first one.
  SteeringDecision playAfterOpening(Duration Later, uint32_t Copy) {
    Steering.steer(opening(1));
    TimeSource.advance(Later);
    return steer(opening(1, ChatAddress, Copy));
  }

  SteeringDecision play(SteeringReason Reason) {
    switch (Reason) {
    case SteeringReason::NewFlow:
      return steer(opening(1));
    case SteeringReason::RepeatedOpening:
      return playAfterOpening(1ms, 0);
    case SteeringReason::MovedOpening:
      return playAfterOpening(200ms, 1);
    case SteeringReason::KnownFlow:
      return steer(data(1, open(1), 600));
    case SteeringReason::TaggedFlow:
      return steer(data(1, 11));
    case SteeringReason::NoConfiguration:
      return playNoConfiguration();
    case SteeringReason::NoRoute:
      return steer(opening(1, UnknownAddress));
    case SteeringReason::RouteRemoved:
      return playRouteRemoved();
    case SteeringReason::NoUpstream:
      return playNoUpstream();
    case SteeringReason::UnknownTag:
      return steer(data(1, 0));
    case SteeringReason::AddressReused:
      return playReused();
    case SteeringReason::UpstreamGone:
      return playGone();
    case SteeringReason::UpstreamDead:
      return playDead();
    }
    return {};
  }

  EventLog Log{{"test"}, TimeSource};
};

class EachReason : public SteeringLogTest,
                   public testing::WithParamInterface<size_t> {};

// Guards against a decision that leaves no line, or one without its inputs. A
// new reason fails here until a case plays it.
TEST_P(EachReason, IsLoggedOnceWithItsInputs) {
  const auto Reason = static_cast<SteeringReason>(GetParam());
  const SteeringDecision Decision = play(Reason);
  ASSERT_EQ(Decision.Reason, Reason) << "no case plays " << nameOf(Reason);
  const std::vector<EventLog::Fields> Lines = takeLines();
  const bool FollowsADecision = Reason == SteeringReason::KnownFlow ||
                                Reason == SteeringReason::RepeatedOpening;
  ASSERT_EQ(Lines.size(), FollowsADecision ? 0U : 1U);
  if (FollowsADecision)
    return;
  const EventLog::Fields &Line = Lines.front();
  EXPECT_EQ(Line.at("reason"), nameOf(Reason));
  EXPECT_TRUE(Line.contains("flow"));
  EXPECT_EQ(Line.contains("upstream"), Decision.Target != nullptr);
  EXPECT_EQ(Line.contains("tag"), Decision.Action != SteeringAction::Forward);
}

INSTANTIATE_TEST_SUITE_P(AllReasons, EachReason,
                         testing::Range<size_t>(0, SteeringReasonCount));

// Whoever looks into a reset needs the upstream for whose sake it was sent.
TEST_F(SteeringLogTest, AResetNamesItsUpstream) {
  const SteeringDecision Decision = playDead();
  ASSERT_NE(Decision.Target, nullptr);
  EXPECT_EQ(takeLines().at(0).at("upstream"),
            toHex(Decision.Target->Registration.Id));
}

// Guards against a flood that writes lines without a bound.
TEST_F(SteeringLogTest, AFloodOfNewFlowsIsBounded) {
  const uint32_t Limit = EventLog::Settings{}.LinesPerSecond;
  for (uint16_t Port = 1; Port <= 5000; ++Port)
    steer(opening(Port));
  EXPECT_EQ(takeLines().size(), Limit);
  EXPECT_EQ(Log.suppressed(), 5000U - Limit);
}

} // namespace
} // namespace indigopoint
