#include "steering_log.h"

#include <functional>
#include <map>

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// Runs one case of each steering reason and reads the log lines that it writes.
class SteeringLogTest : public SteeringFixture {
protected:
  // Steers the packet and logs the decision, as the forwarder does.
  SteeringDecision steer(const PacketHeader &Packet) {
    SteeringDecision Decision = Steering.steer(Packet);
    write(Packet, Decision);
    return Decision;
  }

  void write(const PacketHeader &Packet, const SteeringDecision &Decision) {
    if (const auto Event = logEventOf(Decision))
      Log.write(*Event, [&] { return describe(Packet, Decision); });
  }

  // Removes and returns the pending log lines.
  std::vector<EventLog::Fields> popLines() {
    std::vector<EventLog::Fields> Lines;
    std::istringstream Text{std::string(Log.pending())};
    for (std::string Line; std::getline(Text, Line);)
      Lines.push_back(EventLog::Fields::parse(Line));
    Log.consume(Log.pending().size());
    return Lines;
  }

  SteeringDecision runUpstreamDeadCase() {
    return steer(data(1, openAtDeadUpstream(), 500));
  }

  SteeringDecision runUpstreamGoneCase() {
    configure(2, {{"chat", ChatAddress, {{"chat", 1}}, false},
                  {"photos", PhotoAddress, {{"photos", 1}}, false}});
    const uint64_t Id = open(1);
    Upstreams.remove(UpstreamId(Id), TimeSource.now());
    TimeSource.advance(3s);
    Upstreams.recordStoreSync(TimeSource.now());
    open(2, PhotoAddress);
    Steering.steer(data(1, Id, 500));
    Steering.recordCheckResult(UpstreamId(Id), CheckResult::Refused);
    return steer(data(1, Id, 500));
  }

  SteeringDecision runAddressReusedCase() {
    const uint64_t Id = open(1, PhotoAddress);
    Upstreams.remove(UpstreamId(Id), TimeSource.now());
    UpstreamRegistration NewRegistration = registration(99, "chat", "a");
    NewRegistration.Address = registration(Id, "photos", "a").Address;
    Upstreams.put(NewRegistration, ++Revision, TimeSource.now());
    return steer(data(1, Id, 700, PhotoAddress));
  }

  SteeringDecision runRouteRemovedCase() {
    const uint64_t Id = open(1, PhotoAddress);
    configure(2, {{"chat", ChatAddress, {{"chat", 1}}, false}});
    return steer(data(1, Id, 600, PhotoAddress));
  }

  SteeringDecision runNoUpstreamCase() {
    Upstreams.remove(UpstreamId(21), TimeSource.now());
    return steer(opening(1, PhotoAddress));
  }

  SteeringDecision runNoConfigurationCase() {
    RouteTable EmptyTable;
    FlowSteering NewSteering({"a", makeZoneAwareLeastFlowsPolicy("a")},
                             TimeSource, EmptyTable, Upstreams, Metrics, {});
    const PacketHeader Packet = opening(1);
    SteeringDecision Decision = NewSteering.steer(Packet);
    write(Packet, Decision);
    return Decision;
  }

  // Sends a second opening packet of a flow after a delay.
  SteeringDecision runSecondOpeningCase(Duration Delay, uint32_t CopyCount) {
    Steering.steer(opening(1));
    TimeSource.advance(Delay);
    return steer(opening(1, ChatAddress, CopyCount));
  }

  SteeringDecision runCase(SteeringReason Reason) {
    switch (Reason) {
    case SteeringReason::NewFlow:
      return steer(opening(1));
    case SteeringReason::RepeatedOpening:
      return runSecondOpeningCase(1ms, 0);
    case SteeringReason::MovedOpening:
      return runSecondOpeningCase(200ms, 1);
    case SteeringReason::KnownFlow:
      return steer(data(1, open(1), 600));
    case SteeringReason::TaggedFlow:
      return steer(data(1, 11));
    case SteeringReason::OpenedElsewhere:
      return steer(firstData(1, 11));
    case SteeringReason::ReportedFlow:
      Steering.recordPlacement({data(1, 0).Flow, UpstreamId(11), 1000});
      return steer(firstData(1, 12));
    case SteeringReason::NoConfiguration:
      return runNoConfigurationCase();
    case SteeringReason::Paused:
      IsOutdated = true;
      return steer(opening(1));
    case SteeringReason::NoRoute:
      return steer(opening(1, UnknownAddress));
    case SteeringReason::RouteRemoved:
      return runRouteRemovedCase();
    case SteeringReason::NoUpstream:
      return runNoUpstreamCase();
    case SteeringReason::UnknownTag:
      return steer(data(1, 0));
    case SteeringReason::AddressReused:
      return runAddressReusedCase();
    case SteeringReason::UpstreamGone:
      return runUpstreamGoneCase();
    case SteeringReason::UpstreamDead:
      return runUpstreamDeadCase();
    }
    return {};
  }

  EventLog Log{{"test"}, TimeSource};
};

class SteeringReasonLogTest : public SteeringLogTest,
                              public testing::WithParamInterface<size_t> {};

// Guards against a decision that is not logged, or is logged without its
// fields. The test fails for a new reason until a case is added for it.
TEST_P(SteeringReasonLogTest, IsLoggedOnceWithAllFields) {
  const auto Reason = static_cast<SteeringReason>(GetParam());
  const SteeringDecision Decision = runCase(Reason);
  ASSERT_EQ(Decision.Reason, Reason) << "no case produces " << nameOf(Reason);
  const std::vector<EventLog::Fields> Lines = popLines();
  const bool IsNotLogged = Reason == SteeringReason::KnownFlow ||
                           Reason == SteeringReason::RepeatedOpening;
  ASSERT_EQ(Lines.size(), IsNotLogged ? 0U : 1U);
  if (IsNotLogged)
    return;
  const EventLog::Fields &Line = Lines.front();
  EXPECT_EQ(Line.at("reason"), nameOf(Reason));
  EXPECT_TRUE(Line.contains("flow"));
  EXPECT_EQ(Line.contains("upstream"), Decision.Target != nullptr);
  EXPECT_EQ(Line.contains("tag"), Decision.Action != SteeringAction::Forward);
  EXPECT_EQ(Line.contains("cause"), Decision.Evidence.has_value());
}

INSTANTIATE_TEST_SUITE_P(AllReasons, SteeringReasonLogTest,
                         testing::Range<size_t>(0, SteeringReasonCount));

// An operator who investigates a reset needs to know the upstream that caused
// it.
TEST_F(SteeringLogTest, ResetIsLoggedWithItsUpstream) {
  const SteeringDecision Decision = runUpstreamDeadCase();
  ASSERT_NE(Decision.Target, nullptr);
  EXPECT_EQ(popLines().at(0).at("upstream"),
            toHex(Decision.Target->Registration.Id));
}

struct ResetCase {
  ResetCause Cause;
  // Null if the line has no such field.
  EventLog::Fields EvidenceAgeMs;
  EventLog::Fields SinceAnswerMs;
};

class ResetCauseLogTest : public SteeringLogTest,
                          public testing::WithParamInterface<ResetCase> {
protected:
  void failCheck(UpstreamId Id, ResetCause Cause) {
    open(2, PhotoAddress);
    ReachabilityTracker &Reachability = Upstreams.find(Id)->Reachability;
    Reachability.recordOpenTimeout(TimeSource.now());
    Reachability.startCheckIfDue(TimeSource.now());
    for (int Check = 0; Check < 2; ++Check)
      Steering.recordCheckResult(Id, Cause == ResetCause::CheckRefused
                                         ? CheckResult::Refused
                                         : CheckResult::NoAnswer);
  }

  // Opens a flow, whose upstream then does not answer, and resets it.
  void resetFor(ResetCause Cause) {
    if (Cause == ResetCause::MissingFromStore)
      return void(runUpstreamGoneCase());
    if (Cause == ResetCause::AddressReused)
      return void(runAddressReusedCase());
    if (Cause == ResetCause::RouteRemoved)
      return void(runRouteRemovedCase());
    const UpstreamId Id(open(1));
    TimeSource.advance(500ms);
    if (Cause == ResetCause::ZoneSilent) {
      Upstreams.find(Id)->Reachability.recordSilence(TimeSource.now());
      TimeSource.advance(50ms);
      return void(steer(data(1, Id.value(), 500)));
    }
    failCheck(Id, Cause);
    TimeSource.advance(50ms);
    Steering.resetFlowsOfDeadUpstreams();
  }
};

// Guards against a reset that does not tell what it was based on.
TEST_P(ResetCauseLogTest, IsLoggedAndCountedWithItsEvidence) {
  const ResetCase &Case = GetParam();
  resetFor(Case.Cause);
  for (const auto &[Packet, Decision] : Resets)
    write(Packet, Decision);
  const std::vector<EventLog::Fields> Lines = popLines();
  ASSERT_FALSE(Lines.empty());
  const EventLog::Fields &Line = Lines.back();
  EXPECT_EQ(Line.at("event"), "flow-reset");
  EXPECT_EQ(Line.at("cause"), nameOf(Case.Cause));
  EXPECT_EQ(Line.value("evidenceAgeMs", EventLog::Fields()),
            Case.EvidenceAgeMs);
  EXPECT_EQ(Line.value("sinceAnswerMs", EventLog::Fields()),
            Case.SinceAnswerMs);
  EXPECT_GE(Metrics.flowResets(Case.Cause), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    AllCauses, ResetCauseLogTest,
    testing::Values(ResetCase{ResetCause::CheckRefused, 50, 557},
                    ResetCase{ResetCause::CheckTimedOut, 50, 557},
                    ResetCase{ResetCause::ZoneSilent, 50, 550},
                    ResetCase{ResetCause::MissingFromStore, 3007, 3007},
                    ResetCase{ResetCause::AddressReused, 0, 0},
                    ResetCase{ResetCause::RouteRemoved, {}, {}}));

// Guards against a flood of new flows that writes an unlimited number of lines.
TEST_F(SteeringLogTest, LinesOfAFlowFloodAreLimited) {
  const uint32_t Limit = EventLog::Options{}.LinesPerSecond;
  for (uint16_t Port = 1; Port <= 5000; ++Port)
    steer(opening(Port));
  EXPECT_EQ(popLines().size(), Limit);
  EXPECT_EQ(Log.suppressed(), 5000U - Limit);
}

} // namespace
} // namespace indigopoint
