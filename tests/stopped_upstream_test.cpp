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
  enum class Wait : uint8_t { Idle, Idempotent, NonIdempotent };

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
    const Endpoint Address =
        State == Wait::NonIdempotent ? PhotoAddress : ChatAddress;
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
  for (const Wait State : {Wait::Idle, Wait::Idempotent, Wait::NonIdempotent}) {
    TimeSource.advance(5s);
    const uint64_t Id = openFlow(State);
    // An answer of another upstream shows that the own path works.
    open(++Port, State == Wait::NonIdempotent ? ChatAddress : PhotoAddress);
    Upstreams.find(UpstreamId(Id))
        ->Reachability.recordOpenTimeout(TimeSource.now());
    Upstreams.find(UpstreamId(Id))
        ->Reachability.startCheckIfDue(TimeSource.now());
    Steering.recordCheckResult(UpstreamId(Id), false);
    EXPECT_EQ(resets(), State == Wait::NonIdempotent ? 0U : 1U)
        << "state " << static_cast<int>(State);
    EXPECT_EQ(resets(), 0U) << "no new failure";
    Upstreams.find(UpstreamId(Id))->Reachability.recordAnswer(TimeSource.now());
  }
}

// Guards against an instance that resets flows because another one has lost its
// own path to the upstream, or for an earlier process of the upstream.
TEST_F(StoppedUpstreamTest, TwoInstancesMustAgree) {
  struct Case {
    const char *Name;
    std::function<void(uint64_t)> Report;
    bool IsReset;
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
      {"one, and own doubts",
       [&](uint64_t Id) {
         Upstreams.find(UpstreamId(Id))
             ->Reachability.recordOpenTimeout(TimeSource.now());
         report(1, Id);
       },
       true},
      {"one goes on after the other's report has expired",
       [&](uint64_t Id) {
         report(1, Id);
         report(2, Id);
         resets();
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
       false},
      {"older than the last answer",
       [&](uint64_t Id) {
         report(1, Id, true, 400ms);
         report(2, Id, true, 400ms);
       },
       false},
      {"an earlier process",
       [&](uint64_t Id) {
         report(1, Id, true, {}, StartedAtMs - 1);
         report(2, Id, true, {}, StartedAtMs - 1);
       },
       false},
  };
  for (const Case &Played : Cases) {
    SCOPED_TRACE(Played.Name);
    TimeSource.advance(5s);
    const uint64_t Id = openFlow(Wait::Idle);
    Played.Report(Id);
    EXPECT_EQ(resets() > 0, Played.IsReset);
    EXPECT_EQ(
        Upstreams.find(UpstreamId(Id))->Reachability.isDead(TimeSource.now()),
        Played.IsReset);
    Upstreams.find(UpstreamId(Id))->Reachability.recordAnswer(TimeSource.now());
    Steering.sweep();
  }
}

} // namespace
} // namespace indigopoint
