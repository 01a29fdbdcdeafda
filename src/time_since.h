#pragma once

#include <optional>

#include "types.h"

namespace indigopoint {

/// The time since an event; nothing if \p Event has not happened, which the
/// default time stands for.
inline std::optional<Duration> timeSince(TimePoint Event, TimePoint Now) {
  if (Event == TimePoint())
    return std::nullopt;
  return Now - Event;
}

} // namespace indigopoint
