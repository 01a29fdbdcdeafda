#include "exchange_monitor.h"

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// Flow steering with the hooks of the monitor, and flows at upstream 11 or 12.
class ExchangeMonitorTest : public SteeringFixture {
protected:
  void SetUp() override {
    FlowSteering::Hooks Hooks;
    Hooks.IsOutdated = [this] { return IsOutdated; };
    Hooks.OnUnresponsive = [this](const Upstream &Target) {
      Found.push_back(Target.Registration.Id.value());
    };
    Hooks.OnReportedUnresponsive = [this](const Upstream &Target) {
      Reported.push_back(Target.Registration.Id.value());
    };
    Monitored = std::make_unique<FlowSteering>(
        FlowSteering::Options{"a", makeZoneAwareLeastFlowsPolicy("a")},
        TimeSource, Routes, Upstreams, Metrics, Hooks);
  }

  uint64_t steer(const PacketHeader &Packet) {
    return idOf(Monitored->steer(Packet));
  }

  // Opens a flow and sends a request on it. Returns the id of its upstream.
  uint64_t request(uint16_t Port) {
    const uint64_t Id = steer(opening(Port));
    TimeSource.advance(7ms);
    steer(data(Port, Id, 500));
    return Id;
  }

  // Sends a request on a new flow, which must not go to upstream 11.
  uint64_t requestElsewhere(uint16_t Port) {
    const uint64_t Id = request(Port);
    EXPECT_NE(Id, 11U);
    return Id;
  }

  void answer(uint16_t Port, uint64_t Id, uint32_t AckNumber = 600) {
    PacketHeader Packet = data(Port, Id, AckNumber);
    Packet.Sequence += Packet.DataBytes;
    Packet.DataBytes = 0;
    steer(Packet);
  }

  void close(uint16_t Port, uint64_t Id) {
    PacketHeader Packet = data(Port, Id);
    Packet.DataBytes = 0;
    Packet.IsFinal = true;
    steer(Packet);
  }

  Upstream &upstream(uint64_t Id) { return *Upstreams.find(UpstreamId(Id)); }

  size_t openExchanges() {
    return upstream(11).Exchanges.count() + upstream(12).Exchanges.count();
  }

  bool isUnresponsive(uint64_t Id) {
    return upstream(Id).Responsiveness.isUnresponsive(TimeSource.now());
  }

  // Records an answer of another upstream, so that a missing answer is
  // evidence.
  void answerElsewhere() {
    upstream(13).Responsiveness.recordAnswer(TimeSource.now(),
                                             TimeSource.now());
  }

  // Gives all upstreams a usual response time.
  void setUsualTime(Duration Time) {
    for (const uint64_t Id : {11, 12, 13})
      for (int Count = 0; Count < 3; ++Count)
        upstream(Id).ResponseTimes.record(Time, TimeSource.now());
  }

  std::unique_ptr<FlowSteering> Monitored;
  std::vector<uint64_t> Found;
  std::vector<uint64_t> Reported;
};

// Guards against exchanges that stay counted after their answer, or after the
// flow was closed, replaced by another one on the same port, or removed.
TEST_F(ExchangeMonitorTest, EveryEndOfAFlowEndsItsExchange) {
  const uint64_t First = request(1);
  EXPECT_EQ(openExchanges(), 1U);
  answer(1, First);
  EXPECT_EQ(openExchanges(), 0U);
  close(2, request(2));
  EXPECT_EQ(openExchanges(), 0U);
  request(3);
  PacketHeader Reused = opening(3);
  Reused.Sequence = 5000;
  steer(Reused);
  EXPECT_EQ(openExchanges(), 0U);
  request(4);
  EXPECT_EQ(openExchanges(), 1U);
  TimeSource.advance(16s);
  Monitored->sweep();
  EXPECT_EQ(openExchanges(), 0U);
}

// Guards against exchanges of a moved flow or of an earlier process being
// counted for the wrong upstream or process.
TEST_F(ExchangeMonitorTest, MovedFlowsAndRestartsKeepTheCountsExact) {
  const uint64_t First = steer(opening(1));
  TimeSource.advance(100ms);
  const uint64_t Second = steer(opening(1, ChatAddress, 1));
  ASSERT_NE(First, Second);
  steer(data(1, First, 500));
  EXPECT_EQ(upstream(First).Exchanges.count(), 1U);
  EXPECT_EQ(upstream(Second).Exchanges.count(), 0U);
  UpstreamRegistration Restarted = registration(First, "chat", "a");
  Restarted.StartedAtMs = 5000;
  TimeSource.advance(1ms);
  Upstreams.put(Restarted, ++Revision, TimeSource.now());
  EXPECT_EQ(upstream(First).Exchanges.count(), 0U);
  TimeSource.advance(300ms);
  answer(1, First);
  EXPECT_EQ(upstream(First).Exchanges.count(), 0U);
  EXPECT_EQ(Found, std::vector<uint64_t>{});
}

// Guards against evidence before both conditions hold: half of the target, or
// 200 ms, and four times the usual response time.
TEST_F(ExchangeMonitorTest, EvidenceNeedsBothAges) {
  const uint64_t First = request(1);
  TimeSource.advance(200ms);
  answerElsewhere();
  Monitored->sweep();
  EXPECT_TRUE(Found.empty());
  TimeSource.advance(1ms);
  Monitored->sweep();
  EXPECT_EQ(Found, std::vector<uint64_t>{First});
  setUsualTime(100ms);
  const uint64_t Second = request(2);
  TimeSource.advance(400ms);
  answerElsewhere();
  Monitored->sweep();
  EXPECT_EQ(Found.size(), 1U);
  TimeSource.advance(1ms);
  Monitored->sweep();
  EXPECT_EQ(Found, (std::vector<uint64_t>{First, Second}));
}

// Guards against a client with several flows at a time, whose newer flow must
// not hide that the request of the older one is overdue.
TEST_F(ExchangeMonitorTest, NewerFlowOfTheClientHidesNoEvidence) {
  const uint64_t First = request(1);
  TimeSource.advance(200ms);
  answer(2, request(2));
  TimeSource.advance(210ms);
  Monitored->sweep();
  EXPECT_EQ(Found, std::vector<uint64_t>{First});
}

// Guards against a route's target response time that is not regarded.
TEST_F(ExchangeMonitorTest, EvidenceFollowsTheTargetOfTheRoute) {
  Route Served{"chat", ChatAddress, {{"chat", 1}}, true};
  Served.Aim = 600ms;
  configure(2, {Served});
  request(1);
  TimeSource.advance(300ms);
  answerElsewhere();
  Monitored->sweep();
  EXPECT_TRUE(Found.empty());
  TimeSource.advance(1ms);
  Monitored->sweep();
  EXPECT_EQ(Found.size(), 1U);
}

// Guards against new flows at an unresponsive upstream, and against a choice of
// another zone or none when all are unresponsive.
TEST_F(ExchangeMonitorTest, NewFlowsGoToOtherUpstreams) {
  const uint64_t First = request(1);
  TimeSource.advance(201ms);
  answerElsewhere();
  for (uint16_t Port = 10; Port < 16; ++Port)
    EXPECT_EQ(request(Port), 23 - First);
  EXPECT_TRUE(isUnresponsive(First));
}

// Guards against evidence from a fault of this instance or its network.
TEST_F(ExchangeMonitorTest, NoEvidenceIfNoUpstreamAnswers) {
  const uint64_t First = request(1);
  TimeSource.advance(300ms);
  Monitored->sweep();
  EXPECT_TRUE(Found.empty());
  answerElsewhere();
  TimeSource.advance(350ms);
  Monitored->sweep();
  EXPECT_EQ(Found, std::vector<uint64_t>{First});
}

// Guards against evidence from packets that waited while the process was
// paused.
TEST_F(ExchangeMonitorTest, NoEvidenceWhileOutdated) {
  const uint64_t First = request(1);
  TimeSource.advance(5s);
  IsOutdated = true;
  answer(1, First);
  IsOutdated = false;
  Monitored->sweep();
  EXPECT_TRUE(Found.empty());
}

// Guards against clients that give up before four times the usual response
// time, and against counting an exchange twice.
TEST_F(ExchangeMonitorTest, AbandonedExchangesAreEvidence) {
  setUsualTime(400ms);
  drain(12, "chat", "a");
  request(1);
  request(2);
  request(3);
  TimeSource.advance(150ms);
  close(1, 11);
  TimeSource.advance(100ms);
  answerElsewhere();
  close(2, 11);
  EXPECT_TRUE(Found.empty());
  steer(opening(4));
  EXPECT_EQ(Found, std::vector<uint64_t>{11});
  close(3, 11);
  EXPECT_EQ(Found.size(), 1U);
}

// Guards against reported evidence without an effect on the choice.
TEST_F(ExchangeMonitorTest, ReportedUpstreamsAreAvoided) {
  add(14, "chat", "a");
  add(15, "chat", "a");
  add(16, "chat", "a");
  Monitored->recordPeerEvidence(
      {{9, 7000}, "a", 1, {{UpstreamId(11), 0, 0ms}}});
  EXPECT_EQ(Reported, std::vector<uint64_t>{11});
  for (uint16_t Port = 10; Port < 40; ++Port)
    answer(Port, requestElsewhere(Port));
  EXPECT_EQ(Upstreams.countUnresponsive(TimeSource.now()), 1U);
}

// Guards against an option without effect.
TEST_F(ExchangeMonitorTest, PolicyCanIgnoreTheEvidence) {
  request(1);
  TimeSource.advance(201ms);
  answerElsewhere();
  Monitored->sweep();
  ASSERT_EQ(Found.size(), 1U);
  PlacementOptions Opts;
  Opts.AvoidUnresponsive = false;
  Opts.CountOpenFlows = false;
  auto Policy = makeZoneAwareLeastFlowsPolicy("a", Opts);
  std::set<uint64_t> Chosen;
  for (uint16_t Port = 10; Port < 40; ++Port)
    Chosen.insert(Policy({&upstream(11), &upstream(12)},
                         {opening(Port).Flow, {}, 0}, TimeSource.now())
                      ->Registration.Id.value());
  EXPECT_EQ(Chosen.size(), 2U);
}

} // namespace
} // namespace indigopoint
