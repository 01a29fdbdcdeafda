// Evacuations from the store's acknowledgement to the packets of new flows.

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "base64.h"
#include "forwarder.h"
#include "http_server.h"
#include "loop_test_support.h"
#include "platform/packet_codec.h"
#include "platform/protocol.h"
#include "udp_endpoint.h"

namespace indigopoint::platform {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

// A store, a client, and upstreams of "chat" in the zones a and b and of
// "other", which no route names, in zone c, over loopback. Forwarders are in
// zone a.
class EvacuationPathTest : public testing::Test {
protected:
  struct Node {
    ForwarderSettings Settings;
    std::unique_ptr<Forwarder> Instance;
  };

  void SetUp() override {
    for (auto &[Name, Target] : Upstreams)
      ASSERT_FALSE(Target.open(
          Loop, AnyPort,
          [&Count = Received[Name]](Endpoint, std::string_view) { ++Count; }));
    ASSERT_FALSE(Client.open(Loop, AnyPort, [](Endpoint, std::string_view) {}));
    Store.route(
        "GET", "/kv-range",
        [this](const HttpRequest &, const HttpServer::Respond &Respond) {
          Respond({200, snapshot()});
        });
    Store.route(
        "GET", "/kv-watch",
        [this](const HttpRequest &, const HttpServer::Respond &Respond) {
          Watches.push_back(Respond);
        });
    ASSERT_FALSE(Store.open(AnyPort));
  }

  void start(Node &Target, Endpoint StoreAddress, std::vector<Endpoint> Seeds) {
    Target.Settings.Name = "test";
    Target.Settings.Zone = "a";
    Target.Settings.DataAddress = unusedAddress();
    Target.Settings.ReadyAddress = unusedAddress();
    Target.Settings.MetricsAddress = unusedAddress();
    Target.Settings.PeerAddress = unusedAddress();
    Target.Settings.Store = StoreAddress;
    Target.Settings.Seeds = std::move(Seeds);
    Target.Instance = std::make_unique<Forwarder>(Loop, Target.Settings,
                                                  forwarderProtocol(), [] {});
    ASSERT_EQ(Target.Instance->start(), "");
    ASSERT_TRUE(reports(Target, "\"ready\": true"));
  }

  Json item(const std::string &Key, const Json &Value) {
    return {
        {"Key", Key}, {"Value", encodeBase64(Value.dump())}, {"Revision", 1}};
  }

  std::string snapshot() {
    const Json Config = {{"Version", 1},
                         {"Routes",
                          {{{"Name", "r"},
                            {"Host", "198.18.0.1"},
                            {"Prefix", "/443/"},
                            {"Service", "chat"}}}},
                         {"Services", {{{"Name", "other"}}}}};
    Json Items = {item("op/config", Config)};
    for (auto &[Name, Target] : Upstreams)
      Items.push_back(item("servers/i-" + Name,
                           {{"Service", Name == "c" ? "other" : "chat"},
                            {"Address", toString(Target.address())},
                            {"Zone", Name},
                            {"Version", "v1"},
                            {"Concurrency", 2},
                            {"ColdLeftMs", 0},
                            {"Seq", 1},
                            {"State", "ready"}}));
    return Json({{"items", Items}, {"StoreRevision", Revision}}).dump();
  }

  // Acknowledges the start or end of an evacuation to all watches.
  void evacuate(const std::string &Zone, bool IsEnded = false) {
    ASSERT_TRUE(runUntil(Loop, [this] { return !Watches.empty(); }));
    Json Event = {{"Key", "op/evacuate/" + Zone}, {"Revision", ++Revision}};
    if (IsEnded)
      Event["Deleted"] = true;
    else
      Event["Value"] = encodeBase64("{}");
    std::string Body;
    Json::to_msgpack({{"events", {Event}}, {"StoreRevision", Revision}}, Body);
    for (const HttpServer::Respond &Respond : std::exchange(Watches, {}))
      Respond({200, Body});
  }

  // Sends an opening packet of a new flow, or a later packet of the last one.
  void send(const Node &To, bool IsOpening = true) {
    std::string Packet(HeaderBytes, '\0');
    Packet.replace(6, 10,
                   std::string("\xc6\x12\x00\x01\x01\xbb\x7f\x00\x00\x01", 10));
    Port += IsOpening ? 1 : 0;
    Packet[16] = static_cast<char>(Port >> 8);
    Packet[17] = static_cast<char>(Port & 255);
    Packet[30] = IsOpening ? 32 : 1;
    Client.nextBuffer() = Packet;
    Client.commit(To.Settings.DataAddress);
    Client.flush();
  }

  HttpResult get(Endpoint To, const std::string &Path) {
    HttpCall Call;
    Call.To = To;
    Call.Target = Path;
    HttpResult Response;
    bool Done = false;
    HttpClient Http(Loop);
    Http.call(Call, [&](HttpResult Result) {
      Response = std::move(Result);
      Done = true;
    });
    EXPECT_TRUE(runUntil(Loop, [&] { return Done; }));
    return Response;
  }

  // Whether the status or the metrics contain a text.
  bool has(const Node &Target, const std::string &Text) {
    const Endpoint Address = Target.Settings.MetricsAddress;
    return get(Address, "/status").Body.find(Text) != std::string::npos ||
           get(Address, "/metrics").Body.find(Text) != std::string::npos;
  }

  bool reports(const Node &Target, const std::string &Text) {
    const TimePoint End = TimeSource.now() + 5s;
    while (!has(Target, Text))
      if (TimeSource.now() > End)
        return false;
    return true;
  }

  // Expects new flows at the upstream in zone b only.
  void expectFlowsInZoneB(const Node &Target) {
    const size_t BeforeA = Received["a"];
    const size_t BeforeB = Received["b"];
    for (int Flow = 0; Flow < 20; ++Flow)
      send(Target);
    runUntil(Loop, [&] { return Received["b"] == BeforeB + 20; });
    EXPECT_EQ(Received["b"], BeforeB + 20);
    EXPECT_EQ(Received["a"], BeforeA);
  }

  // Expects that new flows go to zone a again.
  void expectFlowsInZoneA(const Node &Target) {
    const size_t Before = Received["a"];
    const LoopEvent Openings =
        LoopEvent::every(Loop, 10ms, [&] { send(Target); });
    EXPECT_TRUE(runUntil(Loop, [&] { return Received["a"] > Before; }));
  }

  EventLoop Loop;
  SteadyClock TimeSource;
  std::map<std::string, UdpEndpoint> Upstreams = makeUpstreams();
  UdpEndpoint Client{MaxPacketBytes};
  HttpServer Store{Loop};
  std::vector<HttpServer::Respond> Watches;
  std::map<std::string, size_t> Received;
  uint64_t Revision = 1;
  uint16_t Port = 40000;
  Node First;
  Node Second;

private:
  static std::map<std::string, UdpEndpoint> makeUpstreams() {
    std::map<std::string, UdpEndpoint> Out;
    for (const char *Name : {"a", "b", "c"})
      Out.try_emplace(Name, MaxPacketBytes + 8);
    return Out;
  }
};

// Guards against an evacuation that is decoded or applied and does not reach
// the decision about packets, or does not end there.
TEST_F(EvacuationPathTest, EvacuationThroughTheStore) {
  start(First, Store.address(), {});
  send(First);
  ASSERT_TRUE(runUntil(Loop, [this] { return Received["a"] == 1; }));
  evacuate("a");
  ASSERT_TRUE(reports(First, "\"zone\": \"a\""));
  // A packet of the flow that was open before.
  send(First, false);
  EXPECT_TRUE(runUntil(Loop, [this] { return Received["a"] == 2; }));
  expectFlowsInZoneB(First);
  EXPECT_TRUE(has(First, "indigopoint_evacuated_zones 1"));
  EXPECT_TRUE(
      has(First, "indigopoint_flows_evacuated_total{service=\"chat\"} 20"));
  evacuate("b");
  ASSERT_TRUE(reports(First, "indigopoint_evacuated_zones 2"));
  send(First);
  EXPECT_TRUE(reports(First, "{action=\"reset\",reason=\"no-upstream\"} 1"));
  evacuate("a", true);
  ASSERT_TRUE(reports(First, "indigopoint_evacuated_zones 1"));
  expectFlowsInZoneA(First);
}

// Guards against flows at an upstream whose service no route names, also while
// nothing else takes them.
TEST_F(EvacuationPathTest, UpstreamOfAnUnnamedServiceTakesNoFlows) {
  start(First, Store.address(), {});
  EXPECT_TRUE(has(First, "indigopoint_upstreams{state=\"ready\"} 3"));
  for (const std::string Zone : {"a", "x"}) {
    evacuate(Zone);
    ASSERT_TRUE(reports(First, "\"zone\": \"" + Zone + "\""));
  }
  expectFlowsInZoneB(First);
  evacuate("b");
  ASSERT_TRUE(reports(First, "\"zone\": \"b\""));
  for (int Flow = 0; Flow < 20; ++Flow)
    send(First);
  EXPECT_TRUE(reports(First, "{action=\"reset\",reason=\"no-upstream\"} 20"));
  EXPECT_EQ(Received["c"], 0U);
}

// Guards against an instance that cannot reach the store and opens flows in an
// evacuated zone, or goes on to avoid the zone after the end.
TEST_F(EvacuationPathTest, EvacuationThroughAPeer) {
  start(First, Store.address(), {});
  // Nothing listens at the address of its store.
  start(Second, unusedAddress(), {First.Settings.PeerAddress});
  expectFlowsInZoneA(Second);
  evacuate("a");
  ASSERT_TRUE(reports(Second, "\"zone\": \"a\""));
  expectFlowsInZoneB(Second);
  evacuate("a", true);
  ASSERT_TRUE(reports(Second, "\"evacuations\": []"));
  expectFlowsInZoneA(Second);
}

// Guards against a crash by the report of a zone whose name is not UTF-8.
TEST_F(EvacuationPathTest, StatusNamesAZoneOfAnyBytes) {
  start(First, Store.address(), {});
  evacuate("\xff");
  EXPECT_TRUE(reports(First, "indigopoint_evacuated_zones 1"));
  EXPECT_TRUE(has(First, "\"ageMs\""));
}

} // namespace
} // namespace indigopoint::platform
