#include "restoration_review.h"

#include <array>
#include <utility>

#include <xxhash.h>

namespace indigopoint {

namespace {

// A running upstream registers again within this time after the store's return,
// and an operator writes a lost evacuation again.
constexpr Duration ReRegistrationTime = std::chrono::milliseconds(2500);

// Another version may follow at once, and going through both costs open flows.
constexpr Duration ChangedVersionDelay = std::chrono::seconds(1);

// Operators write all lost versions again, one after the other. Since a copy is
// some seconds old, the last one follows within this time. A version that none
// of the instances knows counts only if no other one follows; otherwise
// instances would go back to it for a moment.
constexpr Duration UnknownVersionDelay = std::chrono::seconds(60);

// A copy is some seconds old, so it lacks few versions.
constexpr size_t MaxKnownConfigurations = 256;

constexpr std::array<std::string_view, 3> RewriteKindNames = {"unknown", "lost",
                                                              "changed"};

} // namespace

LostConfiguration describe(ConfigVersion Version, const std::string &Content) {
  return {Version, XXH3_64bits(Content.data(), Content.size())};
}

std::string_view nameOf(RestorationReview::RewriteKind Value) {
  return RewriteKindNames.at(static_cast<size_t>(Value));
}

void RestorationReview::begin(TimePoint Now) {
  HasBegun = true;
  MissingUntil = Now + ReRegistrationTime;
  HoldUntil = Now + RegistrationLifetime;
  RestoredConfigurationRevision = 0;
  Deferred.reset();
  for (const LostConfiguration &Known : std::exchange(RecentConfigurations, {}))
    insert(LostConfigurations, Known);
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
  insert(RecentConfigurations, describe(Version, Content));
}

std::optional<RestorationReview::RewriteKind>
RestorationReview::recordLostConfigurations(
    const std::vector<LostConfiguration> &Known) {
  for (const LostConfiguration &Added : Known)
    insert(LostConfigurations, Added);
  if (!Deferred)
    return std::nullopt;
  const RewriteKind Kind = kindOf(Deferred->Content);
  Deferred->Kind = Kind;
  if (Kind == RewriteKind::Lost)
    Deferred.reset();
  return Kind;
}

std::vector<LostConfiguration>
RestorationReview::lostConfigurations(ConfigVersion Version) const {
  std::vector<LostConfiguration> Out;
  for (auto It = LostConfigurations.lower_bound({Version, 0});
       It != LostConfigurations.end() && It->Version == Version; ++It)
    Out.push_back(*It);
  return Out;
}

void RestorationReview::insert(ConfigurationSet &Configurations,
                               const LostConfiguration &Added) {
  Configurations.insert(Added);
  if (Configurations.size() > MaxKnownConfigurations)
    Configurations.erase(Configurations.begin());
}

RestorationReview::RewriteKind
RestorationReview::kindOf(const LostConfiguration &Written) const {
  if (LostConfigurations.count(Written) + RecentConfigurations.count(Written) >
      0)
    return RewriteKind::Lost;
  return lostConfigurations(Written.Version).empty() ? RewriteKind::Unknown
                                                     : RewriteKind::Changed;
}

void RestorationReview::recordRestoredConfiguration(uint64_t Revision) {
  RestoredConfigurationRevision = Revision;
}

bool RestorationReview::isWrittenSince(uint64_t Revision) const {
  return HasBegun && Revision > RestoredConfigurationRevision;
}

void RestorationReview::deferConfiguration(RouteConfiguration Configuration,
                                           const LostConfiguration &Written,
                                           TimePoint Now) {
  // A copy of the same write does not prolong the wait.
  if (Deferred && Deferred->Content == Written)
    return;
  Deferred = {std::move(Configuration), Written, Now, kindOf(Written)};
}

std::optional<ConfigVersion> RestorationReview::undecidedVersion() const {
  return Deferred && Deferred->Kind == RewriteKind::Unknown
             ? std::optional(Deferred->Content.Version)
             : std::nullopt;
}

TimePoint RestorationReview::dueTime(const Deferral &Of) {
  return Of.Since + (Of.Kind == RewriteKind::Changed ? ChangedVersionDelay
                                                     : UnknownVersionDelay);
}

std::optional<RouteConfiguration>
RestorationReview::takeDeferredConfiguration(TimePoint LastSync) {
  if (!Deferred || LastSync < dueTime(*Deferred))
    return std::nullopt;
  return std::exchange(Deferred, std::nullopt)->Configuration;
}

bool RestorationReview::takeConfirmationRequest(TimePoint Now,
                                                TimePoint LastSync) {
  if (!Deferred || Now < dueTime(*Deferred) || LastSync >= dueTime(*Deferred))
    return false;
  return !std::exchange(Deferred->IsConfirmationRequested, true);
}

void RestorationReview::discardDeferredConfiguration() {
  if (Deferred)
    insert(RecentConfigurations, Deferred->Content);
  Deferred.reset();
}

} // namespace indigopoint
