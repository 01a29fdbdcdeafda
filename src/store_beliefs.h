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
struct UpstreamGone {
  UpstreamId Id;
};

/// An item of this kind cannot be used.
struct ItemUnreadable {
  std::string Reason;
  /// Set if the item registers an upstream, which is then not to be used.
  std::optional<UpstreamId> Upstream;
};

/// The item concerns other programs.
struct ItemIgnored {};

using StoreFact = std::variant<ItemIgnored, UpstreamRegistration, UpstreamGone,
                               RouteConfiguration, ItemUnreadable>;

using FactDecoder = std::function<StoreFact(const StoreItem &)>;

/// Turns what the store tells into routes and upstreams, and logs what
/// changes.
class StoreBeliefs {
public:
  StoreBeliefs(FactDecoder Decode, const Clock &Time, EventLog &Log,
               RouteTable &Routes, UpstreamRegistry &Upstreams)
      : Decode(std::move(Decode)), Time(Time), Log(Log), Routes(Routes),
        Upstreams(Upstreams) {}

  void apply(const StoreSync::Update &Update);

private:
  void take(const StoreItem &Item, const UpstreamRegistration &Given);
  void take(const StoreItem &Item, const UpstreamGone &Given);
  void take(const StoreItem &Item, const RouteConfiguration &Given);
  void take(const StoreItem &Item, const ItemUnreadable &Given);
  void removeAbsent();
  void logUpstream(UpstreamId Id, UpstreamRegistry::Change Change,
                   uint64_t Revision);

  FactDecoder Decode;
  const Clock &Time;
  EventLog &Log;
  RouteTable &Routes;
  UpstreamRegistry &Upstreams;
  /// Upstreams that the snapshot in hand registers.
  std::vector<UpstreamId> Present;
};

} // namespace indigopoint
