// A zone whose upstreams all fall silent while those of another zone answer.

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "steering_fixture.h"
#include "steering_log.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t OwnUpstreams = 12;
constexpr Duration Step = 10ms;

// Upstreams 1 to 12 are in the own zone, 13 to 16 in another one. Every second
// one serves photos.
struct ZoneCase {
  const char *Name;
  // Which upstreams answer after the first second.
  std::function<bool(uint64_t)> Answers;
  bool IsSilent;
  Duration Period = 1200ms;
  uint64_t Known = OwnUpstreams;
  // Time between two requests.
  Duration Interval = 20ms;
};

class SilentZoneTest : public testing::Test {
protected:
  static std::string serviceOf(uint64_t Id) {
    return Id % 2 == 0 ? "photos" : "chat";
  }

  void run(Duration Period, const ZoneCase &Case, bool IsFaulty) {
    const uint64_t All = Case.Known + 4;
    for (const TimePoint End = TimeSource.Now + Period; TimeSource.Now < End;
         TimeSource.advance(Step)) {
      if (TimeSource.Now >= NextRequest) {
        const uint64_t Id = Turn++ % All + 1;
        const bool IsOwn = Id <= Case.Known;
        const uint64_t Shown = IsOwn ? Id : OwnUpstreams + Id - Case.Known;
        Gate.recordSent(serviceOf(Id), UpstreamId(Shown), IsOwn,
                        TimeSource.Now);
        if (!IsFaulty || Case.Answers(Shown))
          Gate.recordAnswer(IsOwn, TimeSource.Now);
        NextRequest = TimeSource.Now + Case.Interval;
      }
      update(Case);
    }
  }

  void update(const ZoneCase &Case) {
    Gate.update({{All, 2},
                 {Case.Known, std::min<size_t>(Case.Known, 2)},
                 TimeSource.Now + 4s,
                 LastStart},
                TimeSource.Now);
  }

  static constexpr size_t All = OwnUpstreams + 4;
  ManualClock TimeSource;
  ReachabilityGate Gate;
  TimePoint LastStart{};
  TimePoint NextRequest{};
  uint64_t Turn = 0;
};

bool isForeign(uint64_t Id) { return Id > OwnUpstreams; }

// Guards against clients that stay with a zone without upstreams, and against a
// zone that is given up although some of its upstreams work.
TEST_F(SilentZoneTest, IsLeftOnlyIfAllItsUpstreamsAreSilent) {
  const std::vector<ZoneCase> Cases = {
      {"all silent", isForeign, true},
      {"all silent, little traffic", isForeign, true, 2500ms, OwnUpstreams,
       90ms},
      {"all silent for a short time", isForeign, false, 550ms},
      {"one answers", [](uint64_t Id) { return Id == 3 || isForeign(Id); },
       false, 10s},
      {"a service answers",
       [](uint64_t Id) { return Id % 2 == 1 || isForeign(Id); }, false, 10s},
      {"no zone answers", [](uint64_t) { return false; }, false, 10s},
      {"three upstreams, all silent", isForeign, true, 1200ms, 3},
      {"two upstreams, all silent", isForeign, false, 10s, 2},
      {"no upstreams in the zone", isForeign, false, 10s, 0},
  };
  for (const ZoneCase &Case : Cases) {
    SCOPED_TRACE(Case.Name);
    Gate = ReachabilityGate();
    run(1s, Case, false);
    run(Case.Period, Case, true);
    EXPECT_EQ(Gate.isZoneSilent(), Case.IsSilent);
    EXPECT_EQ(Gate.isReachable(TimeSource.Now), !Case.IsSilent);
  }
}

// Guards against a zone that stays without clients after its upstreams return.
TEST_F(SilentZoneTest, IsUsedAgainAfterAnAnswerAStartOrATrial) {
  const ZoneCase Dark{"dark", isForeign, true};
  const ZoneCase Removed{"registrations removed", isForeign, true, 0s, 0};
  const auto Silence = [&] {
    Gate = ReachabilityGate();
    run(1s, Dark, false);
    run(1200ms, Dark, true);
    ASSERT_TRUE(Gate.isZoneSilent());
  };
  Silence();
  Gate.recordAnswer(true, TimeSource.Now);
  EXPECT_TRUE(Gate.isReachable(TimeSource.Now)) << "answer";
  Silence();
  LastStart = TimeSource.Now;
  update(Dark);
  EXPECT_TRUE(Gate.isReachable(TimeSource.Now)) << "start";
  Silence();
  run(8s, Dark, true);
  EXPECT_FALSE(Gate.isReachable(TimeSource.Now)) << "before the trial";
  TimeSource.advance(2s);
  update(Dark);
  EXPECT_TRUE(Gate.isReachable(TimeSource.Now)) << "trial";
  Silence();
  TimeSource.advance(1min);
  update(Removed);
  EXPECT_FALSE(Gate.isReachable(TimeSource.Now)) << "registrations removed";
}

// Guards against a loss of upstreams that does not tell a silent zone from an
// instance without traffic or without answers of any zone.
TEST_F(SilentZoneTest, TellsWhichAnswersAreMissing) {
  EXPECT_EQ(Gate.silence(TimeSource.Now).SinceOwnZoneAnswer, std::nullopt);
  const ZoneCase Dark{"dark", isForeign, true};
  run(1s, Dark, false);
  const TimePoint Fault = TimeSource.Now;
  while (!Gate.isZoneSilent())
    run(Step, Dark, true);
  const ReachabilityGate::Silence Found = Gate.silence(TimeSource.Now);
  EXPECT_EQ(Found.Waits.Waiting.Upstreams, OwnUpstreams);
  EXPECT_GE(Found.Waits.LongestWait, 600ms);
  EXPECT_LE(Found.Waits.LongestWait, TimeSource.Now - Fault);
  EXPECT_GE(Found.SinceOwnZoneAnswer, TimeSource.Now - Fault);
  EXPECT_LT(Found.SinceOtherZoneAnswer, Found.SinceOwnZoneAnswer);
  EXPECT_EQ(describeSilence(Found).at("waitingUpstreams"), OwnUpstreams);
}

// Clients in zone "a", whose upstreams go dark. Those of chat keep their flow,
// those of photos open one for each request.
class DarkZoneLoadTest : public SteeringFixture {
protected:
  static constexpr size_t Clients = 120;
  static constexpr Duration RequestPeriod = 2s;
  static constexpr Duration Response = 30ms;
  static constexpr Duration TimeLimit = 1500ms;
  static constexpr Duration Retransmission = 200ms;
  static constexpr Duration CheckTime = 250ms;

  struct Client {
    uint64_t Upstream = 0;
    uint16_t Port = 0;
    uint32_t Sequence = 1001;
    uint32_t Answers = 500;
    TimePoint NextRequest{};
    std::optional<TimePoint> AnswerAt;
    std::optional<TimePoint> GivesUpAt;
  };

  DarkZoneLoadTest() {
    configure(2, {{"chat", ChatAddress, {{"chat", 1}}, false},
                  {"photos", PhotoAddress, {{"photos", 1}}, false}});
    for (uint64_t Id = 31; Id < 51; ++Id)
      add(Id, Id % 2 == 0 ? "chat" : "photos", "a");
    for (uint64_t Id = 61; Id < 71; ++Id)
      add(Id, Id % 2 == 0 ? "chat" : "photos", "b");
  }

  // Plays 4 s in which the upstreams of zone "a" do not answer. Returns how
  // many requests of open flows were lost.
  int play(bool ResetsFlows) {
    ReachabilityGate Gate;
    CheckOptions Checks;
    Checks.ResetFlowsOfSilentZone = ResetsFlows;
    FlowSteering Instance{
        {"a", makeZoneAwareLeastFlowsPolicy("a"), {}, Checks, {}, &Gate},
        TimeSource,
        Routes,
        Upstreams,
        Metrics,
        {.OnCheckNeeded =
             [this](const Upstream &Suspect) {
               PendingChecks.emplace_back(TimeSource.now() + CheckTime,
                                          Suspect.Registration.Id);
             },
         .OnReset =
             [this](const PacketHeader &Packet, const SteeringDecision &) {
               Client &Owner = All[Packet.Flow.Client.Port % Clients];
               // An earlier flow of the client, which has ended.
               if (Owner.Port != Packet.Flow.Client.Port)
                 return;
               EXPECT_FALSE(Owner.GivesUpAt) << "a request was cut off";
               Owner.Upstream = 0;
             }}};
    All.assign(Clients, {});
    for (size_t Index = 0; Index < Clients; ++Index)
      All[Index].NextRequest =
          TimeSource.now() + RequestPeriod * Index / Clients;
    int Lost = 0;
    const TimePoint DarkFrom = TimeSource.now() + 4s;
    for (const TimePoint End = DarkFrom + 4s; TimeSource.now() < End;
         TimeSource.advance(Step)) {
      const bool IsDark = TimeSource.now() >= DarkFrom;
      for (size_t Index = 0; Index < Clients; ++Index)
        Lost += step(Instance, All[Index], Index, IsDark) ? 1 : 0;
      const bool WasSilent = Gate.isZoneSilent();
      const bool WasSuspect = Gate.isZoneSuspect();
      Gate.update({Upstreams.available(),
                   Upstreams.availableIn("a"),
                   TimeSource.now() + 4s,
                   {}},
                  TimeSource.now());
      if (Gate.isZoneSilent() && !WasSilent)
        Instance.leaveSilentZone();
      else if (Gate.isZoneSuspect() && !WasSuspect)
        Instance.checkLateUpstreams();
      while (!PendingChecks.empty() &&
             PendingChecks.front().first <= TimeSource.now()) {
        const UpstreamId Checked = PendingChecks.front().second;
        PendingChecks.pop_front();
        const bool IsAnswered = !IsDark || isInZoneB(Checked.value());
        Instance.recordCheckResult(Checked, IsAnswered ? CheckResult::Accepted
                                                       : CheckResult::NoAnswer);
      }
      Instance.resetFlowsOfDeadUpstreams();
    }
    EXPECT_TRUE(Gate.isZoneSilent());
    return Lost;
  }

  // Returns whether the client gave up a request.
  bool step(FlowSteering &Instance, Client &Owner, size_t Index, bool IsDark) {
    const TimePoint Now = TimeSource.now();
    const Endpoint Address = Index % 4 == 0 ? PhotoAddress : ChatAddress;
    if (Owner.AnswerAt && Now >= *Owner.AnswerAt) {
      Owner.AnswerAt.reset();
      Owner.GivesUpAt.reset();
      PacketHeader Answered = data(Owner.Port, 0, ++Owner.Answers, Address);
      Answered.DataBytes = 0;
      Instance.steer(Answered);
      if (Address == PhotoAddress)
        Owner.Upstream = 0;
    }
    if (Owner.GivesUpAt && Now >= *Owner.GivesUpAt) {
      Owner.GivesUpAt.reset();
      Owner.Upstream = 0;
      return true;
    }
    if (Now < Owner.NextRequest || Owner.GivesUpAt)
      return false;
    if (Owner.Upstream == 0 && !openFlow(Instance, Owner, Index, IsDark)) {
      Owner.NextRequest = Now + Retransmission;
      return false;
    }
    Owner.NextRequest = Now + RequestPeriod;
    PacketHeader Request =
        data(Owner.Port, Owner.Upstream, Owner.Answers, Address);
    Request.Sequence = Owner.Sequence;
    Owner.Sequence += Request.DataBytes;
    Instance.steer(Request);
    Owner.GivesUpAt = Now + TimeLimit;
    if (!IsDark || isInZoneB(Owner.Upstream))
      Owner.AnswerAt = Now + Response;
    return false;
  }

  // Returns whether an upstream answered the opening.
  bool openFlow(FlowSteering &Instance, Client &Owner, size_t Index,
                bool IsDark) {
    const Endpoint Address = Index % 4 == 0 ? PhotoAddress : ChatAddress;
    Owner.Port = static_cast<uint16_t>(Index + Clients * ++Opened[Index]);
    const uint64_t Id = idOf(Instance.steer(opening(Owner.Port, Address)));
    if (IsDark && !isInZoneB(Id))
      return false;
    Owner.Upstream = Id;
    Owner.Sequence = 1001;
    return true;
  }

  bool isInZoneB(uint64_t Id) {
    const Upstream *Target = Upstreams.find(UpstreamId(Id));
    return Target != nullptr && Target->Registration.Zone == "b";
  }

  std::deque<std::pair<TimePoint, UpstreamId>> PendingChecks;
  std::vector<Client> All;
  std::vector<size_t> Opened = std::vector<size_t>(Clients);
};

// Guards against clients that send the next request on a flow whose upstream is
// known to be silent, and against the loss of a request that waits.
TEST_F(DarkZoneLoadTest, ClientsOfIdleFlowsLoseNoRequest) {
  const int LostBefore = play(false);
  const int Lost = play(true);
  RecordProperty("lost", Lost);
  RecordProperty("lostWithoutResets", LostBefore);
  // Requests of the time until the silence is noticed are lost: a second of the
  // two within which each client sends one.
  EXPECT_LE(Lost, Clients / 2);
  EXPECT_GE(LostBefore, Clients * 3 / 4);
}

} // namespace
} // namespace indigopoint
