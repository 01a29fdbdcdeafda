#include "connect_check.h"

#include <optional>

#include <gtest/gtest.h>

#include "http_server.h"
#include "loop_test_support.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

std::optional<bool> check(EventLoop &Loop, Endpoint Target) {
  ConnectCheck Check(Loop);
  std::optional<bool> Result;
  Check.start(Target, 250ms, [&](bool IsAccepting) { Result = IsAccepting; });
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
    EXPECT_EQ(check(Loop, Address), true);
  }
  EXPECT_EQ(check(Loop, Address), false);
}

// Guards against a hook that runs from within start when connect fails
// immediately. The system rejects connections to broadcast addresses while the
// attempt is still being set up.
TEST(ConnectCheck, ImmediateFailureIsReportedFromTheLoop) {
  EventLoop Loop;
  EXPECT_EQ(check(Loop, {0xffffffff, 9}), false);
}

// Guards against a hook call for an attempt whose ConnectCheck was destroyed.
TEST(ConnectCheck, DestructionCancelsPendingAttempts) {
  EventLoop Loop;
  {
    ConnectCheck Check(Loop);
    Check.start({0x7f000001, 9}, 250ms, [](bool) { FAIL(); });
  }
  runFor(Loop, 50ms);
}

} // namespace
} // namespace indigopoint
