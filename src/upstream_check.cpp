#include "upstream_check.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace indigopoint {

struct UpstreamCheck::PendingReference {
  UpstreamId Id;
  bool IsPending = true;
  bool IsAccepting = false;
  /// The checks that wait for it.
  std::vector<std::shared_ptr<PendingCheck>> Waiting;
};

struct UpstreamCheck::PendingCheck {
  UpstreamId Id;
  int PendingConnections = 2;
  CheckResult Result = CheckResult::NoAnswer;
  /// Null if the check needs none.
  std::shared_ptr<PendingReference> Reference;
};

// Connects to the suspect twice, so that one lost packet does not fail the
// check.
void UpstreamCheck::start(const Upstream &Suspect, const Upstream &Reference) {
  auto Check = std::make_shared<PendingCheck>();
  Check->Id = Suspect.Registration.Id;
  if (UseReference) {
    Check->Reference = connectTo(Reference, Check->Id);
    Check->Reference->Waiting.push_back(Check);
  }
  ++PendingChecks;
  for (int Attempt = 0; Attempt < Check->PendingConnections; ++Attempt)
    ConnectionCheck.start(Suspect.Registration.Address, Timeout,
                          [this, Check](CheckResult Result) {
                            // An accepted connection outweighs a refused one,
                            // and each of them the lack of an answer.
                            Check->Result = std::min(Check->Result, Result);
                            --Check->PendingConnections;
                            finishIfComplete(*Check);
                          });
}

std::shared_ptr<UpstreamCheck::PendingReference>
UpstreamCheck::connectTo(const Upstream &Reference, UpstreamId Suspect) {
  if (LatestReference != nullptr && LatestReference->IsPending &&
      LatestReference->Id != Suspect)
    return LatestReference;
  LatestReference = std::make_shared<PendingReference>();
  LatestReference->Id = Reference.Registration.Id;
  ConnectionCheck.start(
      Reference.Registration.Address, Timeout,
      [this, Connected = LatestReference](CheckResult Result) {
        Connected->IsPending = false;
        Connected->IsAccepting = Result == CheckResult::Accepted;
        for (const auto &Check : std::exchange(Connected->Waiting, {}))
          finishIfComplete(*Check);
      });
  return LatestReference;
}

void UpstreamCheck::finishIfComplete(PendingCheck &Check) {
  const PendingReference *Reference = Check.Reference.get();
  if (Check.PendingConnections > 0 ||
      (Reference != nullptr && Reference->IsPending))
    return;
  --PendingChecks;
  if (Check.Result == CheckResult::Accepted || Reference == nullptr ||
      Reference->IsAccepting)
    OnResult(Check.Id, Check.Result);
  else
    OnResult(Check.Id, std::nullopt);
}

// The reference and the checks that wait for it refer to each other.
UpstreamCheck::~UpstreamCheck() {
  if (LatestReference != nullptr)
    LatestReference->Waiting.clear();
}

} // namespace indigopoint
