#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "connect_check.h"
#include "upstream_registry.h"

namespace indigopoint {

/// Checks whether an upstream accepts connections, by connecting to it and to a
/// reference upstream that answered recently.
class UpstreamCheck {
public:
  /// The longest time from start to the result. Upstreams accept connections
  /// within a few milliseconds, even under load.
  static constexpr Duration Timeout = std::chrono::milliseconds(250);

  /// There is no result if the reference failed as well.
  using ResultHook =
      std::function<void(UpstreamId, std::optional<CheckResult>)>;

  /// Without \p UseReference, a failed connection alone fails the check.
  UpstreamCheck(EventLoop &Loop, bool UseReference, ResultHook OnResult)
      : ConnectionCheck(Loop), UseReference(UseReference),
        OnResult(std::move(OnResult)) {}
  ~UpstreamCheck();

  /// Starts to connect to \p Suspect and \p Reference. Checks that start while
  /// the connection to a reference is pending share it. There is no result if
  /// both fail, since the fault is then more likely on this instance's side,
  /// such as a saturated link.
  void start(const Upstream &Suspect, const Upstream &Reference);

  /// Whether a check has started whose result is not known yet.
  bool isPending() const { return PendingChecks > 0; }

private:
  struct PendingReference;
  struct PendingCheck;

  std::shared_ptr<PendingReference> connectTo(const Upstream &Reference,
                                              UpstreamId Suspect);
  void finishIfComplete(PendingCheck &Check);

  ConnectCheck ConnectionCheck;
  bool UseReference;
  ResultHook OnResult;
  size_t PendingChecks = 0;
  /// The reference of the latest check.
  std::shared_ptr<PendingReference> LatestReference;
};

} // namespace indigopoint
