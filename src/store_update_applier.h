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

/// What one item of the store says, once decoded.
struct UpstreamRemoval {
  UpstreamId Id;
};

/// An item of this kind cannot be used.
struct UnreadableItem {
  std::string Reason;
  /// Set if the item registers an upstream, which is then not to be used.
  std::optional<UpstreamId> Upstream;
};

/// The item concerns other programs.
struct IgnoredItem {};

using DecodedItem =
    std::variant<IgnoredItem, UpstreamRegistration, UpstreamRemoval,
                 RouteConfiguration, UnreadableItem>;

using ItemDecoder = std::function<DecodedItem(const StoreItem &)>;

/// Turns what the store tells into routes and upstreams, and logs what
/// changes.
class StoreUpdateApplier {
public:
  StoreUpdateApplier(ItemDecoder Decode, const Clock &TimeSource, EventLog &Log,
                     RouteTable &Routes, UpstreamRegistry &Upstreams)
      : Decode(std::move(Decode)), TimeSource(TimeSource), Log(Log),
        Routes(Routes), Upstreams(Upstreams) {}

  void apply(const StoreSync::Update &Update);

private:
  void take(const StoreItem &Item, const UpstreamRegistration &Given);
  void take(const StoreItem &Item, const UpstreamRemoval &Given);
  void take(const StoreItem &Item, const RouteConfiguration &Given);
  void take(const StoreItem &Item, const UnreadableItem &Given);
  void removeAbsent();
  void logUpstream(UpstreamId Id, UpstreamRegistry::Change Change,
                   uint64_t Revision);

  ItemDecoder Decode;
  const Clock &TimeSource;
  EventLog &Log;
  RouteTable &Routes;
  UpstreamRegistry &Upstreams;
  /// Upstreams that the snapshot in hand registers.
  std::vector<UpstreamId> Present;
};

} // namespace indigopoint
