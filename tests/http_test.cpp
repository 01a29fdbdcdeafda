#include "http_client.h"
#include "http_server.h"

#include <optional>

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop_test_support.h"
#include "socket_address.h"

namespace indigopoint {
namespace {

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

  HttpResult callWithIdleTimeout(Endpoint To, Duration IdleTimeout) {
    std::optional<HttpResult> Response;
    HttpClient Client(Loop);
    Client.call({To, "GET", "/", "", std::chrono::seconds(30), IdleTimeout},
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
    const sockaddr_in Any = toSocketAddress(AnyPort);
    EXPECT_EQ(
        bind(Listener, reinterpret_cast<const sockaddr *>(&Any), sizeof(Any)),
        0);
    EXPECT_EQ(listen(Listener, 1), 0);
    Timer = LoopEvent::every(Loop, Pause, [this] { sendNextByte(); });
  }

  ~SlowResponder() {
    close(Connection);
    close(Listener);
  }

  Endpoint address() const {
    sockaddr_in Own{};
    socklen_t Size = sizeof(Own);
    getsockname(Listener, reinterpret_cast<sockaddr *>(&Own), &Size);
    return toEndpoint(Own);
  }

private:
  void sendNextByte() {
    if (Connection < 0)
      Connection = accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK);
    if (Connection >= 0 && Sent < Response.size())
      Sent += std::max<ssize_t>(
          0, send(Connection, &Response[Sent], 1, MSG_NOSIGNAL));
  }

  std::string Response;
  size_t Sent = 0;
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  int Connection = -1;
  LoopEvent Timer;
};

// Guards against giving up a large answer that arrives over a busy link.
TEST_F(HttpTest, IdleTimeoutDoesNotEndACallWithProgress) {
  SlowResponder Responder(Loop, std::chrono::milliseconds(10),
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_EQ(
      callWithIdleTimeout(Responder.address(), std::chrono::milliseconds(200))
          .Body,
      "ok");
}

TEST_F(HttpTest, IdleTimeoutEndsACallThatStalls) {
  SlowResponder Responder(Loop, std::chrono::milliseconds(10),
                          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
  const HttpResult Result =
      callWithIdleTimeout(Responder.address(), std::chrono::milliseconds(200));
  EXPECT_EQ(Result.Status, 0);
  EXPECT_EQ(Result.ReceivedBytes, 40U);
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
}

} // namespace
} // namespace indigopoint
