#include "restoration_review.h"

#include <utility>

#include <xxhash.h>

namespace indigopoint {

namespace {

// A running upstream registers again within this time after the store's return,
// and an operator writes a lost evacuation again.
constexpr Duration ReRegistrationTime = std::chrono::milliseconds(2500);

// Operators may write all lost versions again, one after the other. A lower
// version than the one in force counts only if no other one follows within this
// time; otherwise instances would go back to it for a moment.
constexpr Duration RewriteTime = std::chrono::seconds(1);

// A copy is some seconds old, so it lacks few versions.
constexpr size_t MaxKnownConfigurations = 256;

uint64_t hashOf(const std::string &Content) {
  return XXH3_64bits(Content.data(), Content.size());
}

} // namespace

void RestorationReview::begin(TimePoint Now) {
  HasBegun = true;
  MissingUntil = Now + ReRegistrationTime;
  HoldUntil = Now + RegistrationLifetime;
  RestoredConfigurationRevision = 0;
  DeferredConfiguration.reset();
}

RestorationReview::Verdict
RestorationReview::judge(const UpstreamRegistration &Restored,
                         const Upstream *Known) {
  if (Known == nullptr ||
      Restored.StartedAtMs > Known->Registration.StartedAtMs)
    return Verdict::Apply;
  if (Restored.StartedAtMs < Known->Registration.StartedAtMs)
    return Verdict::Ignore;
  switch (Known->State) {
  case UpstreamState::Ready:
    return Verdict::Apply;
  case UpstreamState::Draining:
    // A draining process does not become ready again.
    return Restored.Draining ? Verdict::Apply : Verdict::Ignore;
  case UpstreamState::Unregistered:
    return Verdict::Hold;
  }
  return Verdict::Ignore;
}

void RestorationReview::hold(HeldRegistration Registration) {
  const UpstreamId Id = Registration.Registration.Id;
  Held.insert_or_assign(Id, std::move(Registration));
}

void RestorationReview::release(UpstreamId Id) {
  Held.erase(Id);
  Missing.erase(Id);
}

void RestorationReview::setMissing(const std::vector<UpstreamId> &Ids) {
  Missing = std::set<UpstreamId>(Ids.begin(), Ids.end());
}

std::vector<UpstreamId> RestorationReview::takeMissing(TimePoint LastSync) {
  if (keepsMissingItems(LastSync))
    return {};
  const std::set<UpstreamId> Ids = std::exchange(Missing, {});
  return {Ids.begin(), Ids.end()};
}

void RestorationReview::setMissingEvacuations(
    const std::vector<std::string> &Zones) {
  MissingEvacuations = {Zones.begin(), Zones.end()};
}

std::vector<std::string>
RestorationReview::takeMissingEvacuations(TimePoint LastSync) {
  if (keepsMissingItems(LastSync))
    return {};
  const std::set<std::string> Zones = std::exchange(MissingEvacuations, {});
  return {Zones.begin(), Zones.end()};
}

std::vector<RestorationReview::HeldRegistration>
RestorationReview::takeConfirmed(TimePoint LastSync) {
  std::vector<HeldRegistration> Out;
  if (LastSync < HoldUntil)
    return Out;
  for (auto &[Id, Registration] : std::exchange(Held, {}))
    Out.push_back(std::move(Registration));
  return Out;
}

void RestorationReview::recordConfiguration(ConfigVersion Version,
                                            const std::string &Content) {
  KnownConfigurations[Version] = hashOf(Content);
  if (KnownConfigurations.size() > MaxKnownConfigurations)
    KnownConfigurations.erase(KnownConfigurations.begin());
}

bool RestorationReview::isKnownConfiguration(ConfigVersion Version,
                                             const std::string &Content) const {
  const auto It = KnownConfigurations.find(Version);
  return It != KnownConfigurations.end() && It->second == hashOf(Content);
}

void RestorationReview::recordRestoredConfiguration(uint64_t Revision) {
  RestoredConfigurationRevision = Revision;
}

bool RestorationReview::isWrittenSince(uint64_t Revision) const {
  return HasBegun && Revision > RestoredConfigurationRevision;
}

void RestorationReview::deferConfiguration(RouteConfiguration Configuration,
                                           TimePoint Now) {
  DeferredConfiguration = std::move(Configuration);
  DeferredUntil = Now + RewriteTime;
}

std::optional<RouteConfiguration>
RestorationReview::takeDeferredConfiguration(TimePoint Now) {
  if (!DeferredConfiguration || Now < DeferredUntil)
    return std::nullopt;
  return std::exchange(DeferredConfiguration, std::nullopt);
}

} // namespace indigopoint
