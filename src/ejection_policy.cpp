#include "ejection_policy.h"

#include <algorithm>
#include <string>

#include "blackboard.h"

namespace indigopoint {

namespace {

// Of the upstreams of a service in the region.
constexpr double MaxEjectedShare = 0.4;

// Hints lag: one that says Healthy soon after a Draining answer is old.
constexpr Duration DrainingTrusted = std::chrono::seconds(10);

// Without a health endpoint the upstream is tried again after this time. If it
// still drains, it says so to the first request, which has not run then.
constexpr Duration DrainingForgotten = std::chrono::seconds(60);

std::string nameOf(const ConfigIndex::UpstreamRef &Ref) {
  return Ref.Service->Name + "/" + Ref.Upstream->Name;
}

} // namespace

void EjectionPolicy::onHealthStatus(OwnedUpstream &Given, HealthStatus Hint) {
  const TimePoint Now = Board.now();
  if (Hint == HealthStatus::Draining) {
    Given.recordDraining(Now);
    return;
  }
  Given.Health.recordHealthStatus(Hint, Now);
  if (Hint == HealthStatus::Healthy && Given.isDraining() &&
      !Given.DrainingByConfig && Now - Given.DrainingSeenAt > DrainingTrusted) {
    Given.DrainingSince.reset();
    Given.Health.startProbation(Now);
  }
}

EjectionPolicy::Ejected
EjectionPolicy::countEjected(const OwnedUpstream &Given) const {
  Ejected Count;
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  const std::vector<std::string> &Zones = Board.RegionZones;
  for (const UpstreamConfig &Upstream : Ref.Service->Upstreams) {
    if (std::find(Zones.begin(), Zones.end(), Upstream.Zone) == Zones.end())
      continue;
    ++Count.Total;
    if (Upstream.Id == Given.Id)
      continue;
    const OwnedUpstream *Own = Owned.find(Upstream.Id);
    const auto View = Board.ReportedLoads.find(Upstream.Id);
    const bool IsEjected =
        Own != nullptr
            ? Own->Health.state() == HealthState::Ejected
            : View != Board.ReportedLoads.end() && View->second.Load.Ejected;
    Count.Others += IsEjected ? 1 : 0;
    Count.Before += IsEjected && Upstream.Id < Given.Id ? 1 : 0;
  }
  return Count;
}

void EjectionPolicy::updateLeaving(OwnedUpstream &Given) {
  if (Given.isDraining() && !Given.DrainingByConfig &&
      Board.now() - Given.DrainingSeenAt > DrainingForgotten) {
    Given.DrainingSince.reset();
    Given.Health.startProbation(Board.now());
  }
}

void EjectionPolicy::updateEjection(OwnedUpstream &Given, ActionSink &Sink) {
  const TimePoint Now = Board.now();
  Given.Health.update(Now);
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  const bool IsEjected = Given.Health.state() == HealthState::Ejected;
  if (!IsEjected && !Given.Health.isFailing(Now))
    return;
  const Ejected Count = countEjected(Given);
  const double Allowed = MaxEjectedShare * static_cast<double>(Count.Total);
  if (!IsEjected && static_cast<double>(Count.Others + 1) <= Allowed) {
    Given.Health.eject(Now);
    ++Given.Metrics->Ejections;
    Sink.log(LogLevel::Warning, "health", "ejected " + nameOf(Ref));
  }
  // Owners that eject at the same moment do not know of each other. Those with
  // the highest ids take theirs back, which all of them find alike.
  if (IsEjected && static_cast<double>(Count.Before + 1) > Allowed)
    Given.Health.startProbation(Now);
}

void EjectionPolicy::onTick(ActionSink &Sink) {
  for (auto &[Id, Given] : Owned.Current) {
    if (Board.Index.upstream(Id).Upstream == nullptr)
      continue;
    updateLeaving(Given);
    updateEjection(Given, Sink);
  }
}

} // namespace indigopoint
