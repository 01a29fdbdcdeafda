#include "store_update_applier.h"

#include <array>

#include "overloaded.h"

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 7> ChangeNames = {
    "none", "added", "restarted", "updated", "drained", "returned", "removed"};

} // namespace

void StoreUpdateApplier::apply(const StoreSync::Update &Update) {
  if (!Update.isSnapshotOrPage() || Update.startsSnapshot())
    SnapshotUpstreams.clear();
  for (const StoreItem &Item : Update.Items)
    std::visit(
        Overloaded{[](const IgnoredItem &) {},
                   [&](const auto &Decoded) { applyItem(Item, Decoded); }},
        Decode(Item));
  if (Update.endsSnapshot())
    removeMissingUpstreams();
}

void StoreUpdateApplier::applyItem(const StoreItem &Item,
                                   const UpstreamRegistration &Registration) {
  SnapshotUpstreams.push_back(Registration.Id);
  logUpstream(
      Registration.Id,
      Upstreams.put(Registration, Item.CreatedRevision, TimeSource.now()),
      Item.Revision);
}

void StoreUpdateApplier::applyItem(const StoreItem &Item,
                                   const UpstreamRemoval &Removal) {
  logUpstream(Removal.Id, Upstreams.remove(Removal.Id, TimeSource.now()),
              Item.Revision);
}

void StoreUpdateApplier::applyItem(const StoreItem &Item,
                                   const RouteConfiguration &Config) {
  const ConfigVersion PreviousVersion = Routes.version();
  const RouteTable::Change Change = Routes.apply(Config);
  // An unchanged copy of the current version is not logged.
  if (!Change.Applied && Config.Version == PreviousVersion)
    return;
  Log.write(Change.Applied ? LogEvent::ConfigurationApplied
                           : LogEvent::ConfigurationIgnored,
            [&] {
              return EventLog::Fields{
                  {"version", Config.Version.value()},
                  {"versionBefore", PreviousVersion.value()},
                  {"revision", Item.Revision},
                  {"routes", Routes.size()},
                  {"added", Change.Added},
                  {"removed", Change.Removed}};
            });
}

// An unreadable registration disables its upstream; open flows of the upstream
// are kept.
void StoreUpdateApplier::applyItem(const StoreItem &Item,
                                   const UnreadableItem &Unreadable) {
  Log.write(LogEvent::EntryUnreadable, [&] {
    return EventLog::Fields{{"key", Item.Key},
                            {"reason", Unreadable.Reason},
                            {"revision", Item.Revision}};
  });
  if (Unreadable.Upstream)
    applyItem(Item, UpstreamRemoval{*Unreadable.Upstream});
}

void StoreUpdateApplier::removeMissingUpstreams() {
  Upstreams.retain(SnapshotUpstreams, TimeSource.now(), [this](UpstreamId Id) {
    logUpstream(Id, UpstreamRegistry::Change::Removed, 0);
  });
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
