#pragma once

#include <algorithm>
#include <string>
#include <string_view>

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop_test_support.h"
#include "socket_address.h"

namespace indigopoint {

/// Times of arrival are counted in ticks of the kernel.
constexpr Duration ClockTick = std::chrono::milliseconds(10);

inline std::string okResponse(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/// A peer with one connection, which it serves only when the test says so, also
/// while the loop of the client does not run.
class ManualPeer {
public:
  ManualPeer() {
    const sockaddr_in Any = toSocketAddress(AnyPort);
    EXPECT_EQ(
        bind(Listener, reinterpret_cast<const sockaddr *>(&Any), sizeof(Any)),
        0);
    EXPECT_EQ(listen(Listener, 1), 0);
  }

  ~ManualPeer() {
    close(Connection);
    close(Listener);
  }

  Endpoint address() const {
    sockaddr_in Own{};
    socklen_t Size = sizeof(Own);
    getsockname(Listener, reinterpret_cast<sockaddr *>(&Own), &Size);
    return toEndpoint(Own);
  }

  /// Returns whether a client has connected.
  bool accept() {
    if (Connection < 0)
      Connection = accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK);
    return Connection >= 0;
  }

  bool hasReceivedRequest() {
    char Byte = 0;
    return accept() && recv(Connection, &Byte, 1, MSG_PEEK) > 0;
  }

  /// Returns the number of bytes that were sent.
  size_t send(std::string_view Bytes) const {
    return std::max<ssize_t>(
        0, ::send(Connection, Bytes.data(), Bytes.size(), MSG_NOSIGNAL));
  }

  void endResponse() const { shutdown(Connection, SHUT_WR); }

private:
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  int Connection = -1;
};

} // namespace indigopoint
