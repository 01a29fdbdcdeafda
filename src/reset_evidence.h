#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "types.h"

namespace indigopoint {

/// Why this instance resets open flows.
enum class ResetCause : uint8_t {
  /// The connections of this instance's check were refused or failed otherwise.
  CheckRefused,
  /// The connections of this instance's check were not established in time.
  CheckTimedOut,
  /// All upstreams of the own zone are silent, and checks of other instances
  /// failed.
  ZoneSilent,
  /// The upstream's registration is missing from the store.
  MissingFromStore,
  /// The upstream is unregistered and its address belongs to another one now.
  AddressReused,
  /// The configuration in force has no route for the flow.
  RouteRemoved
};

constexpr size_t ResetCauseCount = 6;

std::string_view nameOf(ResetCause Value);

/// What the reset of an open flow is based on.
struct ResetEvidence {
  ResetCause Cause = ResetCause::CheckTimedOut;
  /// Time since the cause was found; not known of a removed route.
  std::optional<Duration> Age{};
  /// Time since the upstream's last answer to a client of this instance;
  /// nothing if there was none.
  std::optional<Duration> SinceAnswer{};
};

} // namespace indigopoint
