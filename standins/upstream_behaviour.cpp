#include "upstream_behaviour.h"

#include <cmath>

namespace indigopoint::standin {

Duration drawServiceTime(const UpstreamSettings &Settings, Duration Age,
                         RandomSource &Random) {
  auto Time = static_cast<double>(Settings.ServiceTime.count());
  if (!Settings.FixedServiceTime)
    Time *= -std::log(1.0 - Random.fraction());
  if (Age < Settings.ColdTime)
    Time *= Settings.ColdFactor;
  return Duration(static_cast<int64_t>(Time));
}

} // namespace indigopoint::standin
