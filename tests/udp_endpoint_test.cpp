#include "udp_endpoint.h"

#include <vector>

#include <gtest/gtest.h>

#include "loop_test_support.h"
#include "wire_codec.h"

namespace indigopoint {
namespace {

void sendTo(UdpEndpoint &From, Endpoint To, const std::string &Bytes) {
  From.nextBuffer() = Bytes;
  From.commit(To);
}

const UdpEndpoint::ReceiveHook Ignore = [](Endpoint, std::string_view) {};

// Guards against datagrams that are lost between two batches or sent from a
// reused buffer.
TEST(UdpEndpointTest, DeliversManyBatchesUnchanged) {
  EventLoop Loop;
  UdpEndpoint Sender{MaxDatagramBytes};
  UdpEndpoint Receiver{MaxDatagramBytes};
  std::vector<std::string> Datagrams;
  Endpoint From;
  ASSERT_FALSE(Sender.open(Loop, AnyPort, Ignore));
  ASSERT_FALSE(Receiver.open(Loop, AnyPort,
                             [&](Endpoint Source, std::string_view Bytes) {
                               From = Source;
                               Datagrams.emplace_back(Bytes);
                             }));
  std::vector<std::string> Sent;
  for (int Index = 0; Index < 500; ++Index) {
    Sent.push_back(std::to_string(Index) + std::string(Index % 100, 'x'));
    sendTo(Sender, Receiver.address(), Sent.back());
  }
  Sender.flush();
  EXPECT_TRUE(runUntil(Loop, [&] { return Datagrams.size() == Sent.size(); }));
  EXPECT_EQ(Datagrams, Sent);
  EXPECT_EQ(From, Sender.address());
  EXPECT_EQ(Sender.counters().Sent, Sent.size());
  EXPECT_EQ(Receiver.counters().Received, Sent.size());
  // Guards against a verdict from silence while datagrams wait to be read.
  Datagrams.clear();
  for (const std::string &Bytes : Sent)
    sendTo(Sender, Receiver.address(), Bytes);
  Sender.flush();
  Receiver.receivePending();
  EXPECT_EQ(Datagrams.size(), Sent.size());
}

TEST(UdpEndpointTest, SendsRepliesWithoutAnExplicitFlush) {
  EventLoop Loop;
  UdpEndpoint Caller{MaxDatagramBytes};
  UdpEndpoint Echo{MaxDatagramBytes};
  std::string Datagram;
  ASSERT_FALSE(Caller.open(
      Loop, AnyPort, [&](Endpoint, std::string_view B) { Datagram = B; }));
  ASSERT_FALSE(
      Echo.open(Loop, AnyPort, [&](Endpoint From, std::string_view Bytes) {
        sendTo(Echo, From, std::string(Bytes));
      }));
  sendTo(Caller, Echo.address(), "ping");
  Caller.flush();
  EXPECT_TRUE(runUntil(Loop, [&] { return Datagram == "ping"; }));
}

TEST(UdpEndpointTest, CountsAndDropsOversizedDatagrams) {
  EventLoop Loop;
  UdpEndpoint Sender{MaxDatagramBytes};
  UdpEndpoint Receiver{MaxDatagramBytes};
  size_t Size = 0;
  ASSERT_FALSE(Sender.open(Loop, AnyPort, Ignore));
  ASSERT_FALSE(Receiver.open(
      Loop, AnyPort, [&](Endpoint, std::string_view B) { Size = B.size(); }));
  sendTo(Sender, Receiver.address(), std::string(MaxDatagramBytes + 1, 'x'));
  sendTo(Sender, Receiver.address(), std::string(MaxDatagramBytes, 'x'));
  Sender.flush();
  EXPECT_TRUE(runUntil(Loop, [&] { return Size > 0; }));
  EXPECT_EQ(Size, MaxDatagramBytes);
  EXPECT_EQ(Receiver.counters().Oversized, 1U);
}

// Guards against a datagram that the system rejects and that blocks the
// following ones.
TEST(UdpEndpointTest, CountsARejectedDatagramAndSendsTheNext) {
  EventLoop Loop;
  UdpEndpoint Sender{MaxDatagramBytes};
  UdpEndpoint Receiver{MaxDatagramBytes};
  std::string Datagram;
  ASSERT_FALSE(Sender.open(Loop, AnyPort, Ignore));
  ASSERT_FALSE(Receiver.open(
      Loop, AnyPort, [&](Endpoint, std::string_view B) { Datagram = B; }));
  sendTo(Sender, Receiver.address(), std::string(70'000, 'x'));
  sendTo(Sender, Receiver.address(), "next");
  Sender.flush();
  EXPECT_TRUE(runUntil(Loop, [&] { return Datagram == "next"; }));
  EXPECT_EQ(Sender.counters().NotSent, 1U);
}

TEST(UdpEndpointTest, ReportsAnAddressInUse) {
  EventLoop Loop;
  UdpEndpoint First{MaxDatagramBytes};
  UdpEndpoint Second{MaxDatagramBytes};
  ASSERT_FALSE(First.open(Loop, AnyPort, Ignore));
  EXPECT_EQ(Second.open(Loop, First.address(), Ignore),
            std::errc::address_in_use);
}

} // namespace
} // namespace indigopoint
