#include "store_follower.h"

#include <optional>
#include <thread>

#include <gtest/gtest.h>

#include "http_server.h"
#include "loop_test_support.h"
#include "manual_peer.h"
#include "peer_codec.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// A follower without peers whose store answers each watch with one change.
class StoreFollowerTest : public testing::Test {
protected:
  void SetUp() override {
    Store.route(
        "GET", "/",
        [this](const HttpRequest &, const HttpServer::Respond &Respond) {
          Calls.push_back(Clock.now());
          Respond({200, ""});
        });
    ASSERT_FALSE(Store.open(AnyPort));
    Settings.Name = "test";
    Settings.Zone = "a";
    Settings.Store = Store.address();
    Settings.PeerAddress = unusedAddress();
    Settings.ChangeBound = 1s;
  }

  StoreProtocol protocol() {
    StoreProtocol Out;
    Out.EncodeQuery = [](const StoreQuery &) {
      HttpCall Call;
      Call.Target = "/";
      return Call;
    };
    Out.DecodeResult = [this](const StoreQuery &, const HttpResult &Answer) {
      std::this_thread::sleep_for(DecodingTime);
      StoreResult Result;
      if (Answer.Status != 200)
        return Result;
      Result.ResultStatus = StoreResult::Status::Answered;
      Result.Position.Revision = ++Revision;
      Result.Items = {{"key", "value", Revision, Revision, false}};
      return Result;
    };
    return Out;
  }

  EventLoop Loop;
  SteadyClock Clock;
  EventClock TimeSource;
  EventLog Log{{"test"}, TimeSource};
  HttpServer Store{Loop};
  ForwarderSettings Settings;
  std::vector<TimePoint> Calls;
  Duration DecodingTime{};
  uint64_t Revision = 0;
};

// Guards against an instance that follows nothing for seconds after each large
// answer: the timer of the next call began to count before the answer was
// decoded, fired too early and was not set again.
TEST_F(StoreFollowerTest, NextCallComesInTimeAfterASlowAnswer) {
  DecodingTime = 150ms;
  StoreFollower Follower(
      Loop, Settings, protocol(), TimeSource, Log,
      {[](const StoreSync::Update &) {}, [] { return ConfigVersion(); },
       [](const StoreItem &, const StoreItem *) { return false; }});
  ASSERT_EQ(Follower.start(), "");
  // The delay after a change is a fifth of the bound.
  ASSERT_TRUE(runUntil(Loop, [this] { return Calls.size() >= 6; }));
  for (size_t Index = 1; Index < Calls.size(); ++Index)
    EXPECT_LT(Calls[Index] - Calls[Index - 1], 700ms) << Index;
}

// Guards against an instance with a slow link that counts as one of unknown
// rate, or whose rate other builds cannot read.
TEST_F(StoreFollowerTest, PeersGetAWholeLinkRateAboveZero) {
  for (const auto &[Mbps, Told] : std::vector<std::pair<double, std::string>>{
           {0, "0"}, {0.25, "1"}, {2.6, "3"}, {1000, "1000"}}) {
    std::string Received;
    HttpServer Peer(Loop);
    Peer.route("GET", PeerPath,
               [&](const HttpRequest &Call, const HttpServer::Respond &) {
                 Received = Call.Query.at("link_mbps");
               });
    ASSERT_FALSE(Peer.open(AnyPort));
    Settings.PeerAddress = unusedAddress();
    Settings.Seeds = {Peer.address()};
    Settings.LinkMbps = Mbps;
    StoreFollower Follower(
        Loop, Settings, protocol(), TimeSource, Log,
        {[](const StoreSync::Update &) {}, [] { return ConfigVersion(); },
         [](const StoreItem &, const StoreItem *) { return false; }});
    ASSERT_EQ(Follower.start(), "");
    ASSERT_TRUE(runUntil(Loop, [&] { return !Received.empty(); }));
    EXPECT_EQ(Received, Told);
  }
}

// Guards against data that seems newer by the time for which the answer waited
// for a stalled process.
TEST_F(StoreFollowerTest, AgeCountsFromTheArrivalOfTheAnswer) {
  constexpr Duration Stall = 200ms;
  ManualPeer Peer;
  Settings.Store = Peer.address();
  std::optional<Duration> Age;
  std::optional<StoreFollower> Follower;
  Follower.emplace(
      Loop, Settings, protocol(), TimeSource, Log,
      StoreFollower::Hooks{
          [&](const StoreSync::Update &) { Age = Follower->dataAge(); },
          [] { return ConfigVersion(); },
          [](const StoreItem &, const StoreItem *) { return false; }});
  ASSERT_EQ(Follower->start(), "");
  ASSERT_TRUE(runUntil(Loop, [&] { return Peer.hasReceivedRequest(); }));
  Peer.send(okResponse(""));
  std::this_thread::sleep_for(Stall);
  ASSERT_TRUE(runUntil(Loop, [&] { return Age.has_value(); }));
  EXPECT_GE(*Age, Stall - ClockTick);
}

// Guards against a lost store that looks the same whether it was silent,
// refused the call, or the process itself was late.
TEST_F(StoreFollowerTest, LossOfTheStoreTellsHowItsCallEnded) {
  struct Case {
    const char *Path;
    bool HasBytes;
    Duration MinTime;
  };
  const std::vector<Case> Cases = {{"/silent", false, 500ms},
                                   {"/missing", true, 0ms}};
  std::vector<HttpServer::Respond> Unanswered;
  HttpServer FailingStore(Loop);
  FailingStore.route(
      "GET", "/silent",
      [&](const HttpRequest &, const HttpServer::Respond &Respond) {
        Unanswered.push_back(Respond);
      });
  ASSERT_FALSE(FailingStore.open(AnyPort));
  Settings.Store = FailingStore.address();
  for (const Case &Played : Cases) {
    SCOPED_TRACE(Played.Path);
    StoreProtocol Protocol = protocol();
    Protocol.EncodeQuery = [&Played](const StoreQuery &) {
      HttpCall Call;
      Call.Target = Played.Path;
      return Call;
    };
    StoreFollower Follower(
        Loop, Settings, Protocol, TimeSource, Log,
        {[](const StoreSync::Update &) {}, [] { return ConfigVersion(); },
         [](const StoreItem &, const StoreItem *) { return false; },
         [] { return Duration(70ms); }});
    ASSERT_EQ(Follower.start(), "");
    ASSERT_TRUE(runUntil(Loop, [this] { return !Log.pending().empty(); }));
    const auto Line = EventLog::Fields::parse(Log.pending());
    Log.consume(Log.pending().size());
    ASSERT_EQ(Line.at("event"), "store-lost");
    EXPECT_EQ(Line.at("receivedBytes") > 0, Played.HasBytes);
    EXPECT_GE(Line.at("callMs"), millisecondsOf(Played.MinTime));
    EXPECT_EQ(Line.at("lateMs"), 70);
  }
}

} // namespace
} // namespace indigopoint
