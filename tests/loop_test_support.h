#pragma once

#include <functional>

#include <unistd.h>

#include "event_loop.h"
#include "http_server.h"
#include "steady_clock.h"
#include "udp_endpoint.h"

namespace indigopoint {

/// A loopback address with a port that the system chooses.
constexpr Endpoint AnyPort{0x7f000001, 0};

/// Runs \p Loop until \p Done returns true. Returns false after a timeout of
/// five seconds.
inline bool runUntil(EventLoop &Loop, const std::function<bool()> &Done) {
  const SteadyClock TimeSource;
  const TimePoint Deadline = TimeSource.now() + std::chrono::seconds(5);
  const LoopEvent Check =
      LoopEvent::every(Loop, std::chrono::milliseconds(1), [&] {
        if (Done() || TimeSource.now() > Deadline)
          Loop.stop();
      });
  Loop.run();
  return Done();
}

/// Returns whether a TCP and a UDP socket can be bound to \p Address.
inline bool isFree(Endpoint Address) {
  EventLoop Loop;
  HttpServer Tcp(Loop);
  UdpEndpoint Udp(1);
  return !Tcp.open(Address) &&
         !Udp.open(Loop, Address, [](Endpoint, std::string_view) {});
}

/// Returns a loopback address that no socket uses, each time another one. Its
/// port is below the range of ephemeral ports: an outgoing connection, or a
/// socket at AnyPort, could take one of those before the test binds it.
inline Endpoint unusedAddress() {
  constexpr uint16_t FirstPort = 10'000;
  constexpr uint16_t PortCount = 20'000;
  // Programs that run at the same time start at different ports.
  constexpr int PortsPerProcess = 97;
  static uint16_t NextOffset =
      static_cast<uint16_t>(getpid() * PortsPerProcess % PortCount);
  Endpoint Address = AnyPort;
  do {
    Address.Port = static_cast<uint16_t>(FirstPort + NextOffset);
    NextOffset = static_cast<uint16_t>((NextOffset + 1) % PortCount);
  } while (!isFree(Address));
  return Address;
}

/// Runs \p Loop for \p Period.
inline void runFor(EventLoop &Loop, Duration Period) {
  const LoopEvent Timer = LoopEvent::after(Loop, Period, [&] { Loop.stop(); });
  Loop.run();
}

} // namespace indigopoint
