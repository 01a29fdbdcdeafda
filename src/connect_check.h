#pragma once

#include <functional>
#include <memory>

#include "check_result.h"
#include "types.h"

namespace indigopoint {

class EventLoop;

/// Checks whether a process accepts TCP connections at an address. No request
/// is sent, so a server that is slow under load still passes the check.
class ConnectCheck {
public:
  using ResultHook = std::function<void(CheckResult)>;

  explicit ConnectCheck(EventLoop &Loop);
  ~ConnectCheck();

  /// Connects to \p Target and closes the connection. Errors other than a
  /// refusal count as no answer, as does a connection that is not established
  /// within \p Timeout. One that was established counts also if this process
  /// learns of it later. The hook is called from the event loop, never from
  /// within this call, and not after this object was destroyed.
  void start(Endpoint Target, Duration Timeout, ResultHook OnResult);

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
