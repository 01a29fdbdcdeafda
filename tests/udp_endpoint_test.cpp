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

// More than several batches, so that a datagram lost between two batches or
// sent from a reused buffer shows.
TEST(UdpEndpoint, DatagramsOfManyBatchesArriveUnchanged) {
  EventLoop Loop;
  UdpEndpoint Sender{MaxDatagramBytes};
  UdpEndpoint Receiver{MaxDatagramBytes};
  std::vector<std::string> Got;
  Endpoint From;
  ASSERT_FALSE(Sender.open(Loop, AnyPort, Ignore));
  ASSERT_FALSE(Receiver.open(Loop, AnyPort,
                             [&](Endpoint Source, std::string_view Bytes) {
                               From = Source;
                               Got.emplace_back(Bytes);
                             }));
  std::vector<std::string> Sent;
  for (int Index = 0; Index < 500; ++Index) {
    Sent.push_back(std::to_string(Index) + std::string(Index % 100, 'x'));
    sendTo(Sender, Receiver.address(), Sent.back());
  }
  Sender.flush();
  EXPECT_TRUE(runUntil(Loop, [&] { return Got.size() == Sent.size(); }));
  EXPECT_EQ(Got, Sent);
  EXPECT_EQ(From, Sender.address());
  EXPECT_EQ(Sender.counters().Sent, Sent.size());
  EXPECT_EQ(Receiver.counters().Received, Sent.size());
}

TEST(UdpEndpoint, AnswersLeaveWithoutAnExplicitFlush) {
  EventLoop Loop;
  UdpEndpoint Caller{MaxDatagramBytes};
  UdpEndpoint Echo{MaxDatagramBytes};
  std::string Got;
  ASSERT_FALSE(Caller.open(Loop, AnyPort,
                           [&](Endpoint, std::string_view B) { Got = B; }));
  ASSERT_FALSE(
      Echo.open(Loop, AnyPort, [&](Endpoint From, std::string_view Bytes) {
        sendTo(Echo, From, std::string(Bytes));
      }));
  sendTo(Caller, Echo.address(), "ping");
  Caller.flush();
  EXPECT_TRUE(runUntil(Loop, [&] { return Got == "ping"; }));
}

TEST(UdpEndpoint, OversizedDatagramsAreCountedAndNotDelivered) {
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

// One datagram that the system refuses must not hold up those after it.
TEST(UdpEndpoint, ARefusedDatagramIsCountedAndTheNextOneSent) {
  EventLoop Loop;
  UdpEndpoint Sender{MaxDatagramBytes};
  UdpEndpoint Receiver{MaxDatagramBytes};
  std::string Got;
  ASSERT_FALSE(Sender.open(Loop, AnyPort, Ignore));
  ASSERT_FALSE(Receiver.open(Loop, AnyPort,
                             [&](Endpoint, std::string_view B) { Got = B; }));
  sendTo(Sender, Receiver.address(), std::string(70'000, 'x'));
  sendTo(Sender, Receiver.address(), "next");
  Sender.flush();
  EXPECT_TRUE(runUntil(Loop, [&] { return Got == "next"; }));
  EXPECT_EQ(Sender.counters().NotSent, 1U);
}

TEST(UdpEndpoint, AnAddressInUseIsAnError) {
  EventLoop Loop;
  UdpEndpoint First{MaxDatagramBytes};
  UdpEndpoint Second{MaxDatagramBytes};
  ASSERT_FALSE(First.open(Loop, AnyPort, Ignore));
  EXPECT_EQ(Second.open(Loop, First.address(), Ignore),
            std::errc::address_in_use);
}

} // namespace
} // namespace indigopoint
