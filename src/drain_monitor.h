#pragma once

#include "types.h"

namespace indigopoint {

/// Decides when a draining instance, which already reports itself as not ready,
/// may exit: when routers have stopped sending packets to it, or shortly before
/// the shutdown timeout.
class DrainMonitor {
public:
  /// \p ShutdownTimeout is the time after \p Start at which the process manager
  /// kills the process.
  DrainMonitor(TimePoint Start, Duration ShutdownTimeout)
      : Start(Start), ShutdownTimeout(ShutdownTimeout) {}

  /// Whether routers have stopped sending. \p LastPacket is the arrival time of
  /// the last packet.
  bool hasTrafficStopped(TimePoint LastPacket, TimePoint Now) const;

  bool isDrainComplete(TimePoint LastPacket, TimePoint Now) const;

private:
  TimePoint Start;
  Duration ShutdownTimeout;
};

} // namespace indigopoint
