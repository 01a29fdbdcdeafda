#include "zone_capacity.h"

namespace indigopoint {

namespace {

// After this time without a higher value, a lower number of slots becomes the
// new baseline, since the capacity may have been reduced on purpose.
constexpr Duration PeakLifetime = std::chrono::minutes(1);

// Bounds the memory used; further services are not tracked.
constexpr size_t MaxServices = 1024;

} // namespace

double ZoneCapacity::recordSlotsAndGetMissingShare(const std::string &Service,
                                                   double Slots,
                                                   TimePoint Now) {
  if (Peaks.size() >= MaxServices && Peaks.count(Service) == 0)
    return 0;
  Peak &ServicePeak = Peaks[Service];
  if (Slots >= ServicePeak.Slots || Now - ServicePeak.ReachedAt > PeakLifetime)
    ServicePeak = {Slots, Now};
  return ServicePeak.Slots > 0 ? 1 - Slots / ServicePeak.Slots : 0;
}

} // namespace indigopoint
