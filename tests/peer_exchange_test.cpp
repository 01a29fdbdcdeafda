#include "peer_exchange.h"

#include <optional>
#include <random>
#include <thread>

#include <gtest/gtest.h>

#include "loop_test_support.h"
#include "manual_clock.h"
#include "manual_peer.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// An instance that answers requests and an instance that sends them, over
// loopback.
class PeerExchangeTest : public testing::Test {
protected:
  struct Instance {
    explicit Instance(EventLoop &Loop, Endpoint Address)
        : Peers({Address, "a", 0s, 100}, {}, TimeSource, Random), Http(Loop),
          Exchange(
              Loop, Http, {Address, "a", 0s, 100}, Peers, Mirror, EventTime,
              {[this] {
                 return ConfirmedAt ? EventTime.now() - *ConfirmedAt : 700ms;
               },
               [this] { return Configuration; },
               {[this] { return Undecided; },
                [this](ConfigVersion Version) {
                  return Version == ConfigVersion(12)
                             ? Lost
                             : std::vector<LostConfiguration>();
                },
                [this](const std::vector<LostConfiguration> &Told) {
                  Heard = Told;
                }},
               [](StoreItem &Item) { Item.Value.resize(2); }}) {}

    ManualClock TimeSource;
    EventClock EventTime;
    std::optional<TimePoint> ConfirmedAt;
    RandomSource Random{1};
    PeerTable Peers;
    HttpClient Http;
    // A known configuration stays in force if the restored store has none.
    StoreMirror Mirror{[](const StoreItem &, const StoreItem *Restored) {
      return Restored == nullptr;
    }};
    ConfigVersion Configuration;
    std::optional<ConfigVersion> Undecided;
    std::vector<LostConfiguration> Lost;
    std::vector<LostConfiguration> Heard;
    PeerExchange Exchange;
  };

  PeerExchangeTest()
      : ServerAddress(unusedAddress()), Server(Loop, ServerAddress),
        Client(Loop, {0x7f000001, 9}) {}

  StoreResult ask(uint64_t After, Duration Wait, uint64_t Era = 0) {
    StoreResult Result;
    bool HasAnswer = false;
    Client.Exchange.ask(ServerAddress, {Era, After}, Wait, {2s},
                        [&](StoreResult Reply) {
                          Result = std::move(Reply);
                          HasAnswer = true;
                        });
    EXPECT_TRUE(runUntil(Loop, [&] { return HasAnswer; }));
    return Result;
  }

  void SetUp() override { ASSERT_FALSE(Server.Exchange.open()); }

  EventLoop Loop;
  Endpoint ServerAddress;
  Instance Server;
  Instance Client;
};

TEST_F(PeerExchangeTest, RequestFailsBeforeStoreWasRead) {
  EXPECT_EQ(ask(0, 0s).ResultStatus, StoreResult::Status::Failed);
  // The requesting peer is recorded anyway.
  EXPECT_EQ(Server.Peers.size(), 1U);
}

TEST_F(PeerExchangeTest, StartingInstanceGetsSnapshotWithAge) {
  Server.Mirror.apply({StoreSync::Update::Content::Snapshot,
                       {{"k", std::string("\0\xff", 2), 5, 4, false}}},
                      {0, 9});
  const TimePoint Start = SteadyClock().now();
  const StoreResult Result = ask(0, 0s);
  const Duration Elapsed = SteadyClock().now() - Start;
  ASSERT_EQ(Result.ResultStatus, StoreResult::Status::Answered);
  EXPECT_TRUE(Result.Complete);
  EXPECT_EQ(Result.Position.Revision, 9U);
  EXPECT_GE(Result.Age, 700ms);
  EXPECT_LE(Result.Age, 700ms + Elapsed);
  ASSERT_EQ(Result.Items.size(), 1U);
  EXPECT_EQ(Result.Items[0].Value, std::string("\0\xff", 2));
  EXPECT_EQ(Client.Peers.size(), 1U);
}

// Guards against the values of other writers that an instance of an earlier
// version passes on as they are.
TEST_F(PeerExchangeTest, ValuesOfPeersAreLimited) {
  using Content = StoreSync::Update::Content;
  Server.Mirror.apply({Content::Snapshot, {{"k", "value", 5, 4, false}}},
                      {0, 9});
  Server.Mirror.apply({Content::Retained, {{"r", "other", 3, 3, false}}},
                      {0, 9});
  Server.Configuration = ConfigVersion(1);
  const StoreResult Result = ask(0, 0s);
  ASSERT_EQ(Result.Items.size(), 1U);
  EXPECT_EQ(Result.Items[0].Value, "va");
  ASSERT_EQ(Result.Retained.size(), 1U);
  EXPECT_EQ(Result.Retained[0].Value, "ot");
}

TEST_F(PeerExchangeTest, ChangeAnswersPendingRequest) {
  Server.Mirror.apply({StoreSync::Update::Content::Snapshot, {}}, {0, 9});
  bool HasAnswer = false;
  StoreResult Result;
  Client.Exchange.ask(ServerAddress, {0, 9}, 5s, {5s}, [&](StoreResult Reply) {
    Result = std::move(Reply);
    HasAnswer = true;
  });
  runUntil(Loop, [&] { return Server.Peers.size() == 1; });
  EXPECT_FALSE(HasAnswer);
  Server.Mirror.apply(
      {StoreSync::Update::Content::Changes, {{"k", "v", 10, 10, false}}},
      {0, 10});
  Server.Exchange.answerPendingRequests();
  ASSERT_TRUE(runUntil(Loop, [&] { return HasAnswer; }));
  EXPECT_FALSE(Result.Complete);
  EXPECT_EQ(Result.Items.size(), 1U);
}

// Guards against a cached answer that is sent to a peer with an older revision
// or after a further change.
TEST_F(PeerExchangeTest, AnswerContainsChangesSinceRequestedRevision) {
  using Content = StoreSync::Update::Content;
  Server.Mirror.apply({Content::Snapshot, {}}, {0, 9});
  Server.Mirror.apply({Content::Changes, {{"a", "v", 10, 10, false}}}, {0, 10});
  Server.Mirror.apply({Content::Changes, {{"b", "v", 11, 11, false}}}, {0, 11});
  EXPECT_EQ(ask(10, 0s).Items.size(), 1U);
  EXPECT_EQ(ask(9, 0s).Items.size(), 2U);
  EXPECT_TRUE(ask(0, 0s).Complete);
  Server.Mirror.apply({Content::Changes, {{"c", "v", 12, 12, false}}}, {0, 12});
  EXPECT_EQ(ask(10, 0s).Items.size(), 2U);
}

// Guards against a peer of an earlier era that applies changes of the new one
// to what it knows, although its revision is higher.
TEST_F(PeerExchangeTest, PeerOfAnEarlierEraGetsAllItems) {
  using Content = StoreSync::Update::Content;
  Server.Mirror.apply({Content::Snapshot, {{"k", "v", 5, 5, false}}}, {2, 9});
  const StoreResult Result = ask(20, 5s, 1);
  EXPECT_TRUE(Result.Complete);
  EXPECT_EQ(Result.Position, (StorePosition{2, 9}));
}

// Guards against an instance that takes a lost version for a new one although
// another one knows it, or that counts what was written since as lost.
TEST_F(PeerExchangeTest, LostVersionIsToldToPeersOfTheSameEra) {
  const std::vector<LostConfiguration> Known = {{ConfigVersion(12), 1},
                                                {ConfigVersion(12), ~0ULL}};
  Server.Lost = Known;
  Server.Mirror.apply({StoreSync::Update::Content::Snapshot, {}}, {2, 9});
  ask(9, 0s, 2);
  EXPECT_TRUE(Client.Heard.empty()) << "without a question";
  Client.Undecided = ConfigVersion(12);
  ask(9, 0s, 1);
  EXPECT_TRUE(Client.Heard.empty()) << "of another era";
  ask(9, 0s, 2);
  EXPECT_EQ(Client.Heard, Known);
  Client.Undecided = ConfigVersion(13);
  ask(9, 0s, 2);
  EXPECT_TRUE(Client.Heard.empty()) << "of another version";
}

// An instance that starts while the restored store is behind reads an older
// configuration than the one in force on the others.
TEST_F(PeerExchangeTest, RetainedItemsAreSentToPeersWithAnOlderConfiguration) {
  using Content = StoreSync::Update::Content;
  Server.Mirror.apply({Content::Snapshot, {{"config", "v", 5, 5, false}}},
                      {1, 9});
  Server.Mirror.apply({Content::Snapshot, {}, true}, {2, 3});
  Server.Configuration = ConfigVersion(7);
  ASSERT_EQ(ask(3, 0s, 2).Retained.size(), 1U);
  Client.Configuration = ConfigVersion(7);
  EXPECT_TRUE(ask(3, 0s, 2).Retained.empty());
}

// Guards against requests that are cut off without an answer when an instance
// stops as planned.
TEST_F(PeerExchangeTest, StoppingInstanceAnswersPendingRequests) {
  Server.Mirror.apply({StoreSync::Update::Content::Snapshot, {}}, {0, 9});
  std::vector<StoreResult> Results;
  for (int Count = 0; Count < 20; ++Count)
    Client.Exchange.ask(
        ServerAddress, {0, 9}, 5s, {5s},
        [&](StoreResult Reply) { Results.push_back(std::move(Reply)); });
  runFor(Loop, 100ms);
  ASSERT_TRUE(Results.empty());
  Server.Exchange.close();
  ASSERT_TRUE(runUntil(Loop, [&] { return Results.size() == 20; }));
  for (const StoreResult &Result : Results)
    EXPECT_EQ(Result.ResultStatus, StoreResult::Status::Answered);
  EXPECT_EQ(ask(9, 5s).ResultStatus, StoreResult::Status::Failed);
}

TEST_F(PeerExchangeTest, RequestIsAnsweredAfterWaitTime) {
  Server.Mirror.apply({StoreSync::Update::Content::Snapshot, {}}, {0, 9});
  const StoreResult Result = ask(9, 50ms);
  EXPECT_EQ(Result.ResultStatus, StoreResult::Status::Answered);
  EXPECT_TRUE(Result.Items.empty());
}

// Guards against data that seems newer than it is, because the instance that
// sends it was paused and goes by the time before its pause.
TEST_F(PeerExchangeTest, AgeCountsUntilTheAnswer) {
  constexpr Duration Pause = 100ms;
  constexpr Duration TimerSlack = 10ms;
  Server.Mirror.apply({StoreSync::Update::Content::Snapshot, {}}, {0, 9});
  for (const Duration Wait : {0ms, 100ms}) {
    Server.ConfirmedAt = SteadyClock().now();
    std::this_thread::sleep_for(Pause);
    EXPECT_GE(ask(9, Wait).Age, Pause + Wait - TimerSlack)
        << millisecondsOf(Wait);
  }
}

std::string encode(const PeerAnswer &Answer) {
  return encodePeerAnswer(Answer, packItems(Answer.Changes.Items));
}

// Guards against an answer that waits for its reader and seems newer by that
// time.
TEST_F(PeerExchangeTest, AgeCountsFromTheArrivalOfTheAnswer) {
  constexpr Duration Stall = 200ms;
  PeerAnswer Answer;
  Answer.Changes.Age = 700ms;
  ManualPeer Peer;
  StoreResult Result;
  bool HasAnswer = false;
  Client.Exchange.ask(Peer.address(), {}, 0s, {2s}, [&](StoreResult Reply) {
    Result = std::move(Reply);
    HasAnswer = true;
  });
  ASSERT_TRUE(runUntil(Loop, [&] { return Peer.hasReceivedRequest(); }));
  Peer.send(okResponse(encode(Answer)));
  std::this_thread::sleep_for(Stall);
  ASSERT_TRUE(runUntil(Loop, [&] { return HasAnswer; }));
  EXPECT_GE(Result.Age, Answer.Changes.Age + Stall - ClockTick);
}

// Guards against a configuration that saturates the link of the reader: sent to
// every instance of a zone, 260 KB occupied a link of 10 Mbit/s for 0.7 s.
TEST(PeerCodec, RepetitiveItemsAreCompressed) {
  std::vector<StoreItem> Items;
  for (uint64_t Index = 0; Index < 1000; ++Index)
    Items.push_back({"servers/i-" + std::to_string(Index * 7919),
                     R"({"Service":"chat","Zone":"a","State":"ready"})", Index,
                     Index, false});
  const PackedItems CompressedItems = packItems(Items);
  EXPECT_LT(CompressedItems.Bytes.size() * 4, CompressedItems.UnpackedBytes);
}

// Guards against the allocation of a wrong size from a damaged answer.
TEST(PeerCodec, WrongUnpackedSizeIsRejected) {
  PackedItems CompressedItems = packItems({{"key", "value", 3, 2, false}});
  for (size_t WrongSize :
       {size_t{0}, CompressedItems.UnpackedBytes - 1,
        CompressedItems.UnpackedBytes + 1, size_t{2'000'000'000}}) {
    CompressedItems.UnpackedBytes = WrongSize;
    EXPECT_FALSE(decodePeerAnswer(encodePeerAnswer({}, CompressedItems)));
  }
}

TEST(PeerCodec, MalformedRequestsAreRejected) {
  EXPECT_FALSE(decodePeerRequest({}));
  const std::map<std::string, std::string> Valid = {
      {"era", "4"},     {"configuration", "6"}, {"after", "1"},
      {"wait_ms", "1"}, {"from", "1.2.3.4:5"},  {"link_mbps", "10"},
      {"zone", "a"}};
  EXPECT_TRUE(decodePeerRequest(Valid));
  for (const auto &[Name, Value] :
       std::vector<std::pair<std::string, std::string>>{
           {"after", "x"},
           {"wait_ms", "99999999"},
           // Each known instance is kept with its zone.
           {"zone", std::string(300, 'z')}}) {
    auto Odd = Valid;
    Odd[Name] = Value;
    EXPECT_FALSE(decodePeerRequest(Odd)) << Name;
  }
  for (const auto &[Name, Value] : Valid) {
    auto Incomplete = Valid;
    Incomplete.erase(Name);
    EXPECT_FALSE(decodePeerRequest(Incomplete)) << Name;
  }
}

// Guards against a field that is lost in the transfer: without the link speed,
// every instance chose itself as the reader.
TEST(PeerCodec, RequestsAndAnswersKeepAllFields) {
  const PeerInfo Info{{0x7f000001, 65535}, "a b&c", 3s, 4'000'000'000};
  PeerAnswer Answer;
  Answer.Changes.Position = {4, 7};
  Answer.Changes.Age = 5s;
  Answer.Changes.Items = {{"key", std::string("\0\xff", 2), 3, 2, true}};
  Answer.Changes.Retained = {{"key", "kept", 9, 8, false}};
  Answer.Peers = {Info};
  const auto Result = decodePeerAnswer(encode(Answer));
  ASSERT_TRUE(Result);
  EXPECT_EQ(Result->Changes.Position, (StorePosition{4, 7}));
  ASSERT_EQ(Result->Changes.Retained.size(), 1U);
  EXPECT_EQ(Result->Changes.Retained[0].Value, "kept");
  EXPECT_EQ(Result->Changes.Age, 5s);
  ASSERT_EQ(Result->Changes.Items.size(), 1U);
  EXPECT_EQ(Result->Changes.Items[0].Value, Answer.Changes.Items[0].Value);
  EXPECT_TRUE(Result->Changes.Items[0].Deleted);
  EXPECT_EQ(Result->Peers, std::vector<PeerInfo>({Info}));
  EXPECT_EQ(encodePeerRequest({{4, 9}, ConfigVersion(6), 50ms, Info}),
            "/peer/"
            "3?era=4&after=9&configuration=6&wait_ms=50&from=127.0.0.1%3A65535&"
            "zone=a%20b%26c"
            "&link_mbps=4000000000");
}

TEST(PeerCodec, DamagedAnswersAreTolerated) {
  PeerAnswer Answer;
  Answer.Changes.Position = {4, 7};
  Answer.Changes.Items = {{"key", "value", 3, 2, false}};
  Answer.Peers = {{{1, 2}, "a", 3s, 10}};
  const std::string Good = encode(Answer);
  ASSERT_TRUE(decodePeerAnswer(Good));
  std::mt19937 Random(5);
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Damaged = Good.substr(0, Random() % (Good.size() + 1));
    if (!Damaged.empty())
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    decodePeerAnswer(Damaged);
  }
}

} // namespace
} // namespace indigopoint
