#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "packet.h"
#include "types.h"

namespace indigopoint {

/// A service that a route sends new flows to, and its weight. The service's
/// share of the flows is its weight divided by the sum of the route's weights.
struct RouteShare {
  std::string Service;
  uint32_t Weight = 1;
  bool operator==(const RouteShare &) const = default;
};

/// The services that new flows to one address and port are sent to.
struct Route {
  std::string Name;
  Endpoint Address;
  std::vector<RouteShare> Shares;
  /// Whether requests of this route's flows may be executed more than once.
  bool Idempotent = false;
  /// The time within which callers want the answer; 0 if not configured.
  Duration Aim{};
  /// The time after which an answer is worth nothing; 0 if not configured.
  Duration TimeLimit{};
  bool operator==(const Route &) const = default;
};

/// What the configuration says of one service.
struct ServiceSettings {
  /// How long an upstream is cold after its start.
  Duration WarmupTime{};
  /// The requests per second that a cold upstream bears; 0 for no limit.
  double WarmupRate = 0;
  bool operator==(const ServiceSettings &) const = default;
};

/// All routes of one configuration version.
struct RouteConfiguration {
  ConfigVersion Version;
  std::vector<Route> Routes;
  /// Flows without packets for this long may be removed.
  Duration IdleTimeout = std::chrono::seconds(15);
  std::map<std::string, ServiceSettings> Services{};
};

/// The current routes. apply() never decreases the version.
class RouteTable {
public:
  /// What a new version changed, for the log.
  struct Change {
    bool Applied = false;
    size_t Added = 0;
    size_t Removed = 0;
  };

  /// Replaces the current routes if the version of \p NewConfiguration is
  /// higher than the current one.
  Change apply(RouteConfiguration NewConfiguration);

  /// Replaces the current routes whatever the version.
  Change replace(RouteConfiguration NewConfiguration);

  /// Whether \p Configuration has the routes and limits in force.
  bool hasSameContent(const RouteConfiguration &Configuration) const;

  /// Whether a configuration has been applied since the start.
  bool isLoaded() const { return HasConfiguration; }

  ConfigVersion version() const { return Version; }
  Duration idleTimeout() const { return IdleTimeout; }
  size_t size() const { return Routes.size(); }

  /// The route for an address and port; null if there is none.
  const Route *find(Endpoint Address) const;

  /// Whether the configuration names a service, in a route or in a list of its
  /// own.
  bool namesService(const std::string &Name) const {
    return NamedServices.count(Name) != 0;
  }

  /// The settings of a service; the defaults if the configuration does not name
  /// it.
  const ServiceSettings &service(const std::string &Name) const;

  /// Chooses the service of a new flow by the weights of the shares. The result
  /// depends on the flow and the shares only, so all instances choose the same
  /// service. Null if all weights are 0.
  static const RouteShare *chooseShare(const Route &MatchedRoute,
                                       const FlowAddress &Flow);

private:
  struct EndpointHash {
    size_t operator()(const Endpoint &E) const {
      return std::hash<uint64_t>{}((uint64_t{E.Address} << 16) | E.Port);
    }
  };

  bool HasConfiguration = false;
  ConfigVersion Version;
  Duration IdleTimeout = std::chrono::seconds(15);
  std::unordered_map<Endpoint, Route, EndpointHash> Routes;
  std::map<std::string, ServiceSettings> Services;
  std::set<std::string> NamedServices;
};

} // namespace indigopoint
