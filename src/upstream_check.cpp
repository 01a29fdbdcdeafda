#include "upstream_check.h"

#include <algorithm>
#include <memory>

namespace indigopoint {

namespace {

// Upstreams accept connections within a few milliseconds, even under load.
constexpr Duration CheckTimeout = std::chrono::milliseconds(250);

} // namespace

struct UpstreamCheck::PendingCheck {
  UpstreamId Id;
  int PendingConnections = 0;
  /// The result of the more successful one of two connections.
  ConnectResult SuspectResult = ConnectResult::TimedOut;
  bool IsReferenceAccepting = false;
};

// Connects to the suspect twice, so that one lost packet does not fail the
// check.
void UpstreamCheck::start(const Upstream &Suspect, const Upstream &Reference) {
  auto Check = std::make_shared<PendingCheck>();
  Check->Id = Suspect.Registration.Id;
  Check->IsReferenceAccepting = !UseReference;
  Check->PendingConnections = UseReference ? 3 : 2;
  const auto OnSuspectResult = [this, Check](ConnectResult Result) {
    Check->SuspectResult = std::min(Check->SuspectResult, Result);
    onConnectionResult(*Check);
  };
  ConnectionCheck.start(Suspect.Registration.Address, CheckTimeout,
                        OnSuspectResult);
  ConnectionCheck.start(Suspect.Registration.Address, CheckTimeout,
                        OnSuspectResult);
  if (!UseReference)
    return;
  ConnectionCheck.start(Reference.Registration.Address, CheckTimeout,
                        [this, Check](ConnectResult Result) {
                          Check->IsReferenceAccepting =
                              Result == ConnectResult::Accepted;
                          onConnectionResult(*Check);
                        });
}

void UpstreamCheck::onConnectionResult(PendingCheck &Check) {
  if (--Check.PendingConnections > 0)
    return;
  if (Check.SuspectResult == ConnectResult::Accepted ||
      Check.IsReferenceAccepting)
    OnResult(Check.Id, Check.SuspectResult);
}

} // namespace indigopoint
