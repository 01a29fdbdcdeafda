#include "owned_upstream_manager.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "blackboard.h"

namespace indigopoint {

namespace {

// No dispatch of a previous owner lasts longer than MaxRequestLifetime.
constexpr Duration InheritedDispatchLifetime = std::chrono::seconds(30);

// An import waits until this instance owns the upstream, which the same or a
// later batch brings.
constexpr Duration ImportLifetime = std::chrono::seconds(60);

// An older load report is not used for an upstream that is taken over.
constexpr Duration ReportLifetime = std::chrono::seconds(10);

// Closing 2000 connections at once would overrun the upstream's socket.
constexpr int ClosesPerTick = 50;

// Health results lag: one that reports Healthy within this time after a
// Draining answer may be outdated.
constexpr Duration DrainingHoldTime = std::chrono::seconds(10);

// The value of UpstreamCopy::DrainingCode: 0 if the upstream is not draining,
// else milliseconds since the drain began plus 1, so that DrainGrace continues
// at the new owner.
uint32_t drainingCode(const OwnedUpstream &Upstream, TimePoint Now) {
  if (!Upstream.DrainingSince)
    return 0;
  const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now - *Upstream.DrainingSince);
  return static_cast<uint32_t>(
      std::clamp<int64_t>(Ms.count() + 1, 1, UINT32_MAX));
}

} // namespace

OwnedUpstream *OwnedUpstreamManager::findOrCreate(UpstreamId Id) {
  if (Board.CurrentOwnership.ownerOf(Id) != Board.Self.Id)
    return nullptr;
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Id);
  if (Ref.Upstream == nullptr)
    return nullptr;
  if (OwnedUpstream *Existing = Owned.find(Id))
    return isCurrent(*Existing) ? Existing : nullptr;
  return &create(Id, Ref);
}

bool OwnedUpstreamManager::isCurrent(const OwnedUpstream &Upstream) const {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  return Board.CurrentOwnership.ownerOf(Upstream.Id) == Board.Self.Id &&
         Ref.Upstream != nullptr && Ref.Service->Id == Upstream.Service &&
         Ref.Upstream->Address == Upstream.Address;
}

OwnedUpstream &
OwnedUpstreamManager::create(UpstreamId Id,
                             const ConfigIndex::UpstreamRef &Ref) {
  OwnedUpstream &Upstream = Owned.Current[Id];
  Upstream.Id = Id;
  Upstream.Service = Ref.Service->Id;
  Upstream.Address = Ref.Upstream->Address;
  Upstream.Generation = NextGeneration++;
  Upstream.Metrics =
      &Board.EngineMetrics
           .Services[Ref.Service->Tenant + "/" + Ref.Service->Name];
  StartTimes.update(Board.Config, Board.now());
  const TimePoint StartTime = StartTimes.startTime(Id);
  if (StartTime != TimePoint())
    Upstream.Health.startWarmup(StartTime);
  applyLastReport(Upstream, *Ref.Service);
  const auto It = Imports.find(Id);
  if (It != Imports.end()) {
    applyImport(Upstream, It->second);
    Imports.erase(It);
  }
  applyConfig(Upstream);
  return Upstream;
}

// After the death of an owner, its last load report is the only information
// about the upstream.
void OwnedUpstreamManager::applyLastReport(OwnedUpstream &Upstream,
                                           const ServiceConfig &Service) {
  const auto It = Board.ReportedLoads.find(Upstream.Id);
  const TimePoint Now = Board.now();
  if (It == Board.ReportedLoads.end() ||
      Now - It->second.ReportedAt > ReportLifetime)
    return;
  const UpstreamLoad &Load = It->second.Load;
  Upstream.InheritedFlows = Load.Flows;
  Upstream.InheritedFlowsUntil = Now + Service.IdleTimeout;
  if (Load.Ejected)
    Upstream.Health.startProbation(Now);
  else
    Upstream.Health.resumeWarmup(Load.WeightPercent, Service.Warmup, Now);
  if (Load.Draining)
    Upstream.recordDraining(It->second.ReportedAt);
}

void OwnedUpstreamManager::applyImport(OwnedUpstream &Upstream,
                                       const UpstreamImport &Import) {
  const TimePoint Now = Board.now();
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  Upstream.InheritedDispatches = Import.Copy.InProgress;
  Upstream.InheritedDispatchesUntil =
      Import.ImportedAt + InheritedDispatchLifetime;
  Upstream.InheritedFlows = Import.Copy.Flows;
  Upstream.InheritedFlowsUntil = Now + Ref.Service->IdleTimeout;
  if (Import.Copy.DrainingCode == 0)
    return;
  const TimePoint DrainStart =
      Import.ImportedAt -
      std::chrono::milliseconds(Import.Copy.DrainingCode - 1);
  Upstream.DrainingSince = DrainStart;
  Upstream.DrainingSeenAt = DrainStart;
}

void OwnedUpstreamManager::applyConfig(OwnedUpstream &Upstream) {
  const bool Draining = Board.Index.upstream(Upstream.Id).Upstream->Draining;
  if (Draining && !Upstream.DrainingSince)
    Upstream.DrainingSince = Board.now();
  if (!Draining && Upstream.DrainingByConfig &&
      Board.now() - Upstream.DrainingSeenAt > DrainingHoldTime) {
    Upstream.DrainingSince.reset();
    Upstream.Health.startWarmup(Board.now());
  }
  Upstream.DrainingByConfig = Draining;
}

void OwnedUpstreamManager::update(ActionSink &Sink) {
  StartTimes.update(Board.Config, Board.now());
  std::vector<UpstreamId> NoLongerOwned;
  for (auto &[Id, Upstream] : Owned.Current) {
    if (isCurrent(Upstream))
      applyConfig(Upstream);
    else
      NoLongerOwned.push_back(Id);
  }
  for (UpstreamId Id : NoLongerOwned)
    drop(Id, Sink);
  for (const auto &[Id, Owner] : Board.CurrentOwnership.owners())
    if (Owner == Board.Self.Id)
      findOrCreate(Id);
}

void OwnedUpstreamManager::exportUpstream(UpstreamId Id,
                                          HandoverBatch &Batch) const {
  const auto It = Owned.Current.find(Id);
  if (It == Owned.Current.end())
    return;
  const OwnedUpstream &Upstream = It->second;
  Batch.Upstreams.push_back({Id, Upstream.busy(), Upstream.flows(),
                             drainingCode(Upstream, Board.now())});
}

void OwnedUpstreamManager::importBatch(const HandoverBatch &Batch) {
  for (const UpstreamCopy &Copy : Batch.Upstreams) {
    const UpstreamImport Entry{Copy, Board.now()};
    OwnedUpstream *Existing = Owned.find(Copy.Upstream);
    if (Existing != nullptr && isCurrent(*Existing))
      applyImport(*Existing, Entry);
    else
      Imports[Copy.Upstream] = Entry;
  }
}

void OwnedUpstreamManager::drop(UpstreamId Id, ActionSink &Sink) {
  const auto It = Owned.Current.find(Id);
  if (It == Owned.Current.end())
    return;
  RequestDispatcher.flushQueue(It->second, SubmitStatus::NotOwner, Sink);
  Reports.erase(Id);
  const uint64_t Generation = It->second.Generation;
  Owned.Released.emplace(Generation, std::move(It->second));
  Owned.Current.erase(It);
}

void OwnedUpstreamManager::onPreviousOwnerLoad(
    OwnedUpstream &Upstream, const UpstreamLoad &RemainingLoad) {
  Upstream.InheritedDispatches =
      std::min(Upstream.InheritedDispatches, RemainingLoad.Busy);
}

void OwnedUpstreamManager::closeConnections(OwnedUpstream &Upstream,
                                            ActionSink &Sink) {
  for (int Count = 0; Count < ClosesPerTick; ++Count) {
    const std::optional<FlowKey> Flow = Upstream.Connections.anyFlow();
    if (!Flow)
      return;
    RequestDispatcher.releaseFlow(Upstream, *Flow, Sink);
  }
}

void OwnedUpstreamManager::onTick(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  for (auto &[Id, Upstream] : Owned.Current) {
    if (Upstream.InheritedDispatches > 0 &&
        Now >= Upstream.InheritedDispatchesUntil)
      Upstream.InheritedDispatches = 0;
    if (Upstream.InheritedFlows > 0 && Now >= Upstream.InheritedFlowsUntil)
      Upstream.InheritedFlows = 0;
  }
  for (auto It = Owned.Released.begin(); It != Owned.Released.end();) {
    closeConnections(It->second, Sink);
    const bool Done =
        It->second.InProgress == 0 && It->second.Connections.size() == 0;
    if (Done)
      Reports.sendRemainingLoad(It->second, Sink);
    It = Done ? Owned.Released.erase(It) : std::next(It);
  }
  for (auto It = Imports.begin(); It != Imports.end();)
    It = Now - It->second.ImportedAt > ImportLifetime ? Imports.erase(It)
                                                      : std::next(It);
}

void OwnedUpstreamManager::reset() {
  Imports.clear();
  for (auto &[Id, Upstream] : Owned.Current) {
    Upstream.Queue.popAll();
    Upstream.InProgress = 0;
    const uint64_t Generation = Upstream.Generation;
    Owned.Released.emplace(Generation, std::move(Upstream));
  }
  Owned.Current.clear();
  for (auto &[Generation, Upstream] : Owned.Released)
    Upstream.InProgress = 0;
}

} // namespace indigopoint
