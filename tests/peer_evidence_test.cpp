#include "peer_evidence.h"

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr size_t UpstreamCount = 10;
constexpr Endpoint Self{1, 7000};

class PeerEvidenceTest : public testing::Test {
protected:
  PeerEvidenceTest() {
    for (size_t Number = 1; Number <= UpstreamCount; ++Number)
      put(Number, 1000);
  }

  void put(uint64_t Id, int64_t StartedAtMs) {
    UpstreamRegistration Registration;
    Registration.Id = UpstreamId(Id);
    Registration.Service = "chat";
    Registration.Zone = "a";
    Registration.StartedAtMs = StartedAtMs;
    Upstreams.put(Registration, Id, TimeSource.now());
  }

  PeerReport report(uint32_t Sender, const std::vector<uint64_t> &Ids,
                    Duration Age = {}) {
    PeerReport Out{{Sender, 7000}, "a", ++Sequence, {}};
    for (const uint64_t Id : Ids)
      Out.Evidence.push_back({UpstreamId(Id), 1000, Age});
    return Out;
  }

  void record(const PeerReport &Report) {
    Evidence.record(Report, Upstreams, TimeSource.now());
  }

  // Applies the evidence and returns the upstreams that are unresponsive.
  std::vector<uint64_t> unresponsive() {
    Evidence.apply(Upstreams.upstreamsOfService("chat"), TimeSource.now());
    std::vector<uint64_t> Out;
    for (uint64_t Id = 1; Id <= UpstreamCount; ++Id)
      if (Upstreams.find(UpstreamId(Id))
              ->Responsiveness.isUnresponsive(TimeSource.now()))
        Out.push_back(Id);
    return Out;
  }

  ResponsivenessTracker &stateOf(uint64_t Id) {
    return Upstreams.find(UpstreamId(Id))->Responsiveness;
  }

  using Ids = std::vector<uint64_t>;
  ManualClock TimeSource;
  UpstreamRegistry Upstreams;
  PeerEvidence Evidence{"a", Self};
  uint64_t Sequence = 0;
};

// Guards against evidence that counts for longer than two seconds after its
// origin, also if the report was sent or repeated later.
TEST_F(PeerEvidenceTest, CountsForABoundedTime) {
  record(report(2, {3}, 500ms));
  EXPECT_EQ(unresponsive(), Ids{3});
  TimeSource.advance(400ms);
  record(report(2, {3}, 900ms));
  EXPECT_EQ(unresponsive(), Ids{3});
  TimeSource.advance(1100ms);
  EXPECT_EQ(unresponsive(), Ids{});
  record(report(2, {3}, 2001ms));
  EXPECT_EQ(unresponsive(), Ids{});
}

// Guards against reports that overrule what this instance has seen itself.
TEST_F(PeerEvidenceTest, OwnNewerAnswerWins) {
  record(report(2, {3}));
  EXPECT_EQ(unresponsive(), Ids{3});
  TimeSource.advance(10ms);
  stateOf(3).recordAnswer(TimeSource.now() - 30ms, TimeSource.now());
  EXPECT_EQ(unresponsive(), Ids{});
  TimeSource.advance(10ms);
  record(report(2, {3}, 15ms));
  EXPECT_EQ(unresponsive(), Ids{});
  record(report(2, {3}));
  EXPECT_EQ(unresponsive(), Ids{3});
}

// Guards against evidence of an earlier process with the upstream's id, before
// and after the report.
TEST_F(PeerEvidenceTest, RestartEndsTheEvidence) {
  record(report(2, {3, 4}));
  TimeSource.advance(1ms);
  put(3, 2000);
  EXPECT_EQ(unresponsive(), Ids{4});
  record(report(5, {3}));
  EXPECT_EQ(unresponsive(), Ids{4});
}

// Guards against reports of other zones, of this instance, or out of order.
TEST_F(PeerEvidenceTest, ForeignAndOldReportsAreIgnored) {
  PeerReport Foreign = report(2, {3});
  Foreign.Zone = "b";
  record(Foreign);
  record(report(Self.Address, {3}));
  record(report(2, {3}, -1ms));
  record(report(2, {99}));
  EXPECT_EQ(unresponsive(), Ids{});
  const PeerReport Late = report(2, {3});
  record(report(2, {}));
  record(Late);
  EXPECT_EQ(unresponsive(), Ids{});
}

// Guards against a few reporters, or one that reports all upstreams, taking
// most upstreams of a service out of use.
TEST_F(PeerEvidenceTest, AppliesToALimitedShare) {
  const Ids All = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};
  record(report(2, All));
  EXPECT_EQ(unresponsive().size(), 2U);
  for (uint32_t Sender = 3; Sender < 9; ++Sender)
    record(report(Sender, All));
  EXPECT_EQ(unresponsive().size(), 2U);
  for (uint32_t Sender = 20; Sender < 60; ++Sender)
    record(report(Sender, {6, 7, 8, 9}));
  EXPECT_EQ(unresponsive(), (Ids{6, 7, 8, 9}));
  stateOf(1).recordOverdueExchange(TimeSource.now(), TimeSource.now(), 1s);
  stateOf(2).recordOverdueExchange(TimeSource.now(), TimeSource.now(), 1s);
  EXPECT_EQ(unresponsive().size(), 4U);
}

// Guards against own evidence that leaves too few upstreams for the load.
TEST_F(PeerEvidenceTest, OwnEvidenceIsLimitedToTheLatest) {
  for (uint64_t Id = 1; Id < UpstreamCount; ++Id) {
    TimeSource.advance(1ms);
    stateOf(Id).recordOverdueExchange(TimeSource.now(), TimeSource.now(), 1s);
  }
  EXPECT_EQ(unresponsive(), (Ids{6, 7, 8, 9}));
}

// Guards against a preference for some upstreams if all are unresponsive.
TEST_F(PeerEvidenceTest, EvidenceOfAllUpstreamsIsDisregarded) {
  for (uint64_t Id = 1; Id <= UpstreamCount; ++Id)
    stateOf(Id).recordOverdueExchange(TimeSource.now(), TimeSource.now(), 1s);
  EXPECT_EQ(unresponsive(), Ids{});
}

// Guards against all instances trying an upstream at the same moment.
TEST_F(PeerEvidenceTest, LifetimesDifferBetweenInstances) {
  std::vector<Duration> Lifetimes;
  for (uint32_t Address = 1; Address <= 16; ++Address) {
    const PeerEvidence Other("a", {Address, 7000});
    Lifetimes.push_back(Other.lifetimeFor(UpstreamId(3)));
    EXPECT_GE(Lifetimes.back(), 1s);
    EXPECT_LE(Lifetimes.back(), 2s);
  }
  std::sort(Lifetimes.begin(), Lifetimes.end());
  EXPECT_GT(Lifetimes[4] - Lifetimes[0], 60ms);
}

} // namespace
} // namespace indigopoint
