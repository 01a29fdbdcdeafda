#include "connect_check.h"

#include <optional>

#include <gtest/gtest.h>

#include "http_server.h"
#include "loop_test_support.h"
#include "socket_address.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

std::optional<ConnectResult> check(EventLoop &Loop, Endpoint Target) {
  ConnectCheck Check(Loop);
  std::optional<ConnectResult> Result;
  Check.start(Target, 250ms, [&](ConnectResult R) { Result = R; });
  EXPECT_FALSE(Result) << "the hook ran from within start";
  runUntil(Loop, [&] { return Result.has_value(); });
  return Result;
}

TEST(ConnectCheck, ReportsWhetherTargetAcceptsConnections) {
  EventLoop Loop;
  Endpoint Address;
  {
    HttpServer Server(Loop);
    ASSERT_FALSE(Server.open(AnyPort));
    Address = Server.address();
    EXPECT_EQ(check(Loop, Address), ConnectResult::Accepted);
  }
  EXPECT_EQ(check(Loop, Address), ConnectResult::Refused);
}

// Guards against a full accept queue, as of an upstream without processor time,
// that looks like a refusal.
TEST(ConnectCheck, FullAcceptQueueTimesOut) {
  EventLoop Loop;
  const int Listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Bound = toSocketAddress(AnyPort);
  socklen_t Size = sizeof(Bound);
  auto *Address = reinterpret_cast<sockaddr *>(&Bound);
  ASSERT_EQ(bind(Listener, Address, Size), 0);
  ASSERT_EQ(listen(Listener, 0), 0);
  ASSERT_EQ(getsockname(Listener, Address, &Size), 0);
  const int Queued = socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ(connect(Queued, Address, Size), 0);
  EXPECT_EQ(check(Loop, {AnyPort.Address, ntohs(Bound.sin_port)}),
            ConnectResult::TimedOut);
  close(Queued);
  close(Listener);
}

// Guards against a hook that runs from within start when connect fails
// immediately. The system rejects connections to broadcast addresses while the
// attempt is still being set up.
TEST(ConnectCheck, ImmediateFailureIsReportedFromTheLoop) {
  EventLoop Loop;
  EXPECT_EQ(check(Loop, {0xffffffff, 9}), ConnectResult::Refused);
}

// Guards against a hook call for an attempt whose ConnectCheck was destroyed.
TEST(ConnectCheck, DestructionCancelsPendingAttempts) {
  EventLoop Loop;
  {
    ConnectCheck Check(Loop);
    Check.start({0x7f000001, 9}, 250ms, [](ConnectResult) { FAIL(); });
  }
  runFor(Loop, 50ms);
}

} // namespace
} // namespace indigopoint
