#include <gtest/gtest.h>

#include "session_trace.h"

namespace indigopoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr FlowKey Chat(42);
constexpr ServiceId ChatCore(1);

// Each session is a file to be read like code: a change of behaviour shows as
// a difference of lines.
class GoldenTest : public testing::Test {
protected:
  std::string homeOfChat() {
    const Ownership &Own =
        System.Net.node(System.instance(0)).board().CurrentOwnership;
    const InstanceId Home = Own.homeOf(bucketOf(Chat));
    for (size_t Index = 0; Index < System.instances(); ++Index)
      if (instanceIdOf(System.instance(Index)) == Home)
        return System.instance(Index);
    return "";
  }

  size_t indexOf(const std::string &Name) {
    for (size_t Index = 0; Index < System.instances(); ++Index)
      if (System.instance(Index) == Name)
        return Index;
    return 0;
  }

  // An instance that is not the home of the chat.
  size_t elsewhere() { return (indexOf(homeOfChat()) + 1) % 7; }

  void expectGolden(const std::string &Name) {
    Trace.note("end");
    EXPECT_EQ(compareWithGolden(Name, Trace.text()), "");
    EXPECT_EQ(System.Violations, std::vector<std::string>());
  }

  Fleet System{7, 1};
  SessionTrace Trace{System};
};

TEST_F(GoldenTest, RequestThroughAnyInstance) {
  System.send(elsewhere(), Chat, ChatCore, false);
  System.advance(milliseconds(100));
  expectGolden("request_through_any_instance");
}

TEST_F(GoldenTest, RetransmissionMeetsItsRecord) {
  const Fleet::CallKey Key = System.send(elsewhere(), Chat, ChatCore, false);
  System.advance(milliseconds(10));
  Trace.note("the caller repeats while the request is in progress");
  System.resend((elsewhere() + 1) % 7, Key, false);
  System.advance(milliseconds(100));
  Trace.note("the caller repeats after the answer was lost");
  System.resend((elsewhere() + 2) % 7, Key, false);
  System.advance(milliseconds(100));
  expectGolden("retransmission_meets_its_record");
}

TEST_F(GoldenTest, HomeKilledWithRequestInProgress) {
  System.send(elsewhere(), Chat, ChatCore, false);
  System.advance(milliseconds(200));
  System.ServiceTime = milliseconds(400);
  const Fleet::CallKey Key = System.send(elsewhere(), Chat, ChatCore, false);
  System.advance(milliseconds(50));
  const std::string Home = homeOfChat();
  const size_t Other = elsewhere();
  Trace.note(Home + " is killed");
  System.Net.kill(Home);
  System.advance(seconds(2));
  Trace.note("the caller repeats");
  System.resend(Other, Key, false);
  System.advance(milliseconds(100));
  expectGolden("home_killed_with_request_in_progress");
}

TEST_F(GoldenTest, GracefulLeaveOfTheHome) {
  System.ServiceTime = milliseconds(400);
  System.send(elsewhere(), Chat, ChatCore, false);
  System.advance(milliseconds(50));
  const std::string Home = homeOfChat();
  const size_t Other = elsewhere();
  Trace.note(Home + " is asked to stop");
  System.Net.handle(System.Net.node(Home), DrainRequested{});
  System.advance(seconds(2));
  Trace.note("the next request of the flow");
  System.ServiceTime = milliseconds(20);
  System.send(Other, Chat, ChatCore, false);
  System.advance(milliseconds(200));
  expectGolden("graceful_leave_of_the_home");
}

TEST_F(GoldenTest, DrainMovesTheFlowBetweenRequests) {
  const Fleet::CallKey First = System.send(elsewhere(), Chat, ChatCore, false);
  System.advance(milliseconds(100));
  const UpstreamId Pinned = System.Calls.at(First).RanOn;
  Trace.note("the pinned upstream begins to drain");
  System.change([Pinned](ServiceConfig &Service) {
    for (UpstreamConfig &Target : Service.Upstreams)
      Target.Draining = Target.Id == Pinned;
  });
  System.advance(seconds(1));
  System.send(elsewhere(), Chat, ChatCore, false);
  System.advance(seconds(4));
  Trace.note("the next request after the grace period");
  System.send(elsewhere(), Chat, ChatCore, false);
  System.advance(milliseconds(200));
  expectGolden("drain_moves_the_flow_between_requests");
}

} // namespace
} // namespace indigopoint
