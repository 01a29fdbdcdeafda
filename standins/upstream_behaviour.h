#pragma once

#include <optional>
#include <string>

#include "random_source.h"
#include "types.h"

namespace indigopoint::standin {

/// The identity, capacity and service times of an upstream.
struct UpstreamSettings {
  std::string Name;
  ServiceId Service;
  uint32_t Slots = 2;
  /// Requests that wait for a slot before more are shed.
  uint32_t Backlog = 0;
  uint32_t Connections = 2000;
  Duration ServiceTime = std::chrono::milliseconds(10);
  bool FixedServiceTime = false;
  /// Factor of the service time while the upstream is cold.
  double ColdFactor = 1;
  Duration ColdTime{};
  /// How long a draining upstream still runs requests of known connections.
  Duration DrainGrace = std::chrono::seconds(3);
};

/// The behaviour that was set through the control endpoint.
struct UpstreamBehaviour {
  std::optional<TimePoint> DrainingSince;
  /// The status to report instead of the true one; empty for the true one.
  std::string FalseHealthStatus;
  Duration HealthLag{};
  uint32_t ShedPercent = 0;
};

/// Draws the service time of one request that starts \p Age after the
/// upstream started.
Duration drawServiceTime(const UpstreamSettings &Settings, Duration Age,
                         RandomSource &Random);

} // namespace indigopoint::standin
