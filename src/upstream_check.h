#pragma once

#include <functional>

#include "connect_check.h"
#include "upstream_registry.h"

namespace indigopoint {

/// Tells whether an upstream is there, by connections to it and to another
/// one that answered lately.
class UpstreamCheck {
public:
  using ResultHook = std::function<void(UpstreamId, bool IsAccepting)>;

  UpstreamCheck(EventLoop &Loop, ResultHook OnResult)
      : Connections(Loop), OnResult(std::move(OnResult)) {}

  /// Starts to connect to \p Suspect and \p Control. The hook is called unless
  /// both fail, since the fault is then more likely on this side, such as a
  /// link that is filled up.
  void start(const Upstream &Suspect, const Upstream &Control);

private:
  struct Running;

  void finish(Running &Given);

  ConnectCheck Connections;
  ResultHook OnResult;
};

} // namespace indigopoint
