#include <gtest/gtest.h>

#include "golden_file.h"
#include "session_trace.h"

namespace indigopoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr FlowKey ChatFlow(42);
constexpr ServiceId ChatCore(1);

// Each session is recorded in a text file, so that a change of behaviour shows
// as a diff.
class GoldenTest : public testing::Test {
protected:
  std::string homeInstanceOfChatFlow() {
    const Ownership &BucketOwnership =
        TestFleet.Net.node(TestFleet.instance(0)).board().CurrentOwnership;
    const InstanceId Home = BucketOwnership.homeOf(bucketOf(ChatFlow));
    for (size_t Index = 0; Index < TestFleet.instances(); ++Index)
      if (instanceIdOf(TestFleet.instance(Index)) == Home)
        return TestFleet.instance(Index);
    return "";
  }

  size_t indexOf(const std::string &Name) {
    for (size_t Index = 0; Index < TestFleet.instances(); ++Index)
      if (TestFleet.instance(Index) == Name)
        return Index;
    return 0;
  }

  // An instance that is not the home instance of the chat flow.
  size_t otherInstance() { return (indexOf(homeInstanceOfChatFlow()) + 1) % 7; }

  void expectGolden(const std::string &Name) {
    Trace.note("end");
    EXPECT_EQ(compareWithGolden(Name, Trace.text()), "");
    EXPECT_EQ(TestFleet.Violations, std::vector<std::string>());
  }

  Fleet TestFleet{7, 1};
  SessionTrace Trace{TestFleet};
};

TEST_F(GoldenTest, RequestThroughAnyInstance) {
  TestFleet.send(otherInstance(), ChatFlow, ChatCore, false);
  TestFleet.advance(milliseconds(100));
  expectGolden("request_through_any_instance");
}

TEST_F(GoldenTest, RetransmissionIsDeduplicated) {
  const Fleet::CallKey Key =
      TestFleet.send(otherInstance(), ChatFlow, ChatCore, false);
  TestFleet.advance(milliseconds(10));
  Trace.note("the caller repeats while the request is in progress");
  TestFleet.resend((otherInstance() + 1) % 7, Key, false);
  TestFleet.advance(milliseconds(100));
  Trace.note("the caller repeats after the answer was lost");
  TestFleet.resend((otherInstance() + 2) % 7, Key, false);
  TestFleet.advance(milliseconds(100));
  expectGolden("retransmission_meets_its_record");
}

TEST_F(GoldenTest, HomeKilledWithRequestInProgress) {
  TestFleet.send(otherInstance(), ChatFlow, ChatCore, false);
  TestFleet.advance(milliseconds(200));
  TestFleet.ServiceTime = milliseconds(400);
  const Fleet::CallKey Key =
      TestFleet.send(otherInstance(), ChatFlow, ChatCore, false);
  TestFleet.advance(milliseconds(50));
  const std::string Home = homeInstanceOfChatFlow();
  const size_t Other = otherInstance();
  Trace.note(Home + " is killed");
  TestFleet.Net.kill(Home);
  TestFleet.advance(seconds(2));
  Trace.note("the caller repeats");
  TestFleet.resend(Other, Key, false);
  TestFleet.advance(milliseconds(100));
  expectGolden("home_killed_with_request_in_progress");
}

TEST_F(GoldenTest, GracefulLeaveOfTheHome) {
  TestFleet.ServiceTime = milliseconds(400);
  TestFleet.send(otherInstance(), ChatFlow, ChatCore, false);
  TestFleet.advance(milliseconds(50));
  const std::string Home = homeInstanceOfChatFlow();
  const size_t Other = otherInstance();
  Trace.note(Home + " is asked to stop");
  TestFleet.Net.handle(TestFleet.Net.node(Home), DrainRequested{});
  TestFleet.advance(seconds(2));
  Trace.note("the next request of the flow");
  TestFleet.ServiceTime = milliseconds(20);
  TestFleet.send(Other, ChatFlow, ChatCore, false);
  TestFleet.advance(milliseconds(200));
  expectGolden("graceful_leave_of_the_home");
}

TEST_F(GoldenTest, DrainMovesTheFlowBetweenRequests) {
  const Fleet::CallKey First =
      TestFleet.send(otherInstance(), ChatFlow, ChatCore, false);
  TestFleet.advance(milliseconds(100));
  const UpstreamId PinnedUpstream = TestFleet.Calls.at(First).RanOn;
  Trace.note("the pinned upstream begins to drain");
  TestFleet.change([PinnedUpstream](ServiceConfig &Service) {
    for (UpstreamConfig &Target : Service.Upstreams)
      Target.Draining = Target.Id == PinnedUpstream;
  });
  TestFleet.advance(seconds(1));
  TestFleet.send(otherInstance(), ChatFlow, ChatCore, false);
  TestFleet.advance(seconds(4));
  Trace.note("the next request after the grace period");
  TestFleet.send(otherInstance(), ChatFlow, ChatCore, false);
  TestFleet.advance(milliseconds(200));
  expectGolden("drain_moves_the_flow_between_requests");
}

} // namespace
} // namespace indigopoint
