#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "types.h"

namespace indigopoint {

struct UpstreamConfig {
  UpstreamId Id;
  std::string Name;
  std::string Zone;
  /// The address that receives datagrams.
  Endpoint Address;
  /// The address of the health and load endpoints; port 0 if there are none.
  Endpoint Admin;
  /// Maximum number of concurrent requests; the stored key is "slots".
  uint32_t Slots = 2;
  /// Maximum number of concurrent flows; the stored key is "connections".
  uint32_t Connections = 2000;
  /// Set by operators to drain the upstream before its removal.
  bool Draining = false;
  bool operator==(const UpstreamConfig &) const = default;
};

struct ServiceConfig {
  ServiceId Id;
  std::string Name;
  std::string Tenant;
  /// The priority of the requests; the stored key is "class".
  Priority Class = Priority::Interactive;
  /// Maximum number of requests in progress per slot (see
  /// UpstreamConfig::Slots) before further requests are queued; 0 means no
  /// limit.
  double Saturation = 1.0;
  /// Maximum number of queued requests per upstream; more are rejected.
  uint32_t QueueLimit = 64;
  /// How long a newly started upstream gets less than its full share of
  /// requests.
  Duration Warmup = std::chrono::seconds(10);
  /// How long requests of established flows are still sent to a draining
  /// upstream. New requests must stop within 3 s, and a change may take up to
  /// 1 s to arrive.
  Duration DrainGrace = std::chrono::seconds(2);
  /// A flow is closed after this time without packets.
  Duration IdleTimeout = std::chrono::minutes(10);
  std::vector<UpstreamConfig> Upstreams;
  bool operator==(const ServiceConfig &) const = default;
};

struct ZoneConfig {
  std::string Name;
  std::string Region;
  bool operator==(const ZoneConfig &) const = default;
};

/// The zones and services of one version.
struct Configuration {
  ConfigVersion Version;
  std::vector<ZoneConfig> Zones;
  std::map<ServiceId, ServiceConfig> Services;
  bool operator==(const Configuration &) const = default;
};

/// One accepted change. Version N contains the differences from version N - 1.
struct ConfigChange {
  ConfigVersion Version;
  std::string ChangeId;
  std::string Author;
  /// All zones, if they changed.
  std::optional<std::vector<ZoneConfig>> Zones;
  std::vector<ServiceConfig> ChangedServices;
  std::vector<ServiceId> RemovedServices;
  /// Number of further store keys that hold the rest of \c ChangedServices; 0
  /// if the change is complete.
  uint32_t Parts = 0;
  bool operator==(const ConfigChange &) const = default;
};

/// Applies \p Change to \p Config. Returns false and leaves \p Config unchanged
/// unless the change is the next version.
bool applyChange(const ConfigChange &Change, Configuration &Config);

/// Finds the upstreams of a configuration and their services by upstream id.
class ConfigIndex {
public:
  ConfigIndex() = default;
  explicit ConfigIndex(const Configuration &Config);

  struct UpstreamRef {
    const ServiceConfig *Service = nullptr;
    const UpstreamConfig *Upstream = nullptr;
  };

  /// Returns null pointers if there is no such upstream.
  UpstreamRef upstream(UpstreamId Id) const;

private:
  std::unordered_map<UpstreamId, UpstreamRef> Upstreams;
};

} // namespace indigopoint
