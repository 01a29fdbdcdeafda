#pragma once

#include <functional>
#include <memory>

#include "types.h"

namespace indigopoint {

class EventLoop;

/// Tells whether something accepts TCP connections at an address. Says nothing
/// of its requests, so it stays true under load.
class ConnectCheck {
public:
  using ResultHook = std::function<void(bool IsAccepting)>;

  explicit ConnectCheck(EventLoop &Loop);
  ~ConnectCheck();

  /// Connects to \p Target and closes. A refusal, an error or no answer
  /// within \p Timeout means that nothing accepts there. The hook is called
  /// from the loop, and not after this object's end.
  void start(Endpoint Target, Duration Timeout, ResultHook OnResult);

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
