#include "ejection_policy.h"

#include <algorithm>
#include <string>

#include "blackboard.h"

namespace indigopoint {

namespace {

// Largest share of a service's upstreams in the region that may be ejected at
// once.
constexpr double MaxEjectedShare = 0.4;

// Health checks lag behind traffic: a Healthy status soon after a Draining
// answer is outdated.
constexpr Duration DrainingHoldTime = std::chrono::seconds(10);

// Without a health endpoint the upstream is tried again after this time. If it
// is still draining, it answers the first request with Draining, and that
// request has not run.
constexpr Duration DrainingTimeout = std::chrono::seconds(60);

std::string nameOf(const ConfigIndex::UpstreamRef &Ref) {
  return Ref.Service->Name + "/" + Ref.Upstream->Name;
}

} // namespace

void EjectionPolicy::onHealthStatus(OwnedUpstream &Upstream,
                                    HealthStatus Status) {
  const TimePoint Now = Board.now();
  if (Status == HealthStatus::Draining) {
    Upstream.recordDraining(Now);
    return;
  }
  Upstream.Health.recordHealthStatus(Status, Now);
  if (Status == HealthStatus::Healthy && Upstream.isDraining() &&
      !Upstream.DrainingByConfig &&
      Now - Upstream.DrainingSeenAt > DrainingHoldTime) {
    Upstream.DrainingSince.reset();
    Upstream.Health.startProbation(Now);
  }
}

EjectionPolicy::EjectionCounts
EjectionPolicy::countEjected(const OwnedUpstream &Upstream) const {
  EjectionCounts Counts;
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  const std::vector<std::string> &Zones = Board.RegionZones;
  for (const UpstreamConfig &Config : Ref.Service->Upstreams) {
    if (std::find(Zones.begin(), Zones.end(), Config.Zone) == Zones.end())
      continue;
    ++Counts.Total;
    if (Config.Id == Upstream.Id)
      continue;
    const OwnedUpstream *OwnedUpstreamState = Upstreams.find(Config.Id);
    const auto ReportedLoad = Board.ReportedLoads.find(Config.Id);
    const bool IsEjected =
        OwnedUpstreamState != nullptr
            ? OwnedUpstreamState->Health.state() == HealthState::Ejected
            : ReportedLoad != Board.ReportedLoads.end() &&
                  ReportedLoad->second.Load.Ejected;
    Counts.OtherEjected += IsEjected ? 1 : 0;
    Counts.EjectedWithLowerId += IsEjected && Config.Id < Upstream.Id ? 1 : 0;
  }
  return Counts;
}

void EjectionPolicy::updateDraining(OwnedUpstream &Upstream) {
  if (Upstream.isDraining() && !Upstream.DrainingByConfig &&
      Board.now() - Upstream.DrainingSeenAt > DrainingTimeout) {
    Upstream.DrainingSince.reset();
    Upstream.Health.startProbation(Board.now());
  }
}

void EjectionPolicy::updateEjection(OwnedUpstream &Upstream, ActionSink &Sink) {
  const TimePoint Now = Board.now();
  Upstream.Health.endExpiredEjection(Now);
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  const bool IsEjected = Upstream.Health.state() == HealthState::Ejected;
  if (!IsEjected && !Upstream.Health.isFailing(Now))
    return;
  const EjectionCounts Counts = countEjected(Upstream);
  const double MaxEjected = MaxEjectedShare * static_cast<double>(Counts.Total);
  if (!IsEjected &&
      static_cast<double>(Counts.OtherEjected + 1) <= MaxEjected) {
    Upstream.Health.eject(Now);
    ++Upstream.Metrics->Ejections;
    Sink.log(LogLevel::Warning, "health", "ejected " + nameOf(Ref));
  }
  // Owner instances that eject at the same moment do not know of each other's
  // ejections. The ejections of the upstreams with the highest ids are ended;
  // every owner instance computes the same set.
  if (IsEjected &&
      static_cast<double>(Counts.EjectedWithLowerId + 1) > MaxEjected)
    Upstream.Health.startProbation(Now);
}

void EjectionPolicy::onTick(ActionSink &Sink) {
  for (auto &[Id, Upstream] : Upstreams.Current) {
    if (Board.Index.upstream(Id).Upstream == nullptr)
      continue;
    updateDraining(Upstream);
    updateEjection(Upstream, Sink);
  }
}

} // namespace indigopoint
