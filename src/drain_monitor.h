#pragma once

#include "types.h"

namespace indigopoint {

/// Decides when an instance that reports itself as not ready may end: once
/// routers send their packets elsewhere, or when its time is over.
class DrainMonitor {
public:
  /// \p Limit is the time after which the process is ended from outside.
  DrainMonitor(TimePoint Start, Duration Limit) : Start(Start), Limit(Limit) {}

  /// Whether routers have stopped sending, given the last packet's arrival.
  bool hasTrafficStopped(TimePoint LastPacket, TimePoint Now) const;

  bool isDrainComplete(TimePoint LastPacket, TimePoint Now) const;

private:
  TimePoint Start;
  Duration Limit;
};

} // namespace indigopoint
