#pragma once

#include "types.h"

namespace indigopoint {

/// Events per second, averaged with exponential decay over half a minute.
class RateMeter {
public:
  void record(TimePoint Now);

  /// The rate; 0 until MinMeasuredSeconds have passed since the first event.
  double perSecond(TimePoint Now) const;

private:
  TimePoint FirstEventAt{};
  TimePoint LastEventAt{};
  double DecayedCount = 0;
};

} // namespace indigopoint
