#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "packet.h"
#include "types.h"

namespace indigopoint {

/// A service that a route sends new flows to, and its share of them.
struct RouteShare {
  std::string Service;
  uint32_t Weight = 1;
  bool operator==(const RouteShare &) const = default;
};

/// Where new flows to one address and port go.
struct Route {
  std::string Name;
  Endpoint Address;
  std::vector<RouteShare> Shares;
  /// Whether requests of its flows may be repeated.
  bool Idempotent = false;
  bool operator==(const Route &) const = default;
};

/// All routes at one version.
struct RouteConfiguration {
  ConfigVersion Version;
  std::vector<Route> Routes;
  /// A flow without packets for this long may be forgotten.
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// The routes in force. Versions only rise.
class RouteTable {
public:
  /// What a version changed, for the log.
  struct Change {
    bool Applied = false;
    size_t Added = 0;
    size_t Removed = 0;
  };

  /// Puts \p Next in force unless a version as high is in force already.
  Change apply(RouteConfiguration Next);

  /// Whether any version is in force.
  bool isLoaded() const { return Loaded; }

  ConfigVersion version() const { return Version; }
  Duration idleTimeout() const { return IdleTimeout; }
  size_t size() const { return Routes.size(); }

  /// Null if there is no such route.
  const Route *find(Endpoint Address) const;

  /// The service for a new flow: a function of the flow and the shares, so
  /// that instances agree. Null if no share has a weight.
  static const RouteShare *chooseShare(const Route &From,
                                       const FlowAddress &Flow);

private:
  struct EndpointHash {
    size_t operator()(const Endpoint &E) const {
      return std::hash<uint64_t>{}((uint64_t{E.Address} << 16) | E.Port);
    }
  };

  bool Loaded = false;
  ConfigVersion Version;
  Duration IdleTimeout = std::chrono::seconds(15);
  std::unordered_map<Endpoint, Route, EndpointHash> Routes;
};

} // namespace indigopoint
