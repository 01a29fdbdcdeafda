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
  /// Where datagrams go.
  Endpoint Address;
  /// Where the health and load endpoints listen; port 0 if there are none.
  Endpoint Admin;
  /// Requests the upstream runs at a time.
  uint32_t Slots = 2;
  /// Flows the upstream holds at a time.
  uint32_t Connections = 2000;
  /// The operators want it to leave.
  bool Draining = false;
  bool operator==(const UpstreamConfig &) const = default;
};

struct ServiceConfig {
  ServiceId Id;
  std::string Name;
  std::string Tenant;
  Priority Class = Priority::Interactive;
  /// Dispatches in progress per slot before work is queued; 0 is unbounded.
  double Saturation = 1.0;
  /// Requests queued per upstream before more are refused.
  uint32_t QueueLimit = 64;
  /// How long an upstream that came up gets less than its full share.
  Duration Warmup = std::chrono::seconds(10);
  /// How long requests of established flows still go to a leaving upstream.
  /// New work has to end within 3 s, and a change may take up to 1 s to arrive.
  Duration DrainGrace = std::chrono::seconds(2);
  /// A flow without packets for this long is closed.
  Duration IdleTimeout = std::chrono::minutes(10);
  std::vector<UpstreamConfig> Upstreams;
  bool operator==(const ServiceConfig &) const = default;
};

struct ZoneConfig {
  std::string Name;
  std::string Region;
  bool operator==(const ZoneConfig &) const = default;
};

/// The zones and services in force at one version.
struct Configuration {
  ConfigVersion Version;
  std::vector<ZoneConfig> Zones;
  std::map<ServiceId, ServiceConfig> Services;
  bool operator==(const Configuration &) const = default;
};

/// One accepted change: version N holds what differs from version N - 1.
struct ConfigChange {
  ConfigVersion Version;
  std::string ChangeId;
  std::string Author;
  /// All zones, if they changed.
  std::optional<std::vector<ZoneConfig>> Zones;
  std::vector<ServiceConfig> ChangedServices;
  std::vector<ServiceId> RemovedServices;
  /// Keys of the store that hold more of \c Replaced; 0 once it is whole.
  uint32_t Parts = 0;
  bool operator==(const ConfigChange &) const = default;
};

/// Applies \p Change to \p Config. Returns false and leaves \p Config as it is
/// unless the change is the next version.
bool applyChange(const ConfigChange &Change, Configuration &Config);

/// Finds services and upstreams of a configuration by id.
class ConfigIndex {
public:
  ConfigIndex() = default;
  explicit ConfigIndex(const Configuration &Config);

  struct UpstreamRef {
    const ServiceConfig *Service = nullptr;
    const UpstreamConfig *Upstream = nullptr;
  };

  /// Null pointers if there is no such upstream.
  UpstreamRef upstream(UpstreamId Id) const;

private:
  std::unordered_map<UpstreamId, UpstreamRef> Upstreams;
};

} // namespace indigopoint
