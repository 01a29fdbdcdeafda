#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "clock.h"
#include "event_log.h"
#include "route_table.h"
#include "store_sync.h"
#include "upstream_registry.h"

namespace indigopoint {

/// An item that removes an upstream.
struct UpstreamRemoval {
  UpstreamId Id;
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
                 RouteConfiguration, UnreadableItem>;

using ItemDecoder = std::function<DecodedItem(const StoreItem &)>;

/// Applies updates of the store to the routes and upstreams and logs the
/// changes.
class StoreUpdateApplier {
public:
  StoreUpdateApplier(ItemDecoder Decode, const Clock &TimeSource, EventLog &Log,
                     RouteTable &Routes, UpstreamRegistry &Upstreams)
      : Decode(std::move(Decode)), TimeSource(TimeSource), Log(Log),
        Routes(Routes), Upstreams(Upstreams) {}

  void apply(const StoreSync::Update &Update);

private:
  void applyItem(const StoreItem &Item,
                 const UpstreamRegistration &Registration);
  void applyItem(const StoreItem &Item, const UpstreamRemoval &Removal);
  void applyItem(const StoreItem &Item, const RouteConfiguration &Config);
  void applyItem(const StoreItem &Item, const UnreadableItem &Unreadable);
  void removeMissingUpstreams();
  void logUpstream(UpstreamId Id, UpstreamRegistry::Change Change,
                   uint64_t Revision);

  ItemDecoder Decode;
  const Clock &TimeSource;
  EventLog &Log;
  RouteTable &Routes;
  UpstreamRegistry &Upstreams;
  /// Upstreams that are registered in the snapshot that is being read.
  std::vector<UpstreamId> SnapshotUpstreams;
};

} // namespace indigopoint
