#include "connect_check.h"

#include <optional>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "http_server.h"
#include "loop_test_support.h"
#include "upstream_check.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// After the start of the check, the process is paused for \p Pause.
std::optional<CheckResult> check(EventLoop &Loop, Endpoint Target,
                                 Duration Pause = {}) {
  ConnectCheck Check(Loop);
  std::optional<CheckResult> Result;
  Check.start(Target, 250ms, [&](CheckResult Found) { Result = Found; });
  EXPECT_FALSE(Result) << "the hook ran from within start";
  std::this_thread::sleep_for(Pause);
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
    EXPECT_EQ(check(Loop, Address), CheckResult::Accepted);
    // Guards against a process that reads late what came in time: the timer
    // expires before the connection's event is processed.
    EXPECT_EQ(check(Loop, Address, 300ms), CheckResult::Accepted);
  }
  EXPECT_EQ(check(Loop, Address), CheckResult::Refused);
}

// Guards against a hook that runs from within start when connect fails
// immediately. The system rejects connections to broadcast addresses while the
// attempt is still being set up.
TEST(ConnectCheck, ImmediateFailureIsReportedFromTheLoop) {
  EventLoop Loop;
  EXPECT_EQ(check(Loop, {0xffffffff, 9}), CheckResult::NoAnswer);
}

// Guards against a hook call for an attempt whose ConnectCheck was destroyed.
TEST(ConnectCheck, DestructionCancelsPendingAttempts) {
  EventLoop Loop;
  {
    ConnectCheck Check(Loop);
    Check.start({0x7f000001, 9}, 250ms, [](CheckResult) { FAIL(); });
  }
  runFor(Loop, 50ms);
}

// Guards against an instance that gives up all flows because its own network
// link is down, and against a shared reference that ends only one of the
// checks.
TEST(UpstreamCheckTest, FailureCountsOnlyIfTheReferenceAccepts) {
  EventLoop Loop;
  HttpServer Server(Loop);
  ASSERT_FALSE(Server.open(AnyPort));
  const ReachabilityOptions Opts;
  std::vector<Upstream> Upstreams(3, Upstream(Opts));
  for (size_t Index = 0; Index < Upstreams.size(); ++Index) {
    Upstreams[Index].Registration.Id = UpstreamId(Index + 1);
    Upstreams[Index].Registration.Address = {0x7f000001, 9};
  }
  for (const bool IsReferenceAccepting : {true, false}) {
    if (IsReferenceAccepting)
      Upstreams[2].Registration.Address = Server.address();
    else
      Upstreams[2].Registration.Address = {0x7f000001, 9};
    std::vector<std::optional<CheckResult>> Results;
    UpstreamCheck Check(Loop, true,
                        [&](UpstreamId, std::optional<CheckResult> Result) {
                          Results.push_back(Result);
                        });
    Check.start(Upstreams[0], Upstreams[2]);
    Check.start(Upstreams[1], Upstreams[2]);
    EXPECT_TRUE(Check.isPending());
    EXPECT_TRUE(runUntil(Loop, [&] { return !Check.isPending(); }));
    const auto Expected = IsReferenceAccepting
                              ? std::optional(CheckResult::Refused)
                              : std::nullopt;
    EXPECT_EQ(Results, std::vector(2, Expected));
  }
}

} // namespace
} // namespace indigopoint
