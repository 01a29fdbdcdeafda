#include "upstream_check.h"

#include <memory>

namespace indigopoint {

namespace {

// Connections are accepted within a few milliseconds, also under load.
constexpr Duration CheckTimeout = std::chrono::milliseconds(250);

} // namespace

struct UpstreamCheck::Running {
  UpstreamId Id;
  int Outstanding = 3;
  bool IsAccepting = false;
  bool IsControlAccepting = false;
};

// The second connection to the suspect covers a lost packet.
void UpstreamCheck::start(const Upstream &Suspect, const Upstream &Control) {
  auto Given = std::make_shared<Running>();
  Given->Id = Suspect.Registration.Id;
  const auto OnSuspect = [this, Given](bool IsAccepting) {
    Given->IsAccepting |= IsAccepting;
    finish(*Given);
  };
  Connections.start(Suspect.Registration.Address, CheckTimeout, OnSuspect);
  Connections.start(Suspect.Registration.Address, CheckTimeout, OnSuspect);
  Connections.start(Control.Registration.Address, CheckTimeout,
                    [this, Given](bool IsAccepting) {
                      Given->IsControlAccepting = IsAccepting;
                      finish(*Given);
                    });
}

void UpstreamCheck::finish(Running &Given) {
  if (--Given.Outstanding > 0)
    return;
  if (Given.IsAccepting || Given.IsControlAccepting)
    OnResult(Given.Id, Given.IsAccepting);
}

} // namespace indigopoint
