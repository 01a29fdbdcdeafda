#include "owned_upstream.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace indigopoint {

OwnedUpstream *OwnedUpstreams::find(UpstreamId Id) {
  const auto It = Current.find(Id);
  return It == Current.end() ? nullptr : &It->second;
}

OwnedUpstream *OwnedUpstreams::find(UpstreamId Id, uint64_t Generation) {
  OwnedUpstream *Now = find(Id);
  if (Now != nullptr && Now->Generation == Generation)
    return Now;
  const auto It = Released.find(Generation);
  return It == Released.end() ? nullptr : &It->second;
}

// An upstream may have been draining for one period of the health poll, and its
// jitter, before this instance notices.
constexpr Duration DrainNoticeDelay = std::chrono::milliseconds(1100);

void OwnedUpstream::recordDraining(TimePoint Now) {
  DrainingSeenAt = Now;
  if (!DrainingSince)
    DrainingSince = Now - DrainNoticeDelay;
}

uint32_t OwnedUpstream::flows() const {
  return static_cast<uint32_t>(Connections.size()) + InheritedFlows;
}

uint32_t dispatchLimit(const OwnedUpstream &Owned,
                       const ConfigIndex::UpstreamRef &Ref) {
  // One request at a time is enough to see whether an upstream is back.
  if (Owned.Health.state() == HealthState::Probation)
    return 1;
  if (Ref.Service->Saturation <= 0)
    return std::numeric_limits<uint32_t>::max();
  const double Limit = Ref.Upstream->Slots * Ref.Service->Saturation;
  return std::max(1U, static_cast<uint32_t>(std::floor(Limit)));
}

bool acceptsEstablished(const OwnedUpstream &Owned,
                        const ServiceConfig &Service, TimePoint Now) {
  return !Owned.DrainingSince ||
         Now - *Owned.DrainingSince < Service.DrainGrace;
}

UpstreamLoad loadOf(const OwnedUpstream &Owned, const ServiceConfig &Service,
                    TimePoint Now) {
  UpstreamLoad Load;
  Load.Upstream = Owned.Id;
  Load.Flows = Owned.flows();
  Load.Busy = Owned.busy();
  Load.Queued = static_cast<uint32_t>(Owned.Queue.size());
  Load.RequestRate =
      static_cast<uint32_t>(std::lround(100 * Owned.Requests.perSecond(Now)));
  Load.WeightPercent = static_cast<uint32_t>(
      std::lround(100 * Owned.Health.weight(Service.Warmup, Now)));
  Load.Ejected = Owned.Health.state() == HealthState::Ejected;
  Load.Draining = Owned.isDraining();
  return Load;
}

} // namespace indigopoint
