#include "drain_monitor.h"

namespace indigopoint {

namespace {

// Routers probe instances twice a second and stop sending to an instance that
// failed two probes.
constexpr Duration RouterDetectionTime = std::chrono::milliseconds(1200);

// If no packet arrives for this long, routers have stopped sending. They keep
// sending to draining instances if too many instances of a zone drain at once.
constexpr Duration MinTimeWithoutPackets = std::chrono::milliseconds(200);

// The instance exits this long before the shutdown timeout.
constexpr Duration ShutdownMargin = std::chrono::milliseconds(500);

} // namespace

bool DrainMonitor::hasTrafficStopped(TimePoint LastPacket,
                                     TimePoint Now) const {
  return Now - Start >= RouterDetectionTime &&
         Now - LastPacket >= MinTimeWithoutPackets;
}

bool DrainMonitor::isDrainComplete(TimePoint LastPacket, TimePoint Now) const {
  return hasTrafficStopped(LastPacket, Now) ||
         Now - Start >= ShutdownTimeout - ShutdownMargin;
}

} // namespace indigopoint
