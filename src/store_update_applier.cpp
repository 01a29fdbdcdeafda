#include "store_update_applier.h"

#include <array>

#include "overloaded.h"

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 7> ChangeNames = {
    "none", "added", "restarted", "updated", "drained", "returned", "removed"};

// The reason may quote the entry.
constexpr size_t MaxReasonBytes = 300;

} // namespace

void StoreUpdateApplier::apply(const StoreSync::Update &Update) {
  ContentKind = Update.ContentKind;
  IsFromRestoredStore = Update.IsFromRestoredStore;
  if (!Update.isSnapshotOrPage() || Update.startsSnapshot())
    clearSnapshot();
  if (Update.startsSnapshot())
    Pending.startSnapshot();
  if (IsFromRestoredStore && Update.startsSnapshot())
    Review.begin(TimeSource.now());
  for (const StoreItem &Item : Update.Items)
    std::visit(
        Overloaded{[](const IgnoredItem &) {},
                   [&](const auto &Decoded) { applyItem(Item, Decoded); }},
        Decode(Item));
  if (Update.endsSnapshot()) {
    Pending.finishSnapshot();
    removeMissingUpstreams();
    endMissingEvacuations();
  }
  registerPending();
}

void StoreUpdateApplier::clearSnapshot() {
  SnapshotUpstreams.clear();
  NewUpstreams.clear();
  SnapshotEvacuations.clear();
}

// Whether an item was written again in time, or outlasted its time, is known
// when the store has answered after that time: a process that was paused, or
// that the store does not answer, has not heard of it.
void StoreUpdateApplier::applyDue() {
  const TimePoint Now = TimeSource.now();
  const TimePoint LastSync = Upstreams.lastStoreSync();
  for (const UpstreamId Id : Review.takeMissing(LastSync))
    logUpstream(Id, Upstreams.remove(Id, Now), 0);
  for (const auto &Held : Review.takeConfirmed(LastSync))
    put(Held.Registration, Held.CreatedRevision, Held.CreatedRevision);
  for (const std::string &Zone : Review.takeMissingEvacuations(LastSync))
    endEvacuation(Zone, 0);
  if (const auto Config = Review.takeDeferredConfiguration(LastSync))
    replaceConfiguration(*Config, 0);
  registerPending();
}

bool StoreUpdateApplier::supersedes(const StoreItem &Known,
                                    const StoreItem *Restored) const {
  const DecodedItem KnownContent = Decode(Known);
  const auto *KnownConfig = std::get_if<RouteConfiguration>(&KnownContent);
  if (KnownConfig == nullptr || KnownConfig->Version != Routes.version())
    return false;
  if (Restored == nullptr)
    return true;
  const DecodedItem RestoredContent = Decode(*Restored);
  const auto *RestoredConfig =
      std::get_if<RouteConfiguration>(&RestoredContent);
  return RestoredConfig == nullptr ||
         RestoredConfig->Version < KnownConfig->Version;
}

void StoreUpdateApplier::applyItem(const StoreItem &Item,
                                   const UpstreamRegistration &Registration) {
  const UpstreamId Id = Registration.Id;
  const KeyedRegistration Entry{Item.Key, Registration, Item.CreatedRevision,
                                Item.Revision};
  Pending.erase(Item.Key);
  if (!mayRegister(Entry)) {
    defer(Entry);
    return;
  }
  SnapshotUpstreams.push_back(Id);
  const auto Verdict =
      IsFromRestoredStore
          ? RestorationReview::judge(Registration, Upstreams.find(Id))
          : RestorationReview::Verdict::Apply;
  if (Verdict == RestorationReview::Verdict::Apply) {
    Review.release(Id);
    registerUpstream(Entry);
    return;
  }
  const bool IsHeld = Verdict == RestorationReview::Verdict::Hold;
  if (IsHeld)
    Review.hold({Registration, Item.CreatedRevision});
  Log.write(LogEvent::RegistrationOutdated, [&] {
    return EventLog::Fields{
        {"upstream", toHex(Id)},
        {"state", nameOf(Upstreams.find(Id)->State)},
        {"restoredState", Registration.Draining ? "draining" : "ready"},
        {"needsConfirmation", IsHeld},
        {"revision", Item.Revision}};
  });
}

bool StoreUpdateApplier::isKeyOf(const std::string &Key, UpstreamId Id) {
  const Upstream *Known = Upstreams.find(Id);
  return Known != nullptr && Known->RegistrationKey == Key;
}

// An entry of another writer may end in the id of an upstream. It names a
// service that does not exist, or it is a copy, and was created later. An
// upstream keeps its key, and with it the address of its open flows, until it
// is forgotten.
bool StoreUpdateApplier::mayRegister(const KeyedRegistration &Entry) {
  const UpstreamRegistration &Registration = Entry.Registration;
  const Upstream *Known = Upstreams.find(Registration.Id);
  const bool HasSameKey =
      Known != nullptr && Known->RegistrationKey == Entry.Key;
  // The flows of an upstream go on when a configuration no longer names its
  // service.
  if (HasSameKey && Known->Registration.Service == Registration.Service)
    return true;
  if (!Routes.namesService(Registration.Service))
    return false;
  if (Known == nullptr || HasSameKey)
    return true;
  // Keys that are read together come in the order of their names.
  return NewUpstreams.count(Registration.Id) != 0 &&
         Entry.CreatedRevision < Known->CreatedRevision;
}

void StoreUpdateApplier::defer(KeyedRegistration Entry) {
  const UpstreamRegistration &Registration = Entry.Registration;
  if (isKeyOf(Entry.Key, Registration.Id))
    disable(Registration.Id, Entry.Revision);
  const bool IsServiceNamed = Routes.namesService(Registration.Service);
  if (Routes.isLoaded())
    logUnreadable(Entry.Key, Entry.Revision,
                  IsServiceNamed
                      ? "another key registers the upstream " +
                            toHex(Registration.Id)
                      : "the configuration does not name the service " +
                            Registration.Service);
  Pending.put(std::move(Entry));
}

void StoreUpdateApplier::disable(UpstreamId Id, uint64_t Revision) {
  logUpstream(Id,
              Upstreams.remove(Id, TimeSource.now(),
                               UpstreamRegistry::RemovalReason::Unusable),
              Revision);
}

void StoreUpdateApplier::registerUpstream(const KeyedRegistration &Entry) {
  const UpstreamId Id = Entry.Registration.Id;
  put(Entry.Registration, Entry.CreatedRevision, Entry.Revision);
  if (!isKeyOf(Entry.Key, Id))
    NewUpstreams.insert(Id);
  Upstreams.find(Id)->RegistrationKey = Entry.Key;
}

// An entry that is registered between the pages of a snapshot would be missing
// from those that were read before.
void StoreUpdateApplier::registerPending() {
  if (ContentKind == Content::FirstPage || ContentKind == Content::NextPage)
    return;
  for (const KeyedRegistration &Entry : Pending.entries())
    if (mayRegister(Entry)) {
      registerUpstream(Entry);
      Pending.erase(Entry.Key);
    }
}

void StoreUpdateApplier::put(const UpstreamRegistration &Registration,
                             uint64_t CreatedRevision, uint64_t Revision) {
  logUpstream(Registration.Id,
              Upstreams.put(Registration, CreatedRevision, TimeSource.now()),
              Revision);
}

void StoreUpdateApplier::applyItem(const StoreItem &Item,
                                   const UpstreamRemoval &Removal) {
  Pending.erase(Item.Key);
  if (!isKeyOf(Item.Key, Removal.Id))
    return;
  Review.release(Removal.Id);
  logUpstream(Removal.Id, Upstreams.remove(Removal.Id, TimeSource.now()),
              Item.Revision);
}

// The version decides unless the store was restored: then a configuration that
// was written since may have the version of a lost one, or a lower one.
void StoreUpdateApplier::applyItem(const StoreItem &Item,
                                   const RouteConfiguration &Config) {
  if (IsFromRestoredStore)
    Review.recordRestoredConfiguration(Item.Revision);
  const bool IsRewritten = Routes.isLoaded() &&
                           ContentKind != Content::Retained &&
                           Review.isWrittenSince(Item.Revision);
  if (IsRewritten && Config.Version < Routes.version()) {
    applyLowerVersion(Item, Config);
    return;
  }
  if (IsRewritten)
    Review.discardDeferredConfiguration();
  // The operator may write the version of the copy again as well.
  if (Config.Version >= Routes.version() || IsFromRestoredStore)
    Review.recordConfiguration(Config.Version, Item.Value);
  const bool IsVersionReused =
      Config.Version == Routes.version() && Routes.isLoaded() &&
      (IsRewritten || IsFromRestoredStore) && !Routes.hasSameContent(Config);
  if (IsVersionReused) {
    replaceConfiguration(Config, Item.Revision);
    return;
  }
  const ConfigVersion PreviousVersion = Routes.version();
  const RouteTable::Change Change = Routes.apply(Config);
  logConfiguration(Config, Change, PreviousVersion, Item.Revision);
}

// The operator writes the lost versions again, one after the other; the version
// in force follows after any time. An instance that does not know the version
// asks the others.
void StoreUpdateApplier::applyLowerVersion(const StoreItem &Item,
                                           const RouteConfiguration &Config) {
  const LostConfiguration Written = describe(Config.Version, Item.Value);
  const RestorationReview::RewriteKind Kind = Review.kindOf(Written);
  if (Kind == RestorationReview::RewriteKind::Lost)
    Review.discardDeferredConfiguration();
  else
    Review.deferConfiguration(Config, Written, TimeSource.now());
  logDeferral(Config.Version, Kind, "own");
}

void StoreUpdateApplier::recordLostConfigurations(
    const std::vector<LostConfiguration> &Known) {
  const std::optional<ConfigVersion> Undecided = undecidedVersion();
  const auto Kind = Review.recordLostConfigurations(Known);
  if (Undecided && Kind && *Kind != RestorationReview::RewriteKind::Unknown)
    logDeferral(*Undecided, *Kind, "peer");
}

void StoreUpdateApplier::logDeferral(ConfigVersion Version,
                                     RestorationReview::RewriteKind Kind,
                                     std::string_view Source) {
  Log.write(LogEvent::ConfigurationDeferred, [&] {
    return EventLog::Fields{{"version", Version.value()},
                            {"versionInForce", Routes.version().value()},
                            {"kind", nameOf(Kind)},
                            {"source", Source}};
  });
}

void StoreUpdateApplier::replaceConfiguration(const RouteConfiguration &Config,
                                              uint64_t Revision) {
  const ConfigVersion PreviousVersion = Routes.version();
  const RouteTable::Change Change = Routes.replace(Config);
  logConfiguration(Config, Change, PreviousVersion, Revision);
}

void StoreUpdateApplier::logConfiguration(const RouteConfiguration &Config,
                                          const RouteTable::Change &Change,
                                          ConfigVersion PreviousVersion,
                                          uint64_t Revision) {
  // An unchanged copy of the current version is not logged.
  if (!Change.Applied && Config.Version == PreviousVersion)
    return;
  Log.write(Change.Applied ? LogEvent::ConfigurationApplied
                           : LogEvent::ConfigurationIgnored,
            [&] {
              return EventLog::Fields{
                  {"version", Config.Version.value()},
                  {"versionBefore", PreviousVersion.value()},
                  {"revision", Revision},
                  {"routes", Routes.size()},
                  {"added", Change.Added},
                  {"removed", Change.Removed}};
            });
}

void StoreUpdateApplier::applyItem(const StoreItem &Item,
                                   const ZoneEvacuation &Evacuation) {
  const std::string &Zone = Evacuation.Zone;
  Review.releaseEvacuation(Zone);
  if (Evacuation.IsEnded) {
    endEvacuation(Zone, Item.Revision);
    return;
  }
  SnapshotEvacuations.push_back(Zone);
  if (!Upstreams.evacuations().start(Zone, TimeSource.now()))
    return;
  Log.write(LogEvent::EvacuationStarted, [&] {
    return EventLog::Fields{{"zone", Zone},
                            {"upstreams", Upstreams.countInZone(Zone)},
                            {"revision", Item.Revision}};
  });
}

void StoreUpdateApplier::endEvacuation(const std::string &Zone,
                                       uint64_t Revision) {
  if (!Upstreams.evacuations().end(Zone))
    return;
  // The upstreams may have become cold meanwhile and report it only with their
  // next renewal. It matters where a cold upstream bears a limited rate.
  Upstreams.assumeCold(Zone, TimeSource.now(), [this](const std::string &Name) {
    const ServiceSettings &Service = Routes.service(Name);
    return Service.WarmupRate > 0 ? Service.WarmupTime : Duration();
  });
  Log.write(LogEvent::EvacuationEnded, [&] {
    return EventLog::Fields{{"zone", Zone},
                            {"upstreams", Upstreams.countInZone(Zone)},
                            {"revision", Revision}};
  });
}

// A restored store may lack an evacuation that an operator is about to write
// again, so it stays in force for as long as a missing upstream.
void StoreUpdateApplier::endMissingEvacuations() {
  const std::vector<std::string> MissingZones =
      Upstreams.evacuations().missingFrom(SnapshotEvacuations);
  if (Review.keepsMissingItems(TimeSource.now()))
    Review.setMissingEvacuations(MissingZones);
  else
    for (const std::string &Zone : MissingZones)
      endEvacuation(Zone, 0);
}

// An unreadable registration disables its upstream; open flows of the upstream
// are kept.
void StoreUpdateApplier::applyItem(const StoreItem &Item,
                                   const UnreadableItem &Unreadable) {
  logUnreadable(Item.Key, Item.Revision, Unreadable.Reason);
  if (!Unreadable.Upstream)
    return;
  Pending.erase(Item.Key);
  if (!isKeyOf(Item.Key, *Unreadable.Upstream))
    return;
  Review.release(*Unreadable.Upstream);
  disable(*Unreadable.Upstream, Item.Revision);
}

void StoreUpdateApplier::logUnreadable(const std::string &Key,
                                       uint64_t Revision,
                                       const std::string &Reason) {
  Log.write(LogEvent::EntryUnreadable, [&] {
    return EventLog::Fields{{"key", Key},
                            {"reason", Reason.substr(0, MaxReasonBytes)},
                            {"revision", Revision}};
  });
}

void StoreUpdateApplier::removeMissingUpstreams() {
  const TimePoint Now = TimeSource.now();
  const std::vector<UpstreamId> MissingIds =
      Upstreams.missingFrom(SnapshotUpstreams);
  if (Review.keepsMissingItems(Now))
    Review.setMissing(MissingIds);
  else
    for (const UpstreamId Id : MissingIds)
      logUpstream(Id, Upstreams.remove(Id, Now), 0);
  Upstreams.markComplete();
}

void StoreUpdateApplier::logUpstream(UpstreamId Id,
                                     UpstreamRegistry::Change Change,
                                     uint64_t Revision) {
  const Upstream *Upstream = Upstreams.find(Id);
  if (Upstream == nullptr || Change == UpstreamRegistry::Change::None)
    return;
  Log.write(LogEvent::UpstreamChanged, [&] {
    const UpstreamRegistration &Registration = Upstream->Registration;
    return EventLog::Fields{
        {"upstream", toHex(Id)},
        {"change", ChangeNames[static_cast<size_t>(Change)]},
        {"state", nameOf(Upstream->State)},
        {"service", Registration.Service},
        {"address", toString(Registration.Address)},
        {"zone", Registration.Zone},
        {"revision", Revision},
        {"openFlows", Upstream->OpenFlows}};
  });
}

} // namespace indigopoint
