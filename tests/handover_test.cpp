#include <gtest/gtest.h>

#include "engine_fixture.h"

namespace indigopoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *ZoneNames[] = {"lim-a", "lim-b", "lim-c"};
constexpr Endpoint Caller{0x7f000001, 5000};
constexpr ServiceId Chat{1};

/// A region of engines with one upstream that answers after up to 10 ms, and a
/// caller that sends requests and records their outcomes.
class HandoverTest : public testing::Test {
protected:
  HandoverTest() {
    Net.OnExternalDatagram = [this](EngineNetwork::Node &From, Endpoint To,
                                    const Message &Body) {
      onExternalDatagram(From, To, Body);
    };
  }

  void startRegion(size_t Count) {
    ConfigChange Change;
    Change.Version = ConfigVersion(1);
    Change.Zones.emplace();
    ServiceConfig Service;
    Service.Id = Chat;
    Service.Name = "chat-core";
    Service.Tenant = "andina";
    for (const char *Zone : ZoneNames)
      Change.Zones->push_back({Zone, "lim"});
    // A single upstream, so that no request is redirected to balance the load.
    UpstreamConfig Upstream;
    Upstream.Name = "chat-0";
    Upstream.Id = upstreamIdOf(Service.Name, Upstream.Name);
    Upstream.Zone = "lim-a";
    Upstream.Address = {0x7f000001, 9000};
    Upstream.Slots = 200;
    Service.Upstreams.push_back(Upstream);
    Change.ChangedServices.push_back(Service);
    Net.publishChange(Change);
    for (size_t Index = 0; Index < Count; ++Index)
      startInstance(Index);
    ASSERT_TRUE(runUntil(seconds(20), [&] { return isSettled(); }));
    // Request records count as complete only MaxRequestLifetime (30 s) and
    // MaxPacketLifetime (1 s) after the start.
    Net.run(seconds(33));
  }
  std::string startInstance(size_t Index) {
    const std::string Zone = ZoneNames[Index % 3];
    std::string Name = Zone + "-" + std::to_string(Index / 3 + 1);
    Net.start(Name, Zone);
    return Name;
  }
  bool runUntil(Duration Limit, const std::function<bool()> &Condition) {
    const TimePoint End = Net.TimeSource.Now + Limit;
    while (!Condition() && Net.TimeSource.Now < End)
      Net.run(milliseconds(10));
    return Condition();
  }

  bool isMember(const EngineNetwork::Node &N) const {
    return N.runs() && !N.Stopped;
  }
  /// The instances that consider themselves the home of \p Bucket.
  std::vector<std::string> homesOf(uint32_t Bucket) const {
    std::vector<std::string> Homes;
    for (const auto &[Name, N] : Net.Nodes)
      if (isMember(N) &&
          N.board().CurrentOwnership.homeOf(Bucket) == N.board().Self.Id)
        Homes.push_back(Name);
    return Homes;
  }
  size_t countBucketsWithHomes(size_t HomeCount) const {
    size_t Count = 0;
    for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
      Count += homesOf(Bucket).size() == HomeCount ? 1 : 0;
    return Count;
  }
  /// Whether all members are active and agree on the single home of each
  /// bucket.
  bool isSettled() const {
    const EngineNetwork::Node *First = nullptr;
    for (const auto &[Name, N] : Net.Nodes) {
      if (!isMember(N))
        continue;
      if (N.board().Self.State != MemberState::Active)
        return false;
      First = First == nullptr ? &N : First;
      if (N.board().CurrentPlacement.candidates() !=
          First->board().CurrentPlacement.candidates())
        return false;
      for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
        if (N.board().CurrentOwnership.homeOf(Bucket) !=
            N.board().CurrentPlacement.home(Bucket))
          return false;
    }
    return First != nullptr;
  }

  void request(uint64_t Flow, uint64_t Id, const std::string &EntryInstance,
               uint32_t Attempt = 0) {
    Request NewRequest;
    NewRequest.Flow = FlowKey(Flow);
    NewRequest.Service = Chat;
    NewRequest.Id = RequestId(Id);
    NewRequest.Attempt = Attempt;
    NewRequest.Deadline = seconds(10);
    Net.inject(Caller, EntryInstance, NewRequest);
  }
  /// Sends requests 1 to \p Count, one flow each, and waits for the answers.
  void requestAll(uint64_t Count, const std::string &EntryInstance,
                  uint32_t Attempt = 0) {
    for (uint64_t Id = 1; Id <= Count; ++Id) {
      request(Id, Id, EntryInstance, Attempt);
      advance(milliseconds(10));
    }
    advance(milliseconds(500));
  }
  /// Retransmits the requests and expects the recorded replies.
  void expectRecords(uint64_t Count, const std::string &EntryInstance) {
    Outcomes.clear();
    requestAll(Count, EntryInstance, 1);
    for (uint64_t Id = 1; Id <= Count; ++Id) {
      EXPECT_EQ(Runs[RequestId(Id)], 1) << "request " << Id;
      EXPECT_EQ(Outcomes[RequestId(Id)],
                std::vector<Outcome>{Outcome::Answered})
          << "request " << Id;
    }
  }
  void onExternalDatagram(EngineNetwork::Node &From, Endpoint To,
                          const Message &Body) {
    const std::string &Name = From.Settings.Name;
    if (const auto *Answer = std::get_if<Reply>(&Body)) {
      Outcomes[Answer->Id].push_back(Answer->Result);
    } else if (const auto *Work = std::get_if<Dispatch>(&Body)) {
      ++Runs[Work->Request];
      ++DispatchesOf[Name];
      Answers.push_back({Name, To,
                         DispatchResult{Work->Connection, Work->Id,
                                        DispatchStatus::Done, "ok"}});
    } else if (const auto *PingMessage = std::get_if<Ping>(&Body)) {
      Answers.push_back({Name, To, Pong{PingMessage->Connection}});
    }
  }
  /// Runs for \p Length. Upstreams answer after up to 10 ms.
  void advance(Duration Length) {
    for (const TimePoint End = Net.TimeSource.Now + Length;
         Net.TimeSource.Now < End;) {
      Net.run(milliseconds(10));
      for (; !Answers.empty(); Answers.pop_front())
        Net.inject(Answers.front().From, Answers.front().To,
                   Answers.front().Body);
    }
  }
  bool advanceUntil(Duration Limit, const std::function<bool()> &Condition) {
    const TimePoint End = Net.TimeSource.Now + Limit;
    while (!Condition() && Net.TimeSource.Now < End)
      advance(milliseconds(10));
    return Condition();
  }
  void drain(const std::string &Name) {
    Net.handle(Net.node(Name), DrainRequested{seconds(30)});
  }
  bool isStopped(const std::string &Name) {
    return Net.node(Name).Stopped.has_value();
  }

  struct Answer {
    std::string To;
    Endpoint From;
    Message Body;
  };
  EngineNetwork Net;
  std::map<RequestId, std::vector<Outcome>> Outcomes;
  std::map<RequestId, int> Runs;
  std::map<std::string, int> DispatchesOf;
  std::deque<Answer> Answers;
};

// Guards against an instance that stops while it has the only copy of some
// records.
TEST_F(HandoverTest, PlannedLeaveLosesNoRecord) {
  startRegion(5);
  requestAll(100, "lim-b-1");
  drain("lim-a-1");
  ASSERT_TRUE(advanceUntil(seconds(10), [&] { return isStopped("lim-a-1"); }));
  EXPECT_EQ(Net.node("lim-a-1").Stopped->Unfinished, 0U);
  ASSERT_TRUE(advanceUntil(seconds(3), [&] { return isSettled(); }));
  EXPECT_EQ(countBucketsWithHomes(1), FlowBuckets);
  expectRecords(100, "lim-c-1");
}

// Guards against a joining instance that serves flows without their records.
TEST_F(HandoverTest, PlannedJoinLosesNoRecord) {
  startRegion(3);
  requestAll(100, "lim-b-1");
  startInstance(3);
  startInstance(4);
  ASSERT_TRUE(advanceUntil(seconds(10), [&] { return isSettled(); }));
  EXPECT_EQ(countBucketsWithHomes(1), FlowBuckets);
  expectRecords(100, "lim-a-2");
}

// Guards against a new home that does not know since when its records are
// complete, after a planned change: it would reply Unknown to retransmissions.
TEST_F(HandoverTest, PlannedChangesKeepRecordsComplete) {
  startRegion(3);
  const TimePoint TimeBefore = Net.TimeSource.Now;
  startInstance(3);
  drain("lim-b-1");
  ASSERT_TRUE(advanceUntil(seconds(10), [&] { return isStopped("lim-b-1"); }));
  ASSERT_TRUE(advanceUntil(seconds(5), [&] { return isSettled(); }));
  const Ownership &CurrentOwnership =
      Net.node("lim-a-2").board().CurrentOwnership;
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    if (CurrentOwnership.homeOf(Bucket) == instanceIdOf("lim-a-2")) {
      ASSERT_LT(CurrentOwnership.completeSince(Bucket), TimeBefore);
    }
}

// Guards against buckets without a home after a death, and against a new home
// that claims complete records.
TEST_F(HandoverTest, BucketsOfDeadInstanceAreTakenOverWithinTwoSeconds) {
  startRegion(5);
  const TimePoint Death = Net.TimeSource.Now;
  Net.kill("lim-a-1");
  ASSERT_TRUE(advanceUntil(
      seconds(2), [&] { return countBucketsWithHomes(1) == FlowBuckets; }));
  const Ownership &CurrentOwnership =
      Net.node("lim-a-2").board().CurrentOwnership;
  size_t TakenOver = 0;
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    TakenOver += CurrentOwnership.homeOf(Bucket) == instanceIdOf("lim-a-2") &&
                         CurrentOwnership.completeSince(Bucket) >= Death
                     ? 1
                     : 0;
  EXPECT_GT(TakenOver, FlowBuckets / 10);
}

// Guards against requests that are lost or run twice while instances join and
// leave as planned, and against two homes of a bucket at a time.
TEST_F(HandoverTest, RequestsDuringPlannedChangesAreAnsweredOnce) {
  startRegion(5);
  uint64_t Id = 1000;
  const auto Traffic = [&](Duration Length) {
    const TimePoint End = Net.TimeSource.Now + Length;
    while (Net.TimeSource.Now < End) {
      request(Id % 97, Id, Id % 2 == 0 ? "lim-b-1" : "lim-c-1");
      ++Id;
      advance(milliseconds(10));
      ASSERT_EQ(countBucketsWithHomes(2), 0U);
    }
  };
  startInstance(5);
  Traffic(seconds(2));
  drain("lim-a-1");
  Traffic(seconds(2));
  advance(seconds(1));
  for (uint64_t SentId = 1000; SentId < Id; ++SentId) {
    EXPECT_EQ(Runs[RequestId(SentId)], 1) << SentId;
    EXPECT_EQ(Outcomes[RequestId(SentId)],
              std::vector<Outcome>{Outcome::Answered})
        << SentId;
  }
}

// Guards against records that are lost, duplicated or reordered when the
// datagrams that carry them are.
TEST_F(HandoverTest, LostAndDuplicatedBatchesLoseNoRecord) {
  startRegion(4);
  requestAll(100, "lim-b-1");
  int HandoverDatagrams = 0;
  Net.OnDatagram = [&](EngineNetwork::Node &From, EngineNetwork::Node &To,
                       const Message &Body) {
    if (!std::holds_alternative<HandoverBatch>(Body) &&
        !std::holds_alternative<HandoverAck>(Body))
      return true;
    const Sender Origin{From.board().Self.Id, From.Settings.Boot};
    // Every third datagram is lost; of the others, every second one is
    // duplicated.
    if (++HandoverDatagrams % 3 == 0)
      return false;
    if (HandoverDatagrams % 2 == 0)
      Net.handle(To, DatagramReceived{From.Settings.Address, Origin, Body});
    return true;
  };
  drain("lim-a-1");
  ASSERT_TRUE(advanceUntil(seconds(30), [&] { return isStopped("lim-a-1"); }));
  Net.OnDatagram = nullptr;
  EXPECT_GT(HandoverDatagrams, 30);
  ASSERT_TRUE(advanceUntil(seconds(5), [&] { return isSettled(); }));
  EXPECT_EQ(countBucketsWithHomes(1), FlowBuckets);
  expectRecords(100, "lim-c-1");
}

// Guards against records that are dropped before their receiver has them, and
// against buckets that stay without a home when the receiver dies.
TEST_F(HandoverTest, ReceiverDiesDuringHandover) {
  startRegion(3);
  requestAll(100, "lim-b-1");
  startInstance(3);
  int AckCount = 0;
  // The joining instance receives a few batches, but its acknowledgements are
  // lost.
  Net.OnDatagram = [&](EngineNetwork::Node &From, EngineNetwork::Node &,
                       const Message &Body) {
    const bool Ack = std::holds_alternative<HandoverAck>(Body);
    AckCount += Ack ? 1 : 0;
    return !(Ack && From.Settings.Name == "lim-a-2");
  };
  ASSERT_TRUE(advanceUntil(seconds(10), [&] { return AckCount > 0; }));
  Net.kill("lim-a-2");
  Net.OnDatagram = nullptr;
  ASSERT_TRUE(advanceUntil(
      seconds(2), [&] { return countBucketsWithHomes(1) == FlowBuckets; }));
  ASSERT_TRUE(advanceUntil(seconds(3), [&] { return isSettled(); }));
  expectRecords(100, "lim-c-1");
}

// Guards against buckets that stay without a home when their sender dies.
TEST_F(HandoverTest, SenderDiesDuringHandover) {
  startRegion(4);
  drain("lim-a-1");
  advance(milliseconds(20));
  Net.kill("lim-a-1");
  ASSERT_TRUE(advanceUntil(
      seconds(2), [&] { return countBucketsWithHomes(1) == FlowBuckets; }));
  EXPECT_TRUE(advanceUntil(seconds(5), [&] { return isSettled(); }));
}

// Guards against a handover that continues to the wrong instance when placement
// changes before it ends.
TEST_F(HandoverTest, TwoJoinsAndOneLeaveAtOnceLoseNoRecord) {
  startRegion(4);
  requestAll(100, "lim-b-1");
  startInstance(4);
  startInstance(5);
  advance(milliseconds(100));
  drain("lim-c-1");
  ASSERT_TRUE(advanceUntil(seconds(20), [&] { return isStopped("lim-c-1"); }));
  ASSERT_TRUE(advanceUntil(seconds(10), [&] { return isSettled(); }));
  EXPECT_EQ(countBucketsWithHomes(1), FlowBuckets);
  expectRecords(100, "lim-b-2");
}

// Guards against a bucket that never fits into a batch and is never moved.
TEST_F(HandoverTest, BucketLargerThanABatchMoves) {
  startRegion(3);
  const std::string Home = homesOf(bucketOf(FlowKey(7))).at(0);
  for (uint64_t Id = 1; Id <= 300; ++Id) {
    request(7, Id, Home);
    advance(milliseconds(20));
  }
  drain(Home);
  ASSERT_TRUE(advanceUntil(seconds(20), [&] { return isStopped(Home); }));
  ASSERT_TRUE(advanceUntil(seconds(5), [&] { return isSettled(); }));
  const std::string NewHome = homesOf(bucketOf(FlowKey(7))).at(0);
  Outcomes.clear();
  for (uint64_t Id = 1; Id <= 300; ++Id)
    request(7, Id, NewHome, 1);
  advance(milliseconds(100));
  for (uint64_t Id = 1; Id <= 300; ++Id) {
    EXPECT_EQ(Runs[RequestId(Id)], 1) << Id;
    EXPECT_EQ(Outcomes[RequestId(Id)].at(0), Outcome::Answered) << Id;
  }
}

// Guards against requests that a paused process dispatches after other
// instances have taken over its flows.
TEST_F(HandoverTest, PausedInstanceDispatchesNothingUntilConfirmed) {
  startRegion(4);
  requestAll(100, "lim-a-1");
  Net.pause("lim-a-1");
  for (uint64_t Id = 201; Id <= 300; ++Id)
    request(Id, Id, "lim-a-1");
  advance(seconds(4));
  const int CountBefore = DispatchesOf["lim-a-1"];
  Net.resume("lim-a-1");
  const SelfState &Self = Net.node("lim-a-1").board().Self;
  EXPECT_TRUE(Self.Stale || Self.State == MemberState::Joining);
  ASSERT_TRUE(advanceUntil(seconds(3),
                           [&] { return Self.State == MemberState::Joining; }));
  EXPECT_EQ(DispatchesOf["lim-a-1"], CountBefore);
  EXPECT_TRUE(advanceUntil(seconds(10), [&] { return isSettled(); }));
  EXPECT_EQ(countBucketsWithHomes(1), FlowBuckets);
}

// Guards against an instance that loses its flows after a short pause.
TEST_F(HandoverTest, ShortPauseLosesNothing) {
  startRegion(4);
  Net.pause("lim-a-1");
  for (uint64_t Id = 1; Id <= 50; ++Id)
    request(Id, Id, "lim-a-1");
  advance(milliseconds(400));
  Net.resume("lim-a-1");
  EXPECT_TRUE(Net.node("lim-a-1").board().Self.Stale);
  advance(milliseconds(300));
  EXPECT_FALSE(Net.node("lim-a-1").board().Self.Stale);
  EXPECT_EQ(Net.node("lim-a-1").board().Self.State, MemberState::Active);
  EXPECT_EQ(countBucketsWithHomes(1), FlowBuckets);
  for (uint64_t Id = 1; Id <= 50; ++Id)
    EXPECT_EQ(Outcomes[RequestId(Id)], std::vector<Outcome>{Outcome::Answered});
}

// Guards against two homes of a bucket, or none, after a partition.
TEST_F(HandoverTest, HealedPartitionHasOneHomeForEachBucket) {
  startRegion(6);
  requestAll(50, "lim-b-1");
  const auto Cut = [&](bool IsCut) {
    for (const auto &[A, First] : Net.Nodes)
      for (const auto &[B, Second] : Net.Nodes)
        if (A < "lim-b" && B > "lim-b")
          Net.cutBoth(A, B, IsCut);
  };
  Cut(true);
  advance(seconds(10));
  EXPECT_EQ(countBucketsWithHomes(2), FlowBuckets);
  Cut(false);
  EXPECT_TRUE(advanceUntil(seconds(20), [&] {
    return isSettled() && countBucketsWithHomes(1) == FlowBuckets;
  }));
  expectRecords(50, "lim-a-1");
}

// Guards against a last instance that waits for a successor.
TEST_F(HandoverTest, LastInstanceStopsWithoutSuccessor) {
  startRegion(1);
  drain("lim-a-1");
  EXPECT_TRUE(advanceUntil(seconds(3), [&] { return isStopped("lim-a-1"); }));
}

} // namespace
} // namespace indigopoint
