#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "types.h"

namespace indigopoint {

class EventLoop;

/// The result of an attempt to connect, from the best to the worst.
enum class ConnectResult : uint8_t {
  Accepted,
  /// The connection was refused or failed otherwise.
  Refused,
  TimedOut
};

std::string_view nameOf(ConnectResult Value);

/// Checks whether a process accepts TCP connections at an address. No request
/// is sent, so a server that is slow under load still passes the check.
class ConnectCheck {
public:
  using ResultHook = std::function<void(ConnectResult)>;

  explicit ConnectCheck(EventLoop &Loop);
  ~ConnectCheck();

  /// Connects to \p Target and closes the connection. The check fails on a
  /// refusal, on an error, or if the connection is not established within
  /// \p Timeout. The hook is called from the event loop, never from within
  /// this call, and not after this object was destroyed.
  void start(Endpoint Target, Duration Timeout, ResultHook OnResult);

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
