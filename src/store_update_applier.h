#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "clock.h"
#include "event_log.h"
#include "pending_registrations.h"
#include "restoration_review.h"
#include "route_table.h"
#include "store_sync.h"
#include "upstream_registry.h"

namespace indigopoint {

/// An item that removes an upstream.
struct UpstreamRemoval {
  UpstreamId Id;
};

/// An item that starts or ends the evacuation of a zone.
struct ZoneEvacuation {
  std::string Zone;
  bool IsEnded = false;
};

/// An item that cannot be decoded.
struct UnreadableItem {
  std::string Reason;
  /// Set if the item registers an upstream. This upstream must not be used.
  std::optional<UpstreamId> Upstream;
};

/// An item for other programs.
struct IgnoredItem {};

/// The decoded content of one item of the store.
using DecodedItem =
    std::variant<IgnoredItem, UpstreamRegistration, UpstreamRemoval,
                 RouteConfiguration, ZoneEvacuation, UnreadableItem>;

using ItemDecoder = std::function<DecodedItem(const StoreItem &)>;

/// Applies updates of the store to the routes and upstreams and logs the
/// changes.
class StoreUpdateApplier {
public:
  /// \p RegistrationLifetime is the time after which the store removes the
  /// registration of an upstream that is no longer running.
  StoreUpdateApplier(ItemDecoder Decode, const Clock &TimeSource, EventLog &Log,
                     RouteTable &Routes, UpstreamRegistry &Upstreams,
                     Duration RegistrationLifetime)
      : Decode(std::move(Decode)), TimeSource(TimeSource), Log(Log),
        Routes(Routes), Upstreams(Upstreams), Review(RegistrationLifetime) {}

  void apply(const StoreSync::Update &Update);

  /// Applies what was put off after a restoration of the store and is due now.
  /// Called several times a second, after UpstreamRegistry::recordStoreSync.
  void applyDue();

  /// Whether the store has to confirm now that no configuration was written
  /// since the one that applyDue would apply. True once for each of them.
  bool takeConfirmationRequest() {
    return Review.takeConfirmationRequest(TimeSource.now(),
                                          Upstreams.lastStoreSync());
  }

  /// The lower version of which this instance does not know whether it was lost
  /// with the store's latest changes; other instances may know it.
  std::optional<ConfigVersion> undecidedVersion() const {
    return Review.undecidedVersion();
  }
  std::vector<LostConfiguration>
  lostConfigurations(ConfigVersion Version) const {
    return Review.lostConfigurations(Version);
  }
  /// Records what another instance knew before the restoration.
  void recordLostConfigurations(const std::vector<LostConfiguration> &Known);

  /// Whether \p Known stays in force although the restored store has
  /// \p Restored in its place, or no item if that is null.
  bool supersedes(const StoreItem &Known, const StoreItem *Restored) const;

private:
  using Content = StoreSync::Update::Content;

  void applyItem(const StoreItem &Item,
                 const UpstreamRegistration &Registration);
  void applyItem(const StoreItem &Item, const UpstreamRemoval &Removal);
  void applyItem(const StoreItem &Item, const RouteConfiguration &Config);
  void applyItem(const StoreItem &Item, const ZoneEvacuation &Evacuation);
  void applyItem(const StoreItem &Item, const UnreadableItem &Unreadable);
  void put(const UpstreamRegistration &Registration, uint64_t CreatedRevision,
           uint64_t Revision);
  void applyLowerVersion(const StoreItem &Item,
                         const RouteConfiguration &Config);
  /// \p Source is what the kind is known from.
  void logDeferral(ConfigVersion Version, RestorationReview::RewriteKind Kind,
                   std::string_view Source);
  void replaceConfiguration(const RouteConfiguration &Config,
                            uint64_t Revision);
  void logConfiguration(const RouteConfiguration &Config,
                        const RouteTable::Change &Change,
                        ConfigVersion PreviousVersion, uint64_t Revision);
  void clearSnapshot();
  void removeMissingUpstreams();
  void endMissingEvacuations();
  /// Whether the key registers the upstream, or did when it was last
  /// registered.
  bool isKeyOf(const std::string &Key, UpstreamId Id);
  bool mayRegister(const KeyedRegistration &Entry);
  void defer(KeyedRegistration Entry);
  /// Takes an upstream out of use whose entry cannot be used.
  void disable(UpstreamId Id, uint64_t Revision);
  void registerUpstream(const KeyedRegistration &Entry);
  /// Registers upstreams whose service the configuration names by now, or whose
  /// key was that of an upstream that has been forgotten since.
  void registerPending();
  void logUnreadable(const std::string &Key, uint64_t Revision,
                     const std::string &Reason);
  void endEvacuation(const std::string &Zone, uint64_t Revision);
  void logUpstream(UpstreamId Id, UpstreamRegistry::Change Change,
                   uint64_t Revision);

  ItemDecoder Decode;
  const Clock &TimeSource;
  EventLog &Log;
  RouteTable &Routes;
  UpstreamRegistry &Upstreams;
  RestorationReview Review;
  /// The update that is being applied.
  Content ContentKind = Content::Changes;
  bool IsFromRestoredStore = false;
  /// Upstreams that are registered in the snapshot that is being read.
  std::vector<UpstreamId> SnapshotUpstreams;
  /// Upstreams that got their key from the snapshot or the changes that are
  /// being read.
  std::set<UpstreamId> NewUpstreams;
  PendingRegistrations Pending;
  /// Zones that are evacuated in the snapshot that is being read.
  std::vector<std::string> SnapshotEvacuations;
};

} // namespace indigopoint
