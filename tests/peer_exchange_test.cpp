#include "peer_exchange.h"

#include <random>

#include <gtest/gtest.h>

#include "loop_test_support.h"
#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// One instance that answers and one that asks, over loopback.
class PeerExchangeTest : public testing::Test {
protected:
  struct Instance {
    explicit Instance(EventLoop &Loop, Endpoint Address)
        : Peers({Address, "a", 0s, 100}, {}, TimeSource, Random), Http(Loop),
          Exchange(Loop, Http, {Address, "a", 0s, 100}, Peers, Mirror,
                   [] { return 700ms; }) {}

    ManualClock TimeSource;
    RandomSource Random{1};
    PeerTable Peers;
    HttpClient Http;
    StoreMirror Mirror;
    PeerExchange Exchange;
  };

  // A port that nothing listens on now.
  static Endpoint freePort(EventLoop &Loop) {
    HttpServer Probe(Loop);
    EXPECT_FALSE(Probe.open(AnyPort));
    return Probe.address();
  }

  PeerExchangeTest()
      : TellerAddress(freePort(Loop)), Teller(Loop, TellerAddress),
        Asker(Loop, {0x7f000001, 9}) {}

  StoreResult ask(uint64_t After, Duration Wait) {
    StoreResult Got;
    bool Done = false;
    Asker.Exchange.ask(TellerAddress, After, Wait, 2s, [&](StoreResult Result) {
      Got = std::move(Result);
      Done = true;
    });
    EXPECT_TRUE(runUntil(Loop, [&] { return Done; }));
    return Got;
  }

  void SetUp() override { ASSERT_FALSE(Teller.Exchange.open()); }

  EventLoop Loop;
  Endpoint TellerAddress;
  Instance Teller;
  Instance Asker;
};

TEST_F(PeerExchangeTest, AnInstanceThatKnowsNothingSaysSo) {
  EXPECT_EQ(ask(0, 0s).ResultStatus, StoreResult::Status::Failed);
  // Who asked is known all the same.
  EXPECT_EQ(Teller.Peers.size(), 1U);
}

TEST_F(PeerExchangeTest, AStartTakesAWholeCopyWithItsAge) {
  Teller.Mirror.apply({StoreSync::Update::Content::Snapshot,
                       {{"k", std::string("\0\xff", 2), 5, 4, false}}},
                      9);
  const StoreResult Got = ask(0, 0s);
  ASSERT_EQ(Got.ResultStatus, StoreResult::Status::Answered);
  EXPECT_TRUE(Got.Complete);
  EXPECT_EQ(Got.Revision, 9U);
  EXPECT_EQ(Got.Age, 700ms);
  ASSERT_EQ(Got.Items.size(), 1U);
  EXPECT_EQ(Got.Items[0].Value, std::string("\0\xff", 2));
  EXPECT_EQ(Asker.Peers.size(), 1U);
}

TEST_F(PeerExchangeTest, AChangeAnswersAQuestionThatWaits) {
  Teller.Mirror.apply({StoreSync::Update::Content::Snapshot, {}}, 9);
  bool Done = false;
  StoreResult Got;
  Asker.Exchange.ask(TellerAddress, 9, 5s, 5s, [&](StoreResult Result) {
    Got = std::move(Result);
    Done = true;
  });
  runUntil(Loop, [&] { return Teller.Peers.size() == 1; });
  EXPECT_FALSE(Done);
  Teller.Mirror.apply(
      {StoreSync::Update::Content::Changes, {{"k", "v", 10, 10, false}}}, 10);
  Teller.Exchange.notify();
  ASSERT_TRUE(runUntil(Loop, [&] { return Done; }));
  EXPECT_FALSE(Got.Complete);
  EXPECT_EQ(Got.Items.size(), 1U);
}

// What was packed for one asker must not be told to one who knows less, nor
// after the next change.
TEST_F(PeerExchangeTest, EachAskerIsToldWhatIsNewToIt) {
  using Content = StoreSync::Update::Content;
  Teller.Mirror.apply({Content::Snapshot, {}}, 9);
  Teller.Mirror.apply({Content::Changes, {{"a", "v", 10, 10, false}}}, 10);
  Teller.Mirror.apply({Content::Changes, {{"b", "v", 11, 11, false}}}, 11);
  EXPECT_EQ(ask(10, 0s).Items.size(), 1U);
  EXPECT_EQ(ask(9, 0s).Items.size(), 2U);
  EXPECT_TRUE(ask(0, 0s).Complete);
  Teller.Mirror.apply({Content::Changes, {{"c", "v", 12, 12, false}}}, 12);
  EXPECT_EQ(ask(10, 0s).Items.size(), 2U);
}

TEST_F(PeerExchangeTest, AQuestionWaitsNoLongerThanAsked) {
  Teller.Mirror.apply({StoreSync::Update::Content::Snapshot, {}}, 9);
  const StoreResult Got = ask(9, 50ms);
  EXPECT_EQ(Got.ResultStatus, StoreResult::Status::Answered);
  EXPECT_TRUE(Got.Items.empty());
}

std::string encode(const PeerAnswer &Answer) {
  return encodePeerAnswer(Answer, packItems(Answer.Changes.Items));
}

// Guards against a configuration that fills the link of its reader: sent to
// every instance of a zone, 260 KB took 0.7 s of a link of 10 Mbit/s.
TEST(PeerCodec, RepetitiveItemsAreSentSmall) {
  std::vector<StoreItem> Items;
  for (uint64_t Index = 0; Index < 1000; ++Index)
    Items.push_back({"servers/i-" + std::to_string(Index * 7919),
                     R"({"Service":"chat","Zone":"a","State":"ready"})", Index,
                     Index, false});
  const PackedItems Packed = packItems(Items);
  EXPECT_LT(Packed.Bytes.size() * 4, Packed.UnpackedBytes);
}

// Guards against memory taken for a size that a damaged answer names.
TEST(PeerCodec, ASizeThatIsNotTrueIsRefused) {
  PackedItems Packed = packItems({{"key", "value", 3, 2, false}});
  for (size_t Wrong : {size_t{0}, Packed.UnpackedBytes - 1,
                       Packed.UnpackedBytes + 1, size_t{2'000'000'000}}) {
    Packed.UnpackedBytes = Wrong;
    EXPECT_FALSE(decodePeerAnswer(encodePeerAnswer({}, Packed)));
  }
}

TEST(PeerCodec, RefusesWhatItCannotRead) {
  EXPECT_FALSE(decodePeerRequest({}));
  EXPECT_FALSE(decodePeerRequest({{"after", "x"},
                                  {"wait_ms", "1"},
                                  {"from", "1.2.3.4:5"},
                                  {"link_mbps", "10"},
                                  {"zone", "a"}}));
  EXPECT_FALSE(decodePeerRequest({{"after", "1"},
                                  {"wait_ms", "99999999"},
                                  {"from", "1.2.3.4:5"},
                                  {"link_mbps", "10"},
                                  {"zone", "a"}}));
  EXPECT_TRUE(decodePeerRequest({{"after", "1"},
                                 {"wait_ms", "1"},
                                 {"from", "1.2.3.4:5"},
                                 {"link_mbps", "10"},
                                 {"zone", "a"}}));
}

// A link speed that was lost on the way made every instance its own reader.
TEST(PeerCodec, QuestionsAndAnswersArriveWhole) {
  const PeerInfo News{{0x7f000001, 65535}, "a b&c", 3s, 4'000'000'000};
  PeerAnswer Answer;
  Answer.Changes.Revision = 7;
  Answer.Changes.Age = 5s;
  Answer.Changes.Items = {{"key", std::string("\0\xff", 2), 3, 2, true}};
  Answer.Peers = {News};
  const auto Got = decodePeerAnswer(encode(Answer));
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got->Changes.Revision, 7U);
  EXPECT_EQ(Got->Changes.Age, 5s);
  ASSERT_EQ(Got->Changes.Items.size(), 1U);
  EXPECT_EQ(Got->Changes.Items[0].Value, Answer.Changes.Items[0].Value);
  EXPECT_TRUE(Got->Changes.Items[0].Deleted);
  EXPECT_EQ(Got->Peers, std::vector<PeerInfo>({News}));
  EXPECT_EQ(encodePeerRequest({9, 50ms, News}),
            "/peer/2?after=9&wait_ms=50&from=127.0.0.1%3A65535&zone=a%20b%26c"
            "&link_mbps=4000000000");
}

TEST(PeerCodec, DamagedAnswersDoNoHarm) {
  PeerAnswer Answer;
  Answer.Changes.Revision = 7;
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
