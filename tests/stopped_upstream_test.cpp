// Flows of an upstream that connection checks found to have stopped.

#include <vector>

#include <gtest/gtest.h>

#include "steering_fixture.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr int64_t StartedAtMs = 1000;

class StoppedUpstreamTest : public SteeringFixture {
protected:
  enum class Wait : uint8_t { Idle, Idempotent, NonIdempotent, Adopted };

  StoppedUpstreamTest() {
    configure(2, {{"chat", ChatAddress, {{"chat", 1}}, true},
                  {"photos", PhotoAddress, {{"photos", 1}}, false}});
    UpstreamRegistration Other = registration(21, "photos", "a");
    Other.StartedAtMs = StartedAtMs;
    Upstreams.put(Other, ++Revision, TimeSource.now());
    for (const uint64_t Id : {11, 12, 13}) {
      UpstreamRegistration Chat =
          registration(Id, "chat", Id == 13 ? "b" : "a");
      Chat.StartedAtMs = StartedAtMs;
      Upstreams.put(Chat, ++Revision, TimeSource.now());
    }
  }

  // Opens a flow whose client sends a request and, if \p State is Idle, gets
  // the answer. Returns the id of the upstream.
  uint64_t openFlow(Wait State) {
    const Endpoint Address = isIdempotent(State) ? ChatAddress : PhotoAddress;
    if (State == Wait::Adopted) {
      const uint64_t Known =
          idOf(Steering.steer(data(++Port, 21, 500, Address)));
      TimeSource.advance(500ms);
      return Known;
    }
    const uint64_t Id = open(++Port, Address);
    if (State == Wait::Idle) {
      TimeSource.advance(30ms);
      PacketHeader Answered = data(Port, 0, 600, Address);
      Answered.DataBytes = 0;
      Steering.steer(Answered);
    }
    TimeSource.advance(500ms);
    return Id;
  }

  // An answer of another upstream shows that the own path works.
  void openAtOther() { open(++Port, PhotoAddress); }

  static bool isIdempotent(Wait State) {
    return State == Wait::Idle || State == Wait::Idempotent;
  }

  void report(uint32_t Sender, uint64_t Id, bool HasStopped = true,
              Duration Age = {}, int64_t Start = StartedAtMs) {
    PeerReport Report{{Sender, 7000}, "a", ++Sequence, {}};
    Report.Evidence.push_back({UpstreamId(Id), Start, Age, HasStopped});
    Steering.recordPeerEvidence(Report);
  }

  size_t resets() {
    ResetFlows.clear();
    Steering.resetFlowsOfDeadUpstreams();
    return ResetFlows.size();
  }

  uint16_t Port = 0;
  uint64_t Sequence = 0;
};

// Guards against a client that sends its next request to an upstream that is
// known to have stopped, and against the loss of an answer that may still come.
TEST_F(StoppedUpstreamTest, FailedCheckResetsFlowsThatLoseNothing) {
  for (const Wait State :
       {Wait::Idle, Wait::Idempotent, Wait::NonIdempotent, Wait::Adopted}) {
    TimeSource.advance(5s);
    const uint64_t Id = openFlow(State);
    // An answer of another upstream shows that the own path works.
    open(++Port, isIdempotent(State) ? PhotoAddress : ChatAddress);
    Upstreams.find(UpstreamId(Id))
        ->Reachability.recordOpenTimeout(TimeSource.now());
    Upstreams.find(UpstreamId(Id))
        ->Reachability.startCheckIfDue(TimeSource.now());
    Steering.recordCheckResult(UpstreamId(Id), CheckResult::Refused);
    EXPECT_EQ(resets(), isIdempotent(State) ? 1U : 0U)
        << "state " << static_cast<int>(State);
    EXPECT_EQ(resets(), 0U) << "no new failure";
    Upstreams.find(UpstreamId(Id))->Reachability.recordAnswer(TimeSource.now());
  }
}

// Guards against an instance that gives up open flows because no packet of a
// client came: clients, upstreams or the instance itself may only be late. The
// users saw 20 such flows at one moment.
TEST_F(StoppedUpstreamTest, SilenceOfTheZoneGivesUpNoFlowWithoutAFailedCheck) {
  const uint64_t Id = openFlow(Wait::Idle);
  const uint64_t OtherId = openFlow(Wait::Idempotent);
  ASSERT_NE(Id, OtherId);
  CheckedUpstreams.clear();
  Steering.leaveSilentZone();
  EXPECT_EQ(resets(), 0U);
  EXPECT_EQ(CheckedUpstreams, std::vector<uint64_t>({11, 12}));
  for (const uint64_t Checked : std::vector(CheckedUpstreams))
    Steering.recordCheckResult(UpstreamId(Checked), CheckResult::Accepted);
  EXPECT_EQ(resets(), 0U);
  openFlow(Wait::Idle);
  TimeSource.advance(1s);
  openAtOther();
  Steering.leaveSilentZone();
  Steering.recordCheckResult(UpstreamId(Id), CheckResult::Refused);
  EXPECT_GT(resets(), 0U);
}

// An instance to which the whole zone is silent needs no check of its own of an
// upstream that two others found to have stopped. Guards against the word of
// one, against a word older than an answer, and against silence that is itself
// only the word of others.
TEST_F(StoppedUpstreamTest, TwoWitnessesSufficeInAZoneThatIsSilentToSelf) {
  struct Case {
    const char *Name;
    uint32_t Reporters;
    Duration Age;
    bool HasSent;
    bool IsReset;
  };
  for (const Case &Played :
       std::vector<Case>{{"one", 1, 0ms, true, false},
                         {"two", 2, 0ms, true, true},
                         {"two, older than an answer", 2, 1900ms, true, false},
                         {"two, nothing was sent", 2, 0ms, false, false}}) {
    SCOPED_TRACE(Played.Name);
    ReachabilityGate Gate;
    int Resets = 0;
    FlowSteering Instance{
        {"a", makeZoneAwareLeastFlowsPolicy("a"), {}, {}, {}, &Gate},
        TimeSource,
        Routes,
        Upstreams,
        Metrics,
        {.OnReset = [&](const PacketHeader &, const SteeringDecision &) {
          ++Resets;
        }}};
    TimeSource.advance(5s);
    // An idle flow at each upstream of the zone.
    for (const uint64_t Id : {11, 12, 21}) {
      Upstreams.find(UpstreamId(Id))
          ->Reachability.recordAnswer(TimeSource.now());
      PacketHeader Answered = data(++Port, Id);
      Answered.DataBytes = 0;
      Instance.steer(Answered);
    }
    TimeSource.advance(500ms);
    for (const uint64_t Id : {11, 12, 21}) {
      const std::string Service = Id == 21 ? "photos" : "chat";
      if (Played.HasSent)
        Gate.recordSent(Service, UpstreamId(Id), true, TimeSource.now());
      else
        Gate.recordReported(Service, UpstreamId(Id), true, TimeSource.now());
    }
    TimeSource.advance(700ms);
    Gate.recordAnswer(false, TimeSource.now());
    Gate.update({{4, 2}, {3, 2}, TimeSource.now() + 4s, {}}, TimeSource.now());
    ASSERT_TRUE(Gate.isZoneSilent());
    Instance.leaveSilentZone();
    for (uint32_t Sender = 1; Sender <= Played.Reporters; ++Sender) {
      PeerReport Report{{Sender, 7000}, "a", ++Sequence, {}};
      for (const uint64_t Id : {11, 12, 21})
        Report.Evidence.push_back(
            {UpstreamId(Id), StartedAtMs, Played.Age, true});
      Instance.recordPeerEvidence(Report);
    }
    Instance.resetFlowsOfDeadUpstreams();
    EXPECT_EQ(Resets, Played.IsReset ? 3 : 0);
  }
}

// Guards against resets on the word of other instances, which may be old or be
// that of their own path, and on one check without an answer. A failure counts
// if a second witness confirms it, or if the upstream's machine refused.
TEST_F(StoppedUpstreamTest, FlowsAreGivenUpOnlyOnAConfirmedCheckOfOnesOwn) {
  using Step = std::function<void(uint64_t)>;
  struct Case {
    const char *Name;
    std::vector<Step> Steps;
    bool IsReset;
  };
  const auto Reported = [&](uint32_t Sender, Duration Age = {},
                            int64_t Start = StartedAtMs,
                            bool HasStopped = true) -> Step {
    return
        [=, this](uint64_t Id) { report(Sender, Id, HasStopped, Age, Start); };
  };
  const auto Checked = [&](CheckResult Result) -> Step {
    return [=, this](uint64_t Id) {
      openAtOther();
      ReachabilityTracker &State = Upstreams.find(UpstreamId(Id))->Reachability;
      State.recordOpenTimeout(TimeSource.now());
      State.startCheckIfDue(TimeSource.now());
      TimeSource.advance(250ms);
      Steering.recordCheckResult(UpstreamId(Id), Result);
    };
  };
  const Step Repeated = [this](uint64_t Id) {
    EXPECT_EQ(CheckedUpstreams, std::vector<uint64_t>({Id}));
    TimeSource.advance(250ms);
    Steering.recordCheckResult(UpstreamId(Id), CheckResult::NoAnswer);
  };
  const Step Answers = [this](uint64_t Id) {
    Upstreams.find(UpstreamId(Id))->Reachability.recordAnswer(TimeSource.now());
  };
  const auto Passes = [&](Duration Time) -> Step {
    return [=, this](uint64_t) { TimeSource.advance(Time); };
  };
  const Step NoAnswer = Checked(CheckResult::NoAnswer);
  const Step Refused = Checked(CheckResult::Refused);
  const Step Drains = [this](uint64_t Id) {
    Upstream &Target = *Upstreams.find(UpstreamId(Id));
    UpstreamRegistration Registration = Target.Registration;
    Registration.Draining = true;
    Upstreams.put(Registration, Target.CreatedRevision, TimeSource.now());
  };
  const Step Leaves = [this](uint64_t Id) {
    Upstreams.remove(UpstreamId(Id), TimeSource.now());
  };
  const auto Congested = [&](const Step &Played) -> Step {
    return [=, this](uint64_t Id) {
      IsLinkCongested = true;
      Played(Id);
      IsLinkCongested = false;
    };
  };
  const std::vector<Case> Cases = {
      {"one report", {Reported(1)}, false},
      {"two instances", {Reported(1), Reported(2)}, false},
      {"two instances, accepted here",
       {Reported(1), Reported(2), Checked(CheckResult::Accepted)},
       false},
      {"a report, accepted here since, no answer later",
       {Reported(1), Checked(CheckResult::Accepted), Passes(1s), NoAnswer},
       false},
      {"refused", {Refused}, true},
      // Guards against the loss of flows that the upstream still serves.
      {"refused while draining", {Drains, Refused}, false},
      {"refused twice while draining", {Drains, Refused, Refused}, false},
      {"refused after it has left", {Drains, Leaves, Refused}, true},
      {"no answer twice while draining", {Drains, NoAnswer, Repeated}, true},
      {"report, refused while draining", {Drains, Reported(1), Refused}, false},
      {"one check without an answer", {NoAnswer}, false},
      {"a second one", {NoAnswer, Repeated}, true},
      {"a second one after an answer", {NoAnswer, Answers, Repeated}, false},
      {"report before the check", {Reported(1), NoAnswer}, true},
      {"report after the check", {NoAnswer, Reported(1)}, true},
      {"report long after the check",
       {NoAnswer, Passes(1600ms), Reported(1)},
       false},
      {"report of other evidence",
       {NoAnswer, Reported(1, {}, StartedAtMs, false)},
       false},
      {"report from before the last answer",
       {Reported(1, 400ms), NoAnswer},
       false},
      {"report of an earlier process",
       {Reported(1, {}, StartedAtMs - 1), NoAnswer},
       false},
      {"two without an answer on a congested link",
       {Congested(NoAnswer), Congested(NoAnswer)},
       false},
      {"one of them on a congested link",
       {Congested(NoAnswer), NoAnswer},
       false},
      {"report, without an answer on a congested link",
       {Reported(1), Congested(NoAnswer)},
       false},
      {"refused on a congested link", {Congested(Refused)}, true},
  };
  for (const Case &Played : Cases) {
    SCOPED_TRACE(Played.Name);
    TimeSource.advance(5s);
    Steering.sweep();
    const uint64_t Id = openFlow(Wait::Idle);
    const UpstreamRegistration Registered =
        Upstreams.find(UpstreamId(Id))->Registration;
    CheckedUpstreams.clear();
    for (const Step &Next : Played.Steps)
      Next(Id);
    EXPECT_EQ(resets() > 0, Played.IsReset);
    EXPECT_EQ(
        Upstreams.find(UpstreamId(Id))->Reachability.isDead(TimeSource.now()),
        Played.IsReset);
    Answers(Id);
    Upstreams.put(Registered, 1, TimeSource.now());
  }
}

// Guards against new flows at an upstream that two instances found to have
// stopped, and against the word of one, which may have lost its own path.
TEST_F(StoppedUpstreamTest, NewFlowsAvoidAnUpstreamOnTheWordOfTwoInstances) {
  struct Case {
    const char *Name;
    std::function<void(uint64_t)> Report;
    bool IsAvoided;
    bool IsChecked = true;
  };
  const std::vector<Case> Cases = {
      {"one report", [&](uint64_t Id) { report(1, Id); }, false},
      {"two of one instance",
       [&](uint64_t Id) {
         report(1, Id);
         report(1, Id);
       },
       false},
      {"two instances",
       [&](uint64_t Id) {
         report(1, Id);
         report(2, Id);
       },
       true},
      {"one goes on after the other's report has expired",
       [&](uint64_t Id) {
         report(1, Id);
         report(2, Id);
         TimeSource.advance(1400ms);
         report(1, Id);
         TimeSource.advance(1200ms);
         report(1, Id);
         TimeSource.advance(900ms);
       },
       false},
      {"evidence without a failed check",
       [&](uint64_t Id) {
         report(1, Id, false);
         report(2, Id, false);
       },
       false, false},
      {"older than the last answer",
       [&](uint64_t Id) {
         report(1, Id, true, 400ms);
         report(2, Id, true, 400ms);
       },
       false, false},
      {"an earlier process",
       [&](uint64_t Id) {
         report(1, Id, true, {}, StartedAtMs - 1);
         report(2, Id, true, {}, StartedAtMs - 1);
       },
       false, false},
  };
  for (const Case &Played : Cases) {
    SCOPED_TRACE(Played.Name);
    TimeSource.advance(5s);
    Steering.sweep();
    const uint64_t Id = openFlow(Wait::Idle);
    CheckedUpstreams.clear();
    Played.Report(Id);
    EXPECT_EQ(resets(), 0U);
    EXPECT_EQ(!CheckedUpstreams.empty(), Played.IsChecked);
    ReachabilityTracker &State = Upstreams.find(UpstreamId(Id))->Reachability;
    EXPECT_EQ(State.isSuspect(TimeSource.now()), Played.IsAvoided);
    EXPECT_FALSE(State.isDead(TimeSource.now()));
    State.recordAnswer(TimeSource.now());
  }
}

} // namespace
} // namespace indigopoint
