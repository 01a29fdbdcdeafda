#include "store_update_applier.h"

#include <array>

#include "overloaded.h"

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 7> ChangeNames = {
    "none", "added", "restarted", "updated", "drained", "returned", "removed"};

} // namespace

void StoreUpdateApplier::apply(const StoreSync::Update &Update) {
  if (!Update.isSnapshot() || Update.startsSnapshot())
    Present.clear();
  for (const StoreItem &Item : Update.Items)
    std::visit(Overloaded{[](const IgnoredItem &) {},
                          [&](const auto &Fact) { take(Item, Fact); }},
               Decode(Item));
  if (Update.endsSnapshot())
    removeAbsent();
}

void StoreUpdateApplier::take(const StoreItem &Item,
                              const UpstreamRegistration &Given) {
  Present.push_back(Given.Id);
  logUpstream(Given.Id,
              Upstreams.put(Given, Item.CreatedRevision, TimeSource.now()),
              Item.Revision);
}

void StoreUpdateApplier::take(const StoreItem &Item,
                              const UpstreamRemoval &Given) {
  logUpstream(Given.Id, Upstreams.remove(Given.Id, TimeSource.now()),
              Item.Revision);
}

void StoreUpdateApplier::take(const StoreItem &Item,
                              const RouteConfiguration &Given) {
  const ConfigVersion Before = Routes.version();
  const RouteTable::Change Change = Routes.apply(Given);
  // Copies of the version in force are nothing new.
  if (!Change.Applied && Given.Version == Before)
    return;
  Log.write(Change.Applied ? LogEvent::ConfigurationApplied
                           : LogEvent::ConfigurationIgnored,
            [&] {
              return EventLog::Fields{{"version", Given.Version.value()},
                                      {"versionBefore", Before.value()},
                                      {"revision", Item.Revision},
                                      {"routes", Routes.size()},
                                      {"added", Change.Added},
                                      {"removed", Change.Removed}};
            });
}

// An unreadable registration names no upstream to use. Its open flows stay.
void StoreUpdateApplier::take(const StoreItem &Item,
                              const UnreadableItem &Given) {
  Log.write(LogEvent::EntryUnreadable, [&] {
    return EventLog::Fields{{"key", Item.Key},
                            {"reason", Given.Reason},
                            {"revision", Item.Revision}};
  });
  if (Given.Upstream)
    take(Item, UpstreamRemoval{*Given.Upstream});
}

void StoreUpdateApplier::removeAbsent() {
  Upstreams.retain(Present, TimeSource.now(), [this](UpstreamId Id) {
    logUpstream(Id, UpstreamRegistry::Change::Removed, 0);
  });
  Upstreams.markComplete();
}

void StoreUpdateApplier::logUpstream(UpstreamId Id,
                                     UpstreamRegistry::Change Change,
                                     uint64_t Revision) {
  const Upstream *Changed = Upstreams.find(Id);
  if (Changed == nullptr || Change == UpstreamRegistry::Change::None)
    return;
  Log.write(LogEvent::UpstreamChanged, [&] {
    const UpstreamRegistration &Said = Changed->Registration;
    return EventLog::Fields{
        {"upstream", toHex(Id)},
        {"change", ChangeNames[static_cast<size_t>(Change)]},
        {"state", nameOf(Changed->State)},
        {"service", Said.Service},
        {"address", toString(Said.Address)},
        {"zone", Said.Zone},
        {"revision", Revision},
        {"openFlows", Changed->OpenFlows}};
  });
}

} // namespace indigopoint
