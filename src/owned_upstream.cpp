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
  OwnedUpstream *Upstream = find(Id);
  if (Upstream != nullptr && Upstream->Generation == Generation)
    return Upstream;
  const auto It = Released.find(Generation);
  return It == Released.end() ? nullptr : &It->second;
}

// An upstream may have been draining for one interval of the health check plus
// its jitter before this instance notices.
constexpr Duration DrainNoticeDelay = std::chrono::milliseconds(1100);

void OwnedUpstream::recordDraining(TimePoint Now) {
  DrainingSeenAt = Now;
  if (!DrainingSince)
    DrainingSince = Now - DrainNoticeDelay;
}

uint32_t OwnedUpstream::flows() const {
  return static_cast<uint32_t>(Connections.size()) + InheritedFlows;
}

uint32_t dispatchLimit(const OwnedUpstream &Upstream,
                       const ConfigIndex::UpstreamRef &Ref) {
  // One request at a time is enough to detect whether an upstream has
  // recovered.
  if (Upstream.Health.state() == HealthState::Probation)
    return 1;
  if (Ref.Service->Saturation <= 0)
    return std::numeric_limits<uint32_t>::max();
  const double Limit = Ref.Upstream->Slots * Ref.Service->Saturation;
  return std::max(1U, static_cast<uint32_t>(std::floor(Limit)));
}

bool acceptsEstablishedFlows(const OwnedUpstream &Upstream,
                             const ServiceConfig &Service, TimePoint Now) {
  return !Upstream.DrainingSince ||
         Now - *Upstream.DrainingSince < Service.DrainGrace;
}

UpstreamLoad loadOf(const OwnedUpstream &Upstream, const ServiceConfig &Service,
                    TimePoint Now) {
  UpstreamLoad Load;
  Load.Upstream = Upstream.Id;
  Load.Flows = Upstream.flows();
  Load.Busy = Upstream.busy();
  Load.Queued = static_cast<uint32_t>(Upstream.Queue.size());
  Load.RequestRate = static_cast<uint32_t>(
      std::lround(100 * Upstream.RequestRate.perSecond(Now)));
  Load.WeightPercent = static_cast<uint32_t>(
      std::lround(100 * Upstream.Health.weight(Service.Warmup, Now)));
  Load.Ejected = Upstream.Health.state() == HealthState::Ejected;
  Load.Draining = Upstream.isDraining();
  return Load;
}

} // namespace indigopoint
