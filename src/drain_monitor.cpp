#include "drain_monitor.h"

namespace indigopoint {

namespace {

// Routers leave out an instance that has missed two questions, which they ask
// twice a second.
constexpr Duration RotationTime = std::chrono::milliseconds(1200);

// Without packets for this long, routers send elsewhere. They go on sending
// here when too many instances of a zone are leaving at once.
constexpr Duration QuietTime = std::chrono::milliseconds(200);

// Left of the limit when the process ends.
constexpr Duration Margin = std::chrono::milliseconds(500);

} // namespace

bool DrainMonitor::hasTrafficStopped(TimePoint LastPacket,
                                     TimePoint Now) const {
  return Now - Start >= RotationTime && Now - LastPacket >= QuietTime;
}

bool DrainMonitor::isDrainComplete(TimePoint LastPacket, TimePoint Now) const {
  return hasTrafficStopped(LastPacket, Now) || Now - Start >= Limit - Margin;
}

} // namespace indigopoint
