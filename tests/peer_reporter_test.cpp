#include "peer_reporter.h"

#include <gtest/gtest.h>

#include "loop_test_support.h"
#include "peer_report_codec.h"
#include "udp_endpoint.h"

namespace indigopoint {
namespace {

constexpr uint32_t FirstIp = 0x7f000001;
constexpr uint32_t SecondIp = 0x7f000002;
constexpr uint16_t PeerPort = 8166;

Upstream unresponsiveUpstream(uint64_t Id) {
  static const ReachabilityOptions Reachability;
  Upstream Out(Reachability);
  Out.Registration.Id = UpstreamId(Id);
  Out.Registration.StartedAtMs = 1000;
  return Out;
}

// Two reporters of one zone on two loopback addresses with the same port.
class PeerReporterTest : public testing::Test {
protected:
  PeerReporter::Options optionsOf(uint32_t Ip) const {
    return {{Ip, Port}, {Ip, PeerPort}, "lim-a"};
  }

  const uint16_t Port = unusedAddress().Port;
  EventLoop Loop;
  EventClock TimeSource;
  std::vector<PeerReport> Received;
  PeerReporter First{Loop,
                     optionsOf(FirstIp),
                     TimeSource,
                     {[] {
                        return std::vector{Endpoint{SecondIp, PeerPort}};
                      },
                      [this](const PeerReport &Report) {
                        ReceivedByFirst.push_back(Report);
                      }}};
  PeerReporter Second{
      Loop,
      optionsOf(SecondIp),
      TimeSource,
      {[] {
         return std::vector{Endpoint{FirstIp, PeerPort}};
       },
       [this](const PeerReport &Report) { Received.push_back(Report); },
       [this](const FlowAddress &) { return KnownPlacement; }}};
  std::optional<FlowPlacement> KnownPlacement;
  std::vector<PeerReport> ReceivedByFirst;
};

const FlowPlacement Placement{
    {{0x64400001, 30007}, {0xc6120001, 443}}, UpstreamId(11), 1000};

TEST_F(PeerReporterTest, DeliversPlacements) {
  ASSERT_EQ(First.open(), "");
  ASSERT_EQ(Second.open(), "");
  First.addPlacement(Placement);
  ASSERT_TRUE(runUntil(Loop, [&] { return !Received.empty(); }));
  EXPECT_EQ(Received[0].Placements, std::vector{Placement});
}

// Guards against a flow whose upstream one instance knows and another one does
// not find out.
TEST_F(PeerReporterTest, QueryIsAnsweredByInstancesThatKnowTheFlow) {
  ASSERT_EQ(First.open(), "");
  ASSERT_EQ(Second.open(), "");
  First.addQuery(Placement.Flow);
  ASSERT_TRUE(runUntil(Loop, [&] { return !Received.empty(); }));
  EXPECT_EQ(Received[0].Queries, std::vector{Placement.Flow});
  runFor(Loop, std::chrono::milliseconds(150));
  EXPECT_TRUE(ReceivedByFirst.empty());
  KnownPlacement = Placement;
  First.addQuery(Placement.Flow);
  ASSERT_TRUE(runUntil(Loop, [&] { return !ReceivedByFirst.empty(); }));
  EXPECT_EQ(ReceivedByFirst[0].Placements, std::vector{Placement});
}

TEST_F(PeerReporterTest, DeliversEvidenceAtOnce) {
  ASSERT_EQ(First.open(), "");
  ASSERT_EQ(Second.open(), "");
  runFor(Loop, std::chrono::milliseconds(20));
  TimeSource.refresh();
  const TimePoint AddedAt = TimeSource.now();
  First.addEvidence(unresponsiveUpstream(7), true);
  ASSERT_TRUE(runUntil(Loop, [&] { return !Received.empty(); }));
  EXPECT_LT(SteadyClock().now() - AddedAt, std::chrono::milliseconds(500));
  ASSERT_EQ(Received[0].Evidence.size(), 1U);
  EXPECT_EQ(Received[0].Evidence[0].Upstream, UpstreamId(7));
  EXPECT_EQ(Received[0].Evidence[0].StartedAtMs, 1000);
  EXPECT_TRUE(Received[0].Evidence[0].HasStopped);
  EXPECT_EQ(Received[0].Sender, (Endpoint{FirstIp, PeerPort}));
  EXPECT_EQ(First.counters().Sent, 1U);
  EXPECT_EQ(Second.counters().Received, 1U);
}

TEST_F(PeerReporterTest, CountsRejectedAndOutdatedReports) {
  ASSERT_EQ(Second.open(), "");
  UdpEndpoint Socket{MaxReportBytes};
  ASSERT_FALSE(Socket.open(Loop, AnyPort, [](Endpoint, std::string_view) {}));
  const auto Send = [&](const std::string &Bytes) {
    Socket.nextBuffer() = Bytes;
    Socket.commit({SecondIp, Port});
  };
  const PeerReport Report{{FirstIp, PeerPort}, "lim-a", 1, {}};
  PeerReport Foreign = Report;
  Foreign.Zone = "lim-b";
  PeerReport Reflected = Report;
  Reflected.Sender.Address = SecondIp;
  Send("");
  Send("no report");
  Send(std::string(MaxReportBytes + 1, 'x'));
  Send(encodePeerReport(Foreign));
  Send(encodePeerReport(Reflected));
  Send(encodePeerReport(Report));
  Send(encodePeerReport(Report));
  Socket.flush();
  ASSERT_TRUE(runUntil(Loop, [&] { return Second.counters().Outdated == 1; }));
  EXPECT_EQ(Second.counters().Rejected, 5U);
  EXPECT_EQ(Second.counters().Received, 1U);
  EXPECT_EQ(Received.size(), 1U);
}

// Guards against a socket or datagrams of instances that do not name the
// setting.
TEST_F(PeerReporterTest, DoesNothingWithoutAnAddress) {
  PeerReporter Disabled(Loop, {{}, {FirstIp, PeerPort}, "lim-a"}, TimeSource,
                        {[] {
                           return std::vector{Endpoint{SecondIp, PeerPort}};
                         },
                         [](const PeerReport &) {}});
  ASSERT_EQ(Disabled.open(), "");
  ASSERT_EQ(Second.open(), "");
  Disabled.addEvidence(unresponsiveUpstream(7), true);
  runFor(Loop, std::chrono::milliseconds(700));
  EXPECT_EQ(Disabled.counters().Sent, 0U);
  EXPECT_TRUE(Received.empty());
}

TEST_F(PeerReporterTest, NamesTheSettingOfAnAddressInUse) {
  ASSERT_EQ(First.open(), "");
  PeerReporter Other(Loop, optionsOf(FirstIp), TimeSource, {});
  EXPECT_NE(Other.open().find("/reportAddress"), std::string::npos);
}

// Guards against a peer that is gone and blocks the reports to the others.
TEST_F(PeerReporterTest, SendsOnWhileAPeerIsGone) {
  PeerReporter Sender(Loop, optionsOf(FirstIp), TimeSource,
                      {[] {
                         return std::vector{Endpoint{0x7f000003, PeerPort},
                                            Endpoint{SecondIp, PeerPort}};
                       },
                       [](const PeerReport &) {}});
  ASSERT_EQ(Sender.open(), "");
  ASSERT_EQ(Second.open(), "");
  const LoopEvent Evidence =
      LoopEvent::every(Loop, std::chrono::milliseconds(10), [&] {
        Sender.addEvidence(unresponsiveUpstream(7), false);
      });
  EXPECT_TRUE(runUntil(Loop, [&] { return Received.size() >= 3; }));
}

} // namespace
} // namespace indigopoint
