#include "server.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "config_codec.h"
#include "http_client.h"
#include "http_server.h"
#include "loop_test_support.h"
#include "status_report.h"
#include "udp_endpoint.h"

namespace indigopoint {
namespace {

// One instance, a platform, one upstream and one caller, all on one event loop.
class ServerTest : public testing::Test {
protected:
  ServerTest() {
    EXPECT_FALSE(Platform.open(AnyPort));
    EXPECT_FALSE(Health.open(AnyPort));
    EXPECT_FALSE(Upstream.open(Loop, AnyPort,
                               [this](Endpoint From, std::string_view Bytes) {
                                 onDispatch(From, Bytes);
                               }));
    EXPECT_FALSE(
        Caller.open(Loop, AnyPort, [this](Endpoint, std::string_view Bytes) {
          Sender Origin;
          EXPECT_FALSE(decodeDatagram(Bytes, Origin, LastMessage));
        }));
    Platform.route("GET", "/v1/instances", respondWith(R"({"instances":[]})"));
    Platform.route("GET", "/v1/range", respondWith(storeContents()));
    Platform.route("GET", "/v1/watch",
                   [this](const HttpRequest &, const auto &Respond) {
                     PendingWatches.push_back(Respond);
                   });
    Health.route("GET", "/health",
                 [this](const HttpRequest &, const auto &Respond) {
                   ++HealthPolls;
                   Respond({200, R"({"status":"healthy","load":0})"});
                 });
    Settings.Name = "lim-a-1";
    Settings.Zone = "lim-a";
    Settings.Region = "lim";
    Settings.Address = AnyPort;
    Settings.Platform = Platform.address();
    Settings.HealthProbePeriod = std::chrono::milliseconds(50);
    Settings.Log.Level = LogLevel::Error;
    configureLogging(Settings.Log);
  }

  static HttpServer::Handler respondWith(const std::string &Body) {
    return [Body](const HttpRequest &, const auto &Respond) {
      Respond({200, Body});
    };
  }

  std::string storeContents() {
    ConfigChange Change;
    Change.Version = ConfigVersion(1);
    Change.ChangeId = "first";
    Change.Zones.emplace().push_back({"lim-a", "lim"});
    ServiceConfig Service;
    Service.Id = ServiceId(1);
    Service.Name = "chat-core";
    Service.Tenant = "andina";
    Service.Upstreams.push_back({upstreamIdOf("chat-core", "chat-1"), "chat-1",
                                 "lim-a", Upstream.address(),
                                 Health.address()});
    Change.ChangedServices.push_back(Service);
    const nlohmann::json Item = {{"key", "indigopoint/change/1"},
                                 {"revision", 1},
                                 {"value", encodeChange(Change)}};
    return nlohmann::json({{"revision", 1}, {"items", {Item}}}).dump();
  }

  void onDispatch(Endpoint From, std::string_view Bytes) {
    Sender Origin;
    Message Body;
    ASSERT_FALSE(decodeDatagram(Bytes, Origin, Body));
    const auto *Received = std::get_if<Dispatch>(&Body);
    if (Received != nullptr)
      send(Upstream, From,
           DispatchResult{Received->Connection, Received->Id,
                          DispatchStatus::Done,
                          "answer to " + Received->Payload});
  }

  static void send(UdpEndpoint &From, Endpoint To, const Message &Body,
                   const Sender &Origin = {}) {
    ASSERT_FALSE(encodeDatagram(Origin, Body, From.nextBuffer()));
    From.commit(To);
    From.flush();
  }

  // Sends requests until one is answered. Before the instance has its
  // configuration it refuses requests, and a refusal is final for its request
  // id, so each request has a new id.
  bool sendUntilAnswered(const Server &Instance) {
    Request Outgoing{FlowKey(5), ServiceId(1),        RequestId(9), 0,
                     true,       Duration(2'000'000), "hello"};
    LastMessage = Ping();
    const LoopEvent Repeat =
        LoopEvent::every(Loop, std::chrono::milliseconds(50), [&] {
          send(Caller, Instance.address(), Outgoing);
          Outgoing.Id = RequestId(Outgoing.Id.value() + 1);
        });
    return runUntil(Loop, [this] { return answeredReply() != nullptr; });
  }

  HttpResult callAdmin(const Server &Instance, const std::string &Method,
                       const std::string &Target) {
    std::optional<HttpResult> Answer;
    HttpClient Client(Loop);
    HttpCall Call;
    Call.To = Instance.adminAddress();
    Call.Method = Method;
    Call.Target = Target;
    Client.call(Call, [&](HttpResult Result) { Answer = std::move(Result); });
    EXPECT_TRUE(runUntil(Loop, [&] { return Answer.has_value(); }));
    return Answer.value_or(HttpResult());
  }

  const Reply *answeredReply() const {
    const auto *Received = std::get_if<Reply>(&LastMessage);
    return Received != nullptr && Received->Result == Outcome::Answered
               ? Received
               : nullptr;
  }

  EventLoop Loop;
  HttpServer Platform{Loop};
  HttpServer Health{Loop};
  UdpEndpoint Upstream{MaxDatagramBytes};
  UdpEndpoint Caller{MaxDatagramBytes};
  std::vector<HttpServer::Respond> PendingWatches;
  ProcessSettings Settings;
  Message LastMessage = Ping();
  int HealthPolls = 0;
};

TEST_F(ServerTest, RequestReachesUpstreamAndReplyReachesCaller) {
  Server Instance(Loop, Settings, [](const Server::StopResult &) {});
  ASSERT_EQ(Instance.start(), "");
  ASSERT_TRUE(sendUntilAnswered(Instance));
  EXPECT_GE(answeredReply()->Id, RequestId(9));
  EXPECT_EQ(answeredReply()->Payload, "answer to hello");
  EXPECT_TRUE(runUntil(Loop, [this] { return HealthPolls > 1; }));
}

TEST_F(ServerTest, MalformedDatagramsAreCountedByReason) {
  Server Instance(Loop, Settings, [](const Server::StopResult &) {});
  ASSERT_EQ(Instance.start(), "");
  const auto SendRaw = [&](const std::string &Bytes) {
    Caller.nextBuffer() = Bytes;
    Caller.commit(Instance.address());
  };
  std::string Valid;
  ASSERT_FALSE(encodeDatagram({}, Ping{ConnectionId(1)}, Valid));
  SendRaw("");
  SendRaw(Valid.substr(0, Valid.size() - 1));
  SendRaw(Valid + "x");
  SendRaw(std::string(MaxDatagramBytes + 1, '\0'));
  SendRaw(std::string("\x15\x04\x15\x02\0", 5));
  SendRaw(std::string("\x15\x02\x15\x7e\0", 5));
  send(Caller, Instance.address(), SubmitResult{});
  EXPECT_TRUE(
      runUntil(Loop, [&] { return Instance.drops().MissingSender == 1; }));
  const DropCounters Drops = Instance.drops();
  EXPECT_EQ(Drops.Truncated, 2U);
  EXPECT_EQ(Drops.Malformed, 1U);
  EXPECT_EQ(Drops.Oversized, 1U);
  EXPECT_EQ(Drops.WrongVersion, 1U);
  EXPECT_EQ(Drops.UnknownKind, 1U);
  EXPECT_EQ(Drops.MissingSender, 1U);
  // The instance still works.
  EXPECT_TRUE(sendUntilAnswered(Instance));
}

TEST_F(ServerTest, StatusShowsTheInstanceAndItsTraffic) {
  Server Instance(Loop, Settings, [](const Server::StopResult &) {});
  ASSERT_EQ(Instance.start(), "");
  ASSERT_TRUE(sendUntilAnswered(Instance));
  const HttpResult Status = callAdmin(Instance, "GET", "/status");
  ASSERT_EQ(Status.Status, 200);
  for (const std::string Part :
       {R"("name":"lim-a-1")", R"("state":"active")", R"("andina/chat-core")",
        R"("configurationVersion":1)", R"("name":"chat-1")"})
    EXPECT_NE(Status.Body.find(Part), Status.Body.npos) << Part;
  const std::string Text = statusText(Status.Body);
  for (const std::string Part : {"lim-a-1", "service andina/chat-core",
                                 "requestLatency\n", " |#", "answered=1"})
    EXPECT_NE(Text.find(Part), Text.npos) << Part << " in\n" << Text;
  EXPECT_EQ(statusText("{}"), "");
}

TEST_F(ServerTest, DrainCallsAreChecked) {
  bool Stopped = false;
  Server Instance(Loop, Settings,
                  [&](const Server::StopResult &) { Stopped = true; });
  ASSERT_EQ(Instance.start(), "");
  ASSERT_TRUE(sendUntilAnswered(Instance));
  for (const std::string Limit : {"", "-1", "x", "5s", "3600001"})
    EXPECT_EQ(callAdmin(Instance, "POST", "/drain?limit_ms=" + Limit).Status,
              400)
        << Limit;
  EXPECT_EQ(callAdmin(Instance, "GET", "/drain").Status, 405);
  EXPECT_FALSE(Stopped);
  EXPECT_EQ(callAdmin(Instance, "POST", "/drain?limit_ms=2000").Status, 202);
  EXPECT_TRUE(runUntil(Loop, [&] { return Stopped; }));
}

// Guards against an instance that stops serving when its platform fails; it
// must continue with its last configuration.
TEST_F(ServerTest, TrafficContinuesWithoutThePlatform) {
  Server Instance(Loop, Settings, [](const Server::StopResult &) {});
  ASSERT_EQ(Instance.start(), "");
  ASSERT_TRUE(sendUntilAnswered(Instance));
  for (const HttpServer::Respond &Respond : PendingWatches)
    Respond({503, ""});
  EXPECT_TRUE(sendUntilAnswered(Instance));
}

TEST_F(ServerTest, AddressInUseIsReportedWithRemedy) {
  Settings.Address = Caller.address();
  Server Instance(Loop, Settings, [](const Server::StopResult &) {});
  const std::string Problem = Instance.start();
  EXPECT_NE(Problem.find(toString(Caller.address())), Problem.npos);
  EXPECT_NE(Problem.find("/address"), Problem.npos);
}

TEST_F(ServerTest, GracefulShutdownCompletes) {
  bool Stopped = false;
  Server Instance(Loop, Settings,
                  [&](const Server::StopResult &) { Stopped = true; });
  ASSERT_EQ(Instance.start(), "");
  ASSERT_TRUE(sendUntilAnswered(Instance));
  Instance.drain(std::chrono::seconds(3));
  EXPECT_TRUE(runUntil(Loop, [&] { return Stopped; }));
  EXPECT_EQ(Instance.unfinishedRequests(), 0U);
}

} // namespace
} // namespace indigopoint
