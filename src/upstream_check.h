#pragma once

#include <functional>

#include "connect_check.h"
#include "upstream_registry.h"

namespace indigopoint {

/// Checks whether an upstream accepts connections, by connecting to it and to a
/// reference upstream that answered recently.
class UpstreamCheck {
public:
  using ResultHook = std::function<void(UpstreamId, ConnectResult)>;

  /// Without \p UseReference, a failed connection alone fails the check.
  UpstreamCheck(EventLoop &Loop, bool UseReference, ResultHook OnResult)
      : ConnectionCheck(Loop), UseReference(UseReference),
        OnResult(std::move(OnResult)) {}

  /// Starts to connect to \p Suspect and \p Reference. The hook is not called
  /// if both fail, since the fault is then more likely on this instance's side,
  /// such as a saturated link.
  void start(const Upstream &Suspect, const Upstream &Reference);

private:
  struct PendingCheck;

  void onConnectionResult(PendingCheck &Check);

  ConnectCheck ConnectionCheck;
  bool UseReference;
  ResultHook OnResult;
};

} // namespace indigopoint
