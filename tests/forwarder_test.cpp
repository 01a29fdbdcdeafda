#include "forwarder.h"

#include <thread>

#include <gtest/gtest.h>

#include "http_server.h"
#include "loop_test_support.h"
#include "peer_report_codec.h"
#include "platform/packet_codec.h"
#include "platform/protocol.h"
#include "status_report.h"
#include "udp_endpoint.h"

namespace indigopoint::platform {
namespace {

using namespace std::chrono_literals;

// A forwarder with a store, a client and an upstream in one process, over
// loopback.
class ForwarderTest : public testing::Test {
protected:
  void SetUp() override {
    ASSERT_FALSE(
        Upstream.open(Loop, AnyPort, [this](Endpoint, std::string_view Bytes) {
          Received.emplace_back(Bytes);
        }));
    ASSERT_FALSE(Client.open(Loop, AnyPort, [](Endpoint, std::string_view) {}));
    Store.route(
        "GET", "/kv-range",
        [this](const HttpRequest &, const HttpServer::Respond &Respond) {
          PendingResponses.push_back(Respond);
        });
    ASSERT_FALSE(Store.open(AnyPort));
    Settings.Name = "test";
    Settings.Zone = "a";
    Settings.DataAddress = unusedAddress();
    Settings.ReadyAddress = unusedAddress();
    Settings.Store = Store.address();
    Settings.MetricsAddress = unusedAddress();
    Settings.PeerAddress = unusedAddress();
    Settings.ReportAddress = unusedAddress();
    Settings.StopLimit = 3s;
    Instance = std::make_unique<Forwarder>(Loop, Settings, forwarderProtocol(),
                                           [this] {
                                             Stopped = true;
                                             if (EndsLoopWhenStopped)
                                               Loop.stop();
                                           });
    ASSERT_EQ(Instance->start(), "");
  }

  void answerSnapshot() {
    ASSERT_TRUE(runUntil(Loop, [this] { return !PendingResponses.empty(); }));
    PendingResponses.back()({200, snapshot()});
    PendingResponses.clear();
  }

  // The values are base64 of a configuration with the route 198.18.0.1:443 to
  // the service "chat", and of the registration of an upstream of "chat".
  std::string snapshot() const;

  // Sends an opening packet of the client 100.64.0.7:40001 with the sequence
  // number 0.
  void sendOpening() { sendPacket(SynFlag, 0, std::string(4, '\0')); }

  // Sends a packet with one byte of data. The tag has four bytes.
  void sendData(uint8_t Sequence, const std::string &Tag) {
    sendPacket(AckFlag, Sequence, Tag, "x");
  }

  void sendPacket(char Flags, uint8_t Sequence, const std::string &Tag,
                  const std::string &Data = "") {
    std::string Packet(HeaderBytes, '\0');
    const std::string Flow("\xc6\x12\x00\x01\x01\xbb\x64\x40\x00\x07\x9c\x41",
                           12);
    Packet[5] = static_cast<char>(Data.size());
    Packet.replace(6, 12, Flow);
    Packet[21] = static_cast<char>(Sequence);
    Packet.replace(TagOffset, 4, Tag);
    Packet[30] = Flags;
    Client.nextBuffer() = Packet + Data;
    Client.commit(Settings.DataAddress);
    Client.flush();
  }

  // The sequence number of a packet that the upstream received.
  static int sequenceOf(const std::string &Datagram) {
    return static_cast<uint8_t>(Datagram.at(8 + 21));
  }

  // Opens a flow. Returns the tag of the opening packet.
  std::string open() {
    answerSnapshot();
    runFor(Loop, 50ms);
    sendOpening();
    EXPECT_TRUE(runUntil(Loop, [this] { return !Received.empty(); }));
    std::string Tag = Received.at(0).substr(8 + TagOffset, 4);
    Received.clear();
    return Tag;
  }

  static constexpr char SynFlag = 32;
  static constexpr char AckFlag = 1;
  static constexpr size_t TagOffset = 26;

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

  int readiness() { return get(Settings.ReadyAddress, "/readiness").Status; }

  EventLoop Loop;
  UdpEndpoint Upstream{MaxPacketBytes + 8};
  UdpEndpoint Client{MaxPacketBytes};
  HttpServer Store{Loop};
  std::vector<HttpServer::Respond> PendingResponses;
  std::vector<std::string> Received;
  ForwarderSettings Settings;
  std::unique_ptr<Forwarder> Instance;
  bool Stopped = false;
  bool EndsLoopWhenStopped = false;
};

std::string encodeBase64(const std::string &Text) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t Offset = 0; Offset < Text.size(); Offset += 3) {
    uint32_t Group = 0;
    for (size_t Index = 0; Index < 3; ++Index)
      Group =
          (Group << 8) |
          (Offset + Index < Text.size() ? uint8_t(Text[Offset + Index]) : 0);
    for (size_t Index = 0; Index < 4; ++Index)
      Out += Offset + Index > Text.size()
                 ? '='
                 : Digits[(Group >> (18 - 6 * Index)) & 63];
  }
  return Out;
}

std::string ForwarderTest::snapshot() const {
  const std::string Config =
      R"({"Version":1,"Routes":[{"Name":"r","Host":"198.18.0.1",)"
      R"("Prefix":"/443/","Service":"chat"}]})";
  const std::string Entry = R"({"Service":"chat","Address":")" +
                            toString(Upstream.address()) +
                            R"(","Zone":"a","Version":"v1","Concurrency":2,)"
                            R"("State":"ready","ColdLeftMs":0,"Seq":1})";
  return R"({"items":[{"Key":"op/config","Revision":1,"Value":")" +
         encodeBase64(Config) +
         R"("},{"Key":"servers/i-7f3a91c2","Revision":2,"Value":")" +
         encodeBase64(Entry) + R"("}],"StoreRevision":2})";
}

TEST_F(ForwarderTest, ForwardsAPacketToAnUpstreamOfItsRoute) {
  answerSnapshot();
  runFor(Loop, 50ms);
  EXPECT_EQ(readiness(), 200);
  sendOpening();
  ASSERT_TRUE(runUntil(Loop, [this] { return !Received.empty(); }));
  EXPECT_EQ(Received[0].substr(0, 8),
            std::string("\0\0\0\0\x7f\x3a\x91\xc2", 8));
  EXPECT_EQ(Received[0].size(), 8 + HeaderBytes);
}

// Guards against losing a packet that has overtaken the first data of its flow;
// the client would repeat it only after 200 ms.
TEST_F(ForwarderTest, PacketThatOvertookTheFirstDataFollowsIt) {
  const std::string Tag = open();
  sendData(2, Tag);
  runFor(Loop, 30ms);
  EXPECT_TRUE(Received.empty());
  sendData(1, Tag);
  ASSERT_TRUE(runUntil(Loop, [this] { return Received.size() == 2; }));
  EXPECT_EQ(sequenceOf(Received[0]), 1);
  EXPECT_EQ(sequenceOf(Received[1]), 2);
  EXPECT_NE(Received[1].substr(8 + TagOffset, 4), Tag)
      << "the upstream must not repeat the tag of the opening packet";
}

// Guards against losing a request of which another instance knows the upstream.
TEST_F(ForwarderTest, ReportedUpstreamReleasesAHeldPacket) {
  const std::string Tag = open();
  sendData(9, Tag);
  runFor(Loop, 30ms);
  ASSERT_TRUE(Received.empty());
  PeerReport Report{{0x7f000009, 8166}, "a", 1, {}};
  Report.Placements = {
      {{{0x64400007, 40001}, {0xc6120001, 443}}, UpstreamId(0x7f3a91c2), 0}};
  Client.nextBuffer() = encodePeerReport(Report);
  Client.commit(Settings.ReportAddress);
  Client.flush();
  ASSERT_TRUE(runUntil(Loop, [this] { return !Received.empty(); }));
  EXPECT_EQ(sequenceOf(Received[0]), 9);
  EXPECT_NE(get(Settings.MetricsAddress, "/metrics")
                .Body.find("indigopoint_packets_released_total 1"),
            std::string::npos);
}

// Guards against packets that are held without end.
TEST_F(ForwarderTest, HeldPacketIsDroppedInTheEnd) {
  const std::string Tag = open();
  sendData(9, Tag);
  runFor(Loop, 600ms);
  sendData(1, Tag);
  ASSERT_TRUE(runUntil(Loop, [this] { return !Received.empty(); }));
  runFor(Loop, 50ms);
  EXPECT_EQ(Received.size(), 1U);
}

TEST_F(ForwarderTest, ReportsMetricsAndStatus) {
  answerSnapshot();
  runFor(Loop, 50ms);
  sendOpening();
  runUntil(Loop, [this] { return !Received.empty(); });
  const HttpResult Metrics = get(Settings.MetricsAddress, "/metrics");
  EXPECT_EQ(Metrics.Status, 200);
  for (const std::string Line :
       {"# TYPE indigopoint_packets_total counter\n",
        "indigopoint_packets_total{action=\"forward\",reason=\"new-flow\"} 1",
        "indigopoint_flows_opened_total{service=\"chat\",zone=\"own\"} 1",
        "indigopoint_flow_resets_total{cause=\"zone-silent\"} 0",
        "# TYPE indigopoint_open_seconds histogram\n",
        "# TYPE indigopoint_timer_late_seconds histogram\n",
        "indigopoint_upstreams{state=\"ready\"} 1",
        "indigopoint_heap_bytes{state=\"used\"} ",
        "indigopoint_resident_peak_bytes ", "indigopoint_document_max_bytes ",
        "indigopoint_document_max_memory_bytes ",
        "indigopoint_documents_refused_total ",
        "indigopoint_configuration_version 1"})
    EXPECT_NE(Metrics.Body.find(Line), std::string::npos) << Line;
  const HttpResult Status = get(Settings.MetricsAddress, "/status");
  EXPECT_NE(Status.Body.find("\"configuration\": 1"), std::string::npos);
  EXPECT_NE(statusText(Status.Body).find("ready: true\n"), std::string::npos);
  EXPECT_EQ(get(Settings.MetricsAddress, "/else").Status, 404);
}

TEST_F(ForwarderTest, IsNotReadyWithoutAConfiguration) {
  EXPECT_EQ(readiness(), 503);
}

// Guards against dropping packets that arrive shortly before the first
// configuration. Clients retransmit only after 200 ms.
TEST_F(ForwarderTest, HoldsPacketsUntilTheFirstConfiguration) {
  sendOpening();
  runFor(Loop, 50ms);
  EXPECT_TRUE(Received.empty());
  answerSnapshot();
  EXPECT_TRUE(runUntil(Loop, [this] { return !Received.empty(); }));
}

// Guards against stale packets that pile up while there is no configuration.
TEST_F(ForwarderTest, DropsPacketsHeldTooLong) {
  sendOpening();
  runFor(Loop, 600ms);
  answerSnapshot();
  runFor(Loop, 50ms);
  EXPECT_TRUE(Received.empty());
}

// Guards against packets that are accepted by the socket and lost when the
// shutdown timeout ends a stop under load.
TEST_F(ForwarderTest, PacketsThatArrivedBeforeTheEndOfAStopAreForwarded) {
  answerSnapshot();
  runFor(Loop, 50ms);
  Instance->stop();
  size_t Sent = 0;
  const LoopEvent Traffic = LoopEvent::every(Loop, 1ms, [&] {
    if (Stopped)
      return;
    for (int Count = 0; Count < 5; ++Count)
      sendOpening();
    Sent += 5;
    // The timer that ends the stop becomes due meanwhile, and fires before the
    // packets are read.
    std::this_thread::sleep_for(60ms);
  });
  EndsLoopWhenStopped = true;
  Loop.run();
  // The process ends here.
  Instance.reset();
  runUntil(Loop, [&] { return Received.size() == Sent; });
  EXPECT_EQ(Received.size(), Sent);
  EXPECT_GT(Sent, 100U);
}

// Guards against a cut zone that keeps its clients although its upstreams were
// restarted under ids that its instances do not know, and against one that
// stays closed after the cut.
TEST_F(ForwarderTest, IsNotReadyWhileNeitherUpstreamsNorStoreAnswer) {
  Instance.reset();
  Settings.MaxStoreAge = 1500ms;
  Instance =
      std::make_unique<Forwarder>(Loop, Settings, forwarderProtocol(), [] {});
  ASSERT_EQ(Instance->start(), "");
  PendingResponses.clear();
  answerSnapshot();
  const LoopEvent Traffic =
      LoopEvent::every(Loop, 50ms, [this] { sendOpening(); });
  runFor(Loop, 800ms);
  EXPECT_EQ(readiness(), 200) << "the store data is recent";
  runFor(Loop, 1500ms);
  EXPECT_EQ(readiness(), 503);
  const HttpResult Metrics = get(Settings.MetricsAddress, "/metrics");
  EXPECT_NE(Metrics.Body.find("indigopoint_upstreams_lost_total 1"),
            std::string::npos);
  // Until now, the store has refused to be watched. It answers one request and
  // holds the next one.
  bool HasAnswered = false;
  Store.route("GET", "/kv-watch",
              [&](const HttpRequest &, const HttpServer::Respond &Respond) {
                if (!HasAnswered)
                  Respond({200, R"({"events":[],"StoreRevision":2})"});
                else
                  PendingResponses.push_back(Respond);
                HasAnswered = true;
              });
  ASSERT_TRUE(runUntil(Loop, [&] { return HasAnswered; }));
  runFor(Loop, 50ms);
  EXPECT_EQ(readiness(), 200) << "the store has answered";
}

// Routers keep sending packets until they notice the failed readiness check,
// and longer if most instances of a zone are shutting down.
TEST_F(ForwarderTest, ShutdownForwardsUntilTrafficStops) {
  answerSnapshot();
  runFor(Loop, 50ms);
  Instance->stop();
  EXPECT_EQ(readiness(), 503);
  const LoopEvent Traffic = LoopEvent::every(Loop, 50ms, [this] {
    if (Received.size() < 35)
      sendOpening();
  });
  runFor(Loop, 1600ms);
  EXPECT_FALSE(Stopped);
  EXPECT_GT(Received.size(), 20U);
  EXPECT_TRUE(runUntil(Loop, [this] { return Stopped; }));
}

} // namespace
} // namespace indigopoint::platform
