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

// An import is used when ownership follows, in the same or a later batch.
constexpr Duration ImportLifetime = std::chrono::seconds(60);

// A view older than this says nothing about an upstream that is taken over.
constexpr Duration ViewLifetime = std::chrono::seconds(10);

// Closing 2000 connections at once would overrun the upstream's socket.
constexpr int ClosesPerTick = 50;

// Hints lag: one that says Healthy right after a Draining answer is old.
constexpr Duration DrainingTrusted = std::chrono::seconds(10);

// UpstreamCopy::DrainingCode: 0 if it is not leaving, else milliseconds since
// it began plus one, so that DrainGrace goes on at the new owner.
uint32_t drainingCode(const OwnedUpstream &Given, TimePoint Now) {
  if (!Given.DrainingSince)
    return 0;
  const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now - *Given.DrainingSince);
  return static_cast<uint32_t>(
      std::clamp<int64_t>(Ms.count() + 1, 1, UINT32_MAX));
}

} // namespace

OwnedUpstream *OwnedUpstreamManager::ensure(UpstreamId Id) {
  if (Board.CurrentOwnership.ownerOf(Id) != Board.Self.Id)
    return nullptr;
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Id);
  if (Ref.Upstream == nullptr)
    return nullptr;
  if (OwnedUpstream *Known = Owned.find(Id))
    return isCurrent(*Known) ? Known : nullptr;
  return &create(Id, Ref);
}

bool OwnedUpstreamManager::isCurrent(const OwnedUpstream &Given) const {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  return Board.CurrentOwnership.ownerOf(Given.Id) == Board.Self.Id &&
         Ref.Upstream != nullptr && Ref.Service->Id == Given.Service &&
         Ref.Upstream->Address == Given.Address;
}

OwnedUpstream &
OwnedUpstreamManager::create(UpstreamId Id,
                             const ConfigIndex::UpstreamRef &Ref) {
  OwnedUpstream &Given = Owned.Current[Id];
  Given.Id = Id;
  Given.Service = Ref.Service->Id;
  Given.Address = Ref.Upstream->Address;
  Given.Generation = NextGeneration++;
  Given.Metrics = &Board.EngineMetrics
                       .Services[Ref.Service->Tenant + "/" + Ref.Service->Name];
  Arrivals.update(Board.Config, Board.now());
  const TimePoint Since = Arrivals.startTime(Id);
  if (Since != TimePoint())
    Given.Health.startWarmup(Since);
  applyView(Given, *Ref.Service);
  const auto It = Imports.find(Id);
  if (It != Imports.end()) {
    applyImport(Given, It->second);
    Imports.erase(It);
  }
  followConfig(Given);
  return Given;
}

// After a death the last report of the dead owner is all that is known.
void OwnedUpstreamManager::applyView(OwnedUpstream &Given,
                                     const ServiceConfig &Service) {
  const auto It = Board.ReportedLoads.find(Given.Id);
  const TimePoint Now = Board.now();
  if (It == Board.ReportedLoads.end() ||
      Now - It->second.ReportedAt > ViewLifetime)
    return;
  const UpstreamLoad &Load = It->second.Load;
  Given.InheritedFlows = Load.Flows;
  Given.InheritedFlowsUntil = Now + Service.IdleTimeout;
  if (Load.Ejected)
    Given.Health.startProbation(Now);
  else
    Given.Health.resumeWarmup(Load.WeightPercent, Service.Warmup, Now);
  if (Load.Draining)
    Given.recordDraining(It->second.ReportedAt);
}

void OwnedUpstreamManager::applyImport(OwnedUpstream &Given,
                                       const Imported &From) {
  const TimePoint Now = Board.now();
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  Given.InheritedDispatches = From.Copy.InProgress;
  Given.InheritedDispatchesUntil = From.At + InheritedDispatchLifetime;
  Given.InheritedFlows = From.Copy.Flows;
  Given.InheritedFlowsUntil = Now + Ref.Service->IdleTimeout;
  if (From.Copy.DrainingCode == 0)
    return;
  const TimePoint Since =
      From.At - std::chrono::milliseconds(From.Copy.DrainingCode - 1);
  Given.DrainingSince = Since;
  Given.DrainingSeenAt = Since;
}

void OwnedUpstreamManager::followConfig(OwnedUpstream &Given) {
  const bool Draining = Board.Index.upstream(Given.Id).Upstream->Draining;
  if (Draining && !Given.DrainingSince)
    Given.DrainingSince = Board.now();
  if (!Draining && Given.DrainingByConfig &&
      Board.now() - Given.DrainingSeenAt > DrainingTrusted) {
    Given.DrainingSince.reset();
    Given.Health.startWarmup(Board.now());
  }
  Given.DrainingByConfig = Draining;
}

void OwnedUpstreamManager::update(ActionSink &Sink) {
  Arrivals.update(Board.Config, Board.now());
  std::vector<UpstreamId> Lost;
  for (auto &[Id, Given] : Owned.Current) {
    if (isCurrent(Given))
      followConfig(Given);
    else
      Lost.push_back(Id);
  }
  for (UpstreamId Id : Lost)
    drop(Id, Sink);
  for (const auto &[Id, Owner] : Board.CurrentOwnership.owners())
    if (Owner == Board.Self.Id)
      ensure(Id);
}

void OwnedUpstreamManager::exportUpstream(UpstreamId Id,
                                          HandoverBatch &Batch) const {
  const auto It = Owned.Current.find(Id);
  if (It == Owned.Current.end())
    return;
  const OwnedUpstream &Given = It->second;
  Batch.Upstreams.push_back(
      {Id, Given.busy(), Given.flows(), drainingCode(Given, Board.now())});
}

void OwnedUpstreamManager::importBatch(const HandoverBatch &Batch) {
  for (const UpstreamCopy &Copy : Batch.Upstreams) {
    const Imported Entry{Copy, Board.now()};
    OwnedUpstream *Known = Owned.find(Copy.Upstream);
    if (Known != nullptr && isCurrent(*Known))
      applyImport(*Known, Entry);
    else
      Imports[Copy.Upstream] = Entry;
  }
}

void OwnedUpstreamManager::drop(UpstreamId Id, ActionSink &Sink) {
  const auto It = Owned.Current.find(Id);
  if (It == Owned.Current.end())
    return;
  Work.flushQueue(It->second, SubmitStatus::NotOwner, Sink);
  Reports.erase(Id);
  const uint64_t Generation = It->second.Generation;
  Owned.Released.emplace(Generation, std::move(It->second));
  Owned.Current.erase(It);
}

void OwnedUpstreamManager::onPreviousOwner(OwnedUpstream &Given,
                                           const UpstreamLoad &Rest) {
  Given.InheritedDispatches = std::min(Given.InheritedDispatches, Rest.Busy);
}

void OwnedUpstreamManager::closeSome(OwnedUpstream &Given, ActionSink &Sink) {
  for (int Count = 0; Count < ClosesPerTick; ++Count) {
    const std::optional<FlowKey> Flow = Given.Connections.anyFlow();
    if (!Flow)
      return;
    Work.releaseFlow(Given, *Flow, Sink);
  }
}

void OwnedUpstreamManager::onTick(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  for (auto &[Id, Given] : Owned.Current) {
    if (Given.InheritedDispatches > 0 && Now >= Given.InheritedDispatchesUntil)
      Given.InheritedDispatches = 0;
    if (Given.InheritedFlows > 0 && Now >= Given.InheritedFlowsUntil)
      Given.InheritedFlows = 0;
  }
  for (auto It = Owned.Released.begin(); It != Owned.Released.end();) {
    closeSome(It->second, Sink);
    const bool Done =
        It->second.InProgress == 0 && It->second.Connections.size() == 0;
    if (Done)
      Reports.sendRemainingLoad(It->second, Sink);
    It = Done ? Owned.Released.erase(It) : std::next(It);
  }
  for (auto It = Imports.begin(); It != Imports.end();)
    It = Now - It->second.At > ImportLifetime ? Imports.erase(It)
                                              : std::next(It);
}

void OwnedUpstreamManager::reset() {
  Imports.clear();
  for (auto &[Id, Given] : Owned.Current) {
    Given.Queue.popAll();
    Given.InProgress = 0;
    const uint64_t Generation = Given.Generation;
    Owned.Released.emplace(Generation, std::move(Given));
  }
  Owned.Current.clear();
  for (auto &[Generation, Given] : Owned.Released)
    Given.InProgress = 0;
}

} // namespace indigopoint
