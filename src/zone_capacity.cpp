#include "zone_capacity.h"

namespace indigopoint {

namespace {

// A planned reduction counts as the usual size after this time.
constexpr Duration PeakLifetime = std::chrono::minutes(1);

// Services that are remembered; registrations of more are not worth memory.
constexpr size_t MostServices = 1024;

} // namespace

double ZoneCapacity::missingShare(const std::string &Service, double Slots,
                                  TimePoint Now) {
  if (Peaks.size() >= MostServices && Peaks.count(Service) == 0)
    return 0;
  Peak &Most = Peaks[Service];
  if (Slots >= Most.Slots || Now - Most.At > PeakLifetime)
    Most = {Slots, Now};
  return Most.Slots > 0 ? 1 - Slots / Most.Slots : 0;
}

} // namespace indigopoint
