#include "zone_balancer.h"

#include <algorithm>
#include <cmath>

#include "random_source.h"

namespace indigopoint {

namespace {

// Time constant with which shares follow the loads. The loads are up to a
// second old, and a share that follows them at once would jump with each
// report. Four time constants are less than the five seconds for settling.
constexpr double ShareSeconds = 1;

constexpr size_t MaxServices = 64;

// Below this share a flow in a thousand would leave the zone, for no gain.
constexpr double MinShare = 0.001;

} // namespace

// If the zones together lack more slots than others have to spare, each gets
// the part of the spare slots that corresponds to its excess.
std::map<std::string, double>
sharesToOtherZones(const std::string &Zone,
                   const std::vector<ZoneLoad> &Loads) {
  double OwnDemand = 0;
  double OwnExcess = 0;
  double Excess = 0;
  double Spare = 0;
  for (const ZoneLoad &Load : Loads) {
    const double Difference = Load.Demand - Load.Capacity;
    (Difference > 0 ? Excess : Spare) += std::abs(Difference);
    if (Load.Zone == Zone && Difference > 0) {
      OwnDemand = Load.Demand;
      OwnExcess = Difference;
    }
  }
  std::map<std::string, double> Out;
  if (OwnExcess <= 0 || Spare <= 0)
    return Out;
  const double Sent = OwnExcess * std::min(1.0, Spare / Excess);
  for (const ZoneLoad &Load : Loads)
    if (Load.Capacity > Load.Demand)
      Out[Load.Zone] = Sent / OwnDemand * (Load.Capacity - Load.Demand) / Spare;
  return Out;
}

void ZoneBalancer::update(const std::string &Service,
                          const std::vector<ZoneLoad> &Loads, TimePoint Now) {
  if (Services.size() >= MaxServices && !Services.contains(Service))
    return;
  State &Current = Services[Service];
  const std::map<std::string, double> Wanted = sharesToOtherZones(Zone, Loads);
  const double Seconds =
      std::chrono::duration<double>(Now - Current.UpdatedAt).count();
  const double Weight = 1 - std::exp(-Seconds / ShareSeconds);
  Current.UpdatedAt = Now;
  for (const auto &[OtherZone, Share] : Wanted)
    Current.Shares.try_emplace(OtherZone, 0);
  for (auto &[OtherZone, Share] : Current.Shares) {
    const auto It = Wanted.find(OtherZone);
    const double Target = It == Wanted.end() ? 0 : It->second;
    Share += (Target - Share) * Weight;
  }
  std::erase_if(Current.Shares, [&Wanted](const auto &Entry) {
    return Entry.second < MinShare && !Wanted.contains(Entry.first);
  });
}

double ZoneBalancer::shareTo(const std::string &Service,
                             const std::string &OtherZone) const {
  const auto It = Services.find(Service);
  if (It == Services.end())
    return 0;
  const auto Share = It->second.Shares.find(OtherZone);
  return Share == It->second.Shares.end() ? 0 : Share->second;
}

const std::string &ZoneBalancer::zoneOf(const std::string &Service,
                                        uint64_t Hash) const {
  const auto It = Services.find(Service);
  if (It == Services.end())
    return Zone;
  double Remaining = fractionOf(Hash);
  for (const auto &[OtherZone, Share] : It->second.Shares) {
    if (Remaining < Share)
      return OtherZone;
    Remaining -= Share;
  }
  return Zone;
}

} // namespace indigopoint
