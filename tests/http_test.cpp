#include "http_client.h"
#include "http_server.h"

#include <initializer_list>
#include <optional>
#include <thread>

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop_test_support.h"
#include "manual_peer.h"
#include "socket_address.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

class HttpTest : public testing::Test {
protected:
  void SetUp() override { ASSERT_FALSE(Server.open(AnyPort)); }

  HttpResult call(const std::string &Method, const std::string &Target,
                  const std::string &Body = "",
                  Duration Timeout = std::chrono::seconds(2)) {
    std::optional<HttpResult> Response;
    HttpClient Client(Loop);
    Client.call({Server.address(), Method, Target, Body, Timeout},
                [&](HttpResult Result) { Response = std::move(Result); });
    EXPECT_TRUE(runUntil(Loop, [&] { return Response.has_value(); }));
    return Response.value_or(HttpResult());
  }

  HttpResult callPeer(Endpoint To, Duration Timeout, Duration IdleTimeout) {
    std::optional<HttpResult> Response;
    HttpClient Client(Loop);
    Client.call({To, "GET", "/", "", Timeout, IdleTimeout},
                [&](HttpResult Result) { Response = std::move(Result); });
    EXPECT_TRUE(runUntil(Loop, [&] { return Response.has_value(); }));
    return Response.value_or(HttpResult());
  }

  EventLoop Loop;
  HttpServer Server{Loop};
};

TEST_F(HttpTest, TransfersAllPartsOfRequestAndResponse) {
  HttpRequest ReceivedRequest;
  Server.route("PUT", "/v1/kv/",
               [&](const HttpRequest &Request, const auto &Respond) {
                 ReceivedRequest = Request;
                 Respond({201, "done", "text/plain", {{"X-Revision", "7"}}});
               });
  const TimePoint Start = SteadyClock().now();
  const HttpResult Result = call(
      "PUT", "/v1/kv/" + encodePath("a b/\"c") + "?after=3&wait_ms=5", "body");
  EXPECT_EQ(ReceivedRequest.Method, "PUT");
  EXPECT_EQ(ReceivedRequest.Path, "/v1/kv/a b/\"c");
  EXPECT_EQ(ReceivedRequest.Query.at("after"), "3");
  EXPECT_EQ(ReceivedRequest.Query.at("wait_ms"), "5");
  EXPECT_EQ(ReceivedRequest.Body, "body");
  EXPECT_EQ(Result.Status, 201);
  EXPECT_EQ(Result.Body, "done");
  EXPECT_EQ(Result.Headers.at("x-revision"), "7");
  EXPECT_GE(Result.ArrivedAt, Start);
  EXPECT_LE(Result.ArrivedAt, SteadyClock().now());
}

TEST_F(HttpTest, RejectsUnknownPathsAndMethods) {
  Server.route("GET", "/status",
               [](const HttpRequest &, const auto &Respond) { Respond({}); });
  EXPECT_EQ(call("GET", "/status").Status, 200);
  EXPECT_EQ(call("POST", "/status").Status, 405);
  EXPECT_EQ(call("GET", "/statu").Status, 404);
  EXPECT_EQ(call("GET", "/status/x").Status, 404);
}

// Guards against connections that stay open forever because a scraper stops in
// the middle of a request.
TEST_F(HttpTest, ClosesIdleConnections) {
  HttpServer ShortTimeoutServer(Loop, std::chrono::milliseconds(200));
  ASSERT_FALSE(ShortTimeoutServer.open(AnyPort));
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in To = toSocketAddress(ShortTimeoutServer.address());
  ASSERT_EQ(
      connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof(To)), 0);
  const std::string Half = "GET /status HTTP/1.1\r\nHo";
  ASSERT_EQ(write(Socket, Half.data(), Half.size()),
            static_cast<ssize_t>(Half.size()));
  char Byte = 0;
  EXPECT_TRUE(runUntil(Loop, [&] {
    return recv(Socket, &Byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
  }));
  close(Socket);
}

TEST_F(HttpTest, RespondMayBeCalledLater) {
  LoopEvent Timer;
  Server.route("GET", "/slow",
               [&](const HttpRequest &, const HttpServer::Respond &Respond) {
                 Timer = LoopEvent::after(Loop, std::chrono::milliseconds(50),
                                          [Respond] {
                                            Respond({200, "ok"});
                                          });
               });
  EXPECT_EQ(call("GET", "/slow").Body, "ok");
}

// Guards against a caller that waits forever because a handler destroyed the
// callback without calling it.
TEST_F(HttpTest, DroppedResponseBecomesAnError) {
  Server.route("GET", "/dropped", [](const HttpRequest &, const auto &) {});
  EXPECT_EQ(call("GET", "/dropped").Status, 500);
}

TEST_F(HttpTest, TimeoutCoversTheWholeCall) {
  HttpServer::Respond PendingResponse;
  Server.route("GET", "/stuck",
               [&](const HttpRequest &, const HttpServer::Respond &Respond) {
                 PendingResponse = Respond;
               });
  EXPECT_EQ(call("GET", "/stuck", "", std::chrono::milliseconds(50)).Status, 0);
  // The connection is closed; the late response must not access it.
  runFor(Loop, std::chrono::milliseconds(20));
  PendingResponse({200, "late"});
}

// A peer that accepts connections and answers byte by byte.
class SlowResponder {
public:
  SlowResponder(EventLoop &Loop, Duration Pause, std::string Response)
      : Response(std::move(Response)) {
    Timer = LoopEvent::every(Loop, Pause, [this] { sendNextByte(); });
  }

  Endpoint address() const { return Peer.address(); }

private:
  void sendNextByte() {
    if (Peer.accept() && Sent < Response.size())
      Sent += Peer.send(std::string_view(Response).substr(Sent, 1));
  }

  std::string Response;
  size_t Sent = 0;
  ManualPeer Peer;
  LoopEvent Timer;
};

// Guards against giving up a large answer that arrives over a busy link.
TEST_F(HttpTest, IdleTimeoutDoesNotEndACallWithProgress) {
  SlowResponder Responder(Loop, std::chrono::milliseconds(10),
                          okResponse("ok"));
  EXPECT_EQ(callPeer(Responder.address(), 30s, 200ms).Body, "ok");
}

TEST_F(HttpTest, IdleTimeoutEndsACallThatStalls) {
  SlowResponder Responder(Loop, std::chrono::milliseconds(10),
                          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
  const HttpResult Result = callPeer(Responder.address(), 30s, 200ms);
  EXPECT_EQ(Result.Status, 0);
  EXPECT_EQ(Result.ReceivedBytes, 40U);
}

// Guards against a call that goes on for as long as bytes arrive.
TEST_F(HttpTest, TimeoutEndsACallWithProgress) {
  SlowResponder Responder(Loop, 10ms, okResponse(std::string(200, 'x')));
  const TimePoint Start = SteadyClock().now();
  EXPECT_EQ(callPeer(Responder.address(), 100ms, 0ms).Status, 0);
  EXPECT_LT(SteadyClock().now() - Start, 1s);
}

// Guards against a process that takes the store or a peer for unreachable after
// it was stalled itself, although the answer had arrived in time.
TEST_F(HttpTest, ResponseThatArrivedInTimeIsReadAfterAStall) {
  constexpr Duration ShortTimeout = 100ms;
  constexpr Duration LongTimeout = 30s;
  const std::string SmallResponse = okResponse("ok");
  // Larger than what one turn of the loop reads.
  const std::string LargeBody(40'000, 'x');
  const std::string LargeResponse = okResponse(LargeBody);
  const std::string ResponseUntilEnd = "HTTP/1.1 200 OK\r\n\r\n" + LargeBody;
  const std::string NoResponse;
  struct Case {
    std::string_view Name;
    const std::string &Response;
    Duration Timeout;
    Duration IdleTimeout;
    size_t BodyBytes;
  };
  for (const Case &Expected : std::initializer_list<Case>{
           {"small, idle", SmallResponse, LongTimeout, ShortTimeout, 2},
           {"large, idle", LargeResponse, LongTimeout, ShortTimeout, 40'000},
           {"to the end, idle", ResponseUntilEnd, LongTimeout, ShortTimeout,
            40'000},
           {"none, idle", NoResponse, LongTimeout, ShortTimeout, 0},
           {"small, total", SmallResponse, ShortTimeout, 0ms, 2},
           {"large, total", LargeResponse, ShortTimeout, 0ms, 40'000},
           {"to the end, total", ResponseUntilEnd, ShortTimeout, 0ms, 40'000},
           {"none, total", NoResponse, ShortTimeout, 0ms, 0}}) {
    SCOPED_TRACE(Expected.Name);
    ManualPeer Peer;
    std::optional<HttpResult> Response;
    HttpClient Client(Loop);
    Client.call({Peer.address(), "GET", "/", "", Expected.Timeout,
                 Expected.IdleTimeout},
                [&](HttpResult Result) { Response = std::move(Result); });
    ASSERT_TRUE(runUntil(Loop, [&] { return Peer.hasReceivedRequest(); }));
    ASSERT_EQ(Peer.send(Expected.Response), Expected.Response.size());
    if (!Expected.Response.empty())
      Peer.endResponse();
    std::this_thread::sleep_for(2 * ShortTimeout);
    ASSERT_TRUE(runUntil(Loop, [&] { return Response.has_value(); }));
    EXPECT_EQ(Response->Body.size(), Expected.BodyBytes);
    if (Expected.BodyBytes > 0) {
      EXPECT_GE(SteadyClock().now() - Response->ArrivedAt,
                2 * ShortTimeout - ClockTick);
    }
  }
}

// The same for a connection that was established while the process was stalled.
TEST_F(HttpTest, ConnectionEstablishedInTimeIsUsedAfterAStall) {
  ManualPeer Peer;
  std::optional<HttpResult> Response;
  HttpClient Client(Loop);
  Client.call({Peer.address(), "GET", "/", "", 30s, 100ms},
              [&](HttpResult Result) { Response = std::move(Result); });
  std::this_thread::sleep_for(200ms);
  ASSERT_TRUE(runUntil(
      Loop, [&] { return Response.has_value() || Peer.hasReceivedRequest(); }));
  Peer.send(okResponse("ok"));
  ASSERT_TRUE(runUntil(Loop, [&] { return Response.has_value(); }));
  EXPECT_EQ(Response->Body, "ok");
}

TEST_F(HttpTest, RefusedConnectionGivesStatusZero) {
  std::optional<HttpResult> Response;
  HttpClient Client(Loop);
  Client.call({{0x7f000001, 1}, "GET", "/", "", std::chrono::seconds(1)},
              [&](HttpResult Result) { Response = std::move(Result); });
  // Hooks are never called from within call.
  EXPECT_FALSE(Response.has_value());
  EXPECT_TRUE(runUntil(Loop, [&] { return Response.has_value(); }));
  EXPECT_EQ(Response->Status, 0);
}

TEST_F(HttpTest, ClientMayBeDestroyedDuringACall) {
  HttpServer::Respond PendingResponse;
  Server.route("GET", "/stuck",
               [&](const HttpRequest &, const HttpServer::Respond &Respond) {
                 PendingResponse = Respond;
               });
  {
    HttpClient Client(Loop);
    Client.call(
        {Server.address(), "GET", "/stuck", "", std::chrono::seconds(1)},
        [](const HttpResult &) { FAIL(); });
    EXPECT_TRUE(runUntil(Loop, [&] { return PendingResponse != nullptr; }));
  }
  runFor(Loop, std::chrono::milliseconds(20));
  PendingResponse({});
}

TEST_F(HttpTest, RejectsOversizedBodies) {
  Server.route("PUT", "/big",
               [](const HttpRequest &, const auto &Respond) { Respond({}); });
  const std::string Body(3 << 20, 'x');
  EXPECT_NE(call("PUT", "/big", Body).Status, 200);
  EXPECT_EQ(call("PUT", "/big", "x").Status, 200);
}

// Guards against a process that bodies fill which none of its handlers takes.
TEST_F(HttpTest, RefusesBodiesThatNoHandlerTakes) {
  Server.route("GET", "/status",
               [](const HttpRequest &, const auto &Respond) { Respond({}); });
  EXPECT_EQ(call("POST", "/status", "x").Status, 413);
  EXPECT_EQ(call("POST", "/status").Status, 405);
  Server.route("POST", "/status",
               [](const HttpRequest &, const auto &Respond) { Respond({}); });
  EXPECT_EQ(call("POST", "/status", "x").Status, 200);
}

// Guards against a response that fills the memory by what is not its body.
TEST_F(HttpTest, LimitsAllPartsOfAResponse) {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  for (const auto &Parts :
       {std::pair(Head, "X-Header: value\r\n"), std::pair(Head, "X"),
        std::pair(Head + "Transfer-Encoding: chunked\r\n\r\n", "0"),
        std::pair(Head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")}) {
    ManualPeer Peer;
    std::optional<HttpResult> Response;
    HttpClient Client(Loop);
    Client.call({Peer.address(), "GET", "/", "", 30s},
                [&](HttpResult Result) { Response = std::move(Result); });
    const std::string Repeated = Parts.second;
    std::string Unsent = Parts.first;
    ASSERT_TRUE(runUntil(Loop, [&] {
      if (Peer.hasReceivedRequest())
        Unsent.erase(0, Peer.send(Unsent));
      while (Unsent.size() < size_t{1} << 16)
        Unsent += Repeated;
      return Response.has_value();
    })) << Repeated;
    EXPECT_EQ(Response->Status, 0) << Repeated;
    EXPECT_EQ(Response->IsTooLarge, Parts.first != Head) << Repeated;
    EXPECT_LT(Response->ReceivedBytes, size_t{10} << 20) << Repeated;
  }
}

// Guards against a caller that repeats a call whose answer can only grow.
TEST_F(HttpTest, ReportsThatAResponseIsTooLarge) {
  Server.route("GET", "/huge",
               [](const HttpRequest &, const HttpServer::Respond &Respond) {
                 Respond({200, std::string(9 << 20, 'x')});
               });
  const HttpResult Result = call("GET", "/huge");
  EXPECT_EQ(Result.Status, 0);
  EXPECT_TRUE(Result.IsTooLarge);
  EXPECT_FALSE(call("GET", "/missing").IsTooLarge);
  // A caller may accept less.
  std::optional<HttpResult> Small;
  HttpClient Client(Loop);
  HttpCall Call;
  Call.To = Server.address();
  Call.Target = "/status";
  Call.MaxBodyBytes = 10;
  Server.route("GET", "/status",
               [](const HttpRequest &, const HttpServer::Respond &Respond) {
                 Respond({200, std::string(11, 'x')});
               });
  Client.call(Call, [&](HttpResult Answer) { Small = std::move(Answer); });
  ASSERT_TRUE(runUntil(Loop, [&] { return Small.has_value(); }));
  EXPECT_TRUE(Small->IsTooLarge);
}

} // namespace
} // namespace indigopoint
