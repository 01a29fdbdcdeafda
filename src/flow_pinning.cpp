#include "flow_pinning.h"

#include <algorithm>

#include "blackboard.h"
#include "peer_link.h"

namespace indigopoint {

namespace {

constexpr Duration RefreshInterval = std::chrono::milliseconds(100);
// Limits the log to one line for all flows of a lost upstream.
constexpr Duration LossLogInterval = std::chrono::seconds(10);
constexpr Duration RestoreInterval = std::chrono::seconds(1);

// Every flow is reviewed once in 1000 ticks (10 s).
constexpr double TicksPerFullReview = 1000;

// After a change of the configuration or the members, 500,000 flows are
// reviewed within 125 ticks.
constexpr size_t FastReviewsPerTick = 4000;

} // namespace

FlowPinning::FlowPinning(Blackboard &GivenBoard, PeerLink &GivenPeers,
                         RequestTable &GivenRequests,
                         ServiceMetricsCache &GivenMetricsCache)
    : Board(GivenBoard), Peers(GivenPeers), Requests(GivenRequests),
      MetricsCache(GivenMetricsCache), Selector(GivenBoard),
      Replicator(GivenBoard, GivenPeers, Flows) {}

OpenFlow *FlowPinning::prepareForRequest(FlowKey Key,
                                         const ServiceConfig &Service,
                                         ActionSink &Sink) {
  OpenFlow *Flow = findOrRestore(Key, Service.Id);
  if (Flow == nullptr) {
    const UpstreamConfig *NewUpstream = Selector.choose(Key, Service);
    if (NewUpstream == nullptr)
      return nullptr;
    Flow = &Flows.insert(Key, Service.Id);
    ++MetricsCache.metricsOf(Service.Id).FlowsOpened;
    pin(*Flow, NewUpstream->Id, Service, Sink);
  } else if (needsMove(*Flow, Service)) {
    const UpstreamId OldUpstream = Flow->Upstream;
    // The flow must leave its upstream, so the request cannot be served if
    // there is no other upstream. (needsMove() is false for a flow on an
    // ejected upstream without alternative, and for an established flow on a
    // draining upstream during the grace.)
    if (repin(Key, Service, OldUpstream, Sink) == UpstreamId())
      return nullptr;
  }
  Flow->LastUsed = nowInSeconds();
  Flow->Closing = false;
  return Flow;
}

bool FlowPinning::needsMove(const OpenFlow &Flow,
                            const ServiceConfig &Service) const {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Flow.Upstream);
  if (Ref.Upstream == nullptr || Ref.Service->Id != Service.Id)
    return true;
  if (Selector.isEjected(Flow.Upstream))
    return Selector.choose(Flow.Flow, Service, Flow.Upstream) != nullptr;
  if (!Selector.isDraining(Flow.Upstream))
    return false;
  return !Flow.Established ||
         Selector.isDrainGraceOver(Flow.Upstream, Service.DrainGrace);
}

void FlowPinning::markEstablished(FlowKey Key, ServiceId Service,
                                  UpstreamId Upstream) {
  OpenFlow *Flow = Flows.find(Key, Service);
  if (Flow != nullptr && Flow->Upstream == Upstream)
    Flow->Established = true;
}

UpstreamId FlowPinning::redirect(FlowKey Key, ServiceId Service,
                                 UpstreamId OldUpstream,
                                 UpstreamId RedirectTarget, ActionSink &Sink) {
  const ServiceConfig *Config = serviceOf(Service);
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(RedirectTarget);
  OpenFlow *Flow = Flows.find(Key, Service);
  if (Flow != nullptr && (Flow->Established || Flow->Upstream != OldUpstream))
    return Flow->Upstream;
  if (Config == nullptr || Ref.Upstream == nullptr ||
      Ref.Service->Id != Service || Selector.isDraining(RedirectTarget))
    return OldUpstream;
  ++MetricsCache.metricsOf(Service).Redirects;
  if (Flow != nullptr)
    pin(*Flow, RedirectTarget, *Config, Sink);
  return RedirectTarget;
}

UpstreamId FlowPinning::repin(FlowKey Key, const ServiceConfig &Service,
                              UpstreamId OldUpstream, ActionSink &Sink) {
  OpenFlow *Flow = Flows.find(Key, Service.Id);
  if (Flow != nullptr && Flow->Upstream != OldUpstream)
    return Flow->Upstream;
  const UpstreamConfig *NewUpstream =
      Selector.choose(Key, Service, OldUpstream);
  if (NewUpstream == nullptr)
    return UpstreamId();
  if (Flow != nullptr) {
    recordMove(*Flow, Sink);
    Flow->Established = false;
    pin(*Flow, NewUpstream->Id, Service, Sink);
    release(Key, Service.Id, OldUpstream, Sink);
  }
  return NewUpstream->Id;
}

void FlowPinning::recordMove(const OpenFlow &Flow, ActionSink &Sink) {
  if (!Flow.Established)
    return;
  ServiceMetrics &Counters = MetricsCache.metricsOf(Flow.Service);
  if (Selector.isDraining(Flow.Upstream)) {
    ++Counters.FlowsMoved;
    return;
  }
  ++Counters.FlowsBroken;
  TimePoint &NextLog = NextLossLog[Flow.Upstream];
  if (Board.now() < NextLog)
    return;
  NextLog = Board.now() + LossLogInterval;
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Flow.Upstream);
  Sink.log(LogLevel::Warning, "flow",
           Ref.Upstream == nullptr
               ? std::string("an upstream was removed before it drained: its "
                             "flows move to others")
               : "upstream " + Ref.Upstream->Name +
                     " failed: its flows move to others");
}

void FlowPinning::pin(OpenFlow &Flow, UpstreamId NewUpstream,
                      const ServiceConfig &Service, ActionSink &) {
  const bool HadNonDefaultPin = Flow.HasNonDefaultPin;
  Flow.Upstream = NewUpstream;
  const UpstreamConfig *Default =
      defaultUpstream(Flow.Flow, Service, Board.RegionZones);
  Flow.HasNonDefaultPin = Default == nullptr || Default->Id != NewUpstream;
  if (Flow.HasNonDefaultPin || HadNonDefaultPin)
    Replicator.markChanged(Flow.Flow, Flow.Service);
}

void FlowPinning::setNonDefaultPin(OpenFlow &Flow, bool IsNonDefault) {
  if (Flow.HasNonDefaultPin == IsNonDefault)
    return;
  Flow.HasNonDefaultPin = IsNonDefault;
  Replicator.markChanged(Flow.Flow, Flow.Service);
}

// The owner closes the flow's connection on release, so a request in progress
// on that connection has to finish first.
void FlowPinning::release(FlowKey Flow, ServiceId Service,
                          UpstreamId OldUpstream, ActionSink &Sink) {
  // After a handover the flow's new home instance releases the connection.
  if (Board.CurrentOwnership.homeOf(bucketOf(Flow)) != Board.Self.Id ||
      Requests.isRunningOn(Flow, Service, OldUpstream))
    return;
  const InstanceId Owner = Board.CurrentOwnership.ownerOf(OldUpstream);
  if (Owner != InstanceId())
    Peers.send(Owner, ReleaseFlow{OldUpstream, Flow}, Sink);
}

void FlowPinning::onRequestEnded(FlowKey Key, ServiceId Service,
                                 UpstreamId Upstream, ActionSink &Sink) {
  OpenFlow *Flow = Flows.find(Key, Service);
  if (Flow != nullptr && Flow->InProgress > 0)
    --Flow->InProgress;
  if (Flow != nullptr && Flow->Closing && Flow->InProgress == 0)
    erase(*Flow, Sink);
  else if (Flow != nullptr && Flow->Upstream != Upstream)
    release(Key, Service, Upstream, Sink);
}

void FlowPinning::close(FlowKey Key, ServiceId Service, ActionSink &Sink) {
  OpenFlow *Flow = findOrRestore(Key, Service);
  if (Flow == nullptr)
    return;
  if (Flow->InProgress > 0)
    Flow->Closing = true;
  else
    erase(*Flow, Sink);
}

bool FlowPinning::isEstablished(FlowKey Key, ServiceId Service) {
  const OpenFlow *Flow = Flows.find(Key, Service);
  return Flow != nullptr && Flow->Established;
}

void FlowPinning::erase(OpenFlow &Flow, ActionSink &Sink) {
  const OpenFlow ClosedFlow = Flow;
  Flows.erase(Flow);
  ++MetricsCache.metricsOf(ClosedFlow.Service).FlowsClosed;
  if (ClosedFlow.HasNonDefaultPin)
    Replicator.markChanged(ClosedFlow.Flow, ClosedFlow.Service);
  release(ClosedFlow.Flow, ClosedFlow.Service, ClosedFlow.Upstream, Sink);
}

OpenFlow *FlowPinning::findOrRestore(FlowKey Key, ServiceId Service) {
  OpenFlow *Flow = Flows.find(Key, Service);
  if (Flow != nullptr)
    return Flow;
  Pin Replica;
  return Replicas.pop(Key, Service, Replica) ? &restorePin(Replica) : nullptr;
}

OpenFlow &FlowPinning::restorePin(const Pin &SavedPin) {
  OpenFlow *Flow = Flows.find(SavedPin.Flow, SavedPin.Service);
  if (Flow == nullptr)
    Flow = &Flows.insert(SavedPin.Flow, SavedPin.Service);
  Flow->Upstream = SavedPin.Upstream;
  Flow->Established = true;
  Flow->LastUsed = nowInSeconds();
  const ServiceConfig *Service = serviceOf(SavedPin.Service);
  const UpstreamConfig *Default =
      Service == nullptr
          ? nullptr
          : defaultUpstream(SavedPin.Flow, *Service, Board.RegionZones);
  Flow->HasNonDefaultPin =
      Default == nullptr || Default->Id != SavedPin.Upstream;
  if (Flow->HasNonDefaultPin)
    Replicator.markChanged(SavedPin.Flow, SavedPin.Service);
  return *Flow;
}

// Turns the replicas of buckets that this instance now serves into pins, and
// discards replicas of buckets that this instance neither serves nor backs up:
// those are outdated.
void FlowPinning::restoreFromReplicas(ActionSink &Sink) {
  size_t RestoredCount = 0;
  for (uint32_t Bucket : Replicas.buckets()) {
    if (Board.CurrentOwnership.homeOf(Bucket) == Board.Self.Id) {
      for (const Pin &Replica : Replicas.popBucket(Bucket)) {
        if (Flows.find(Replica.Flow, Replica.Service) != nullptr)
          continue;
        restorePin(Replica);
        ++RestoredCount;
      }
    } else if (Board.CurrentPlacement.backup(Bucket) != Board.Self.Id &&
               Board.CurrentPlacement.home(Bucket) != Board.Self.Id) {
      Replicas.popBucket(Bucket);
    }
  }
  if (RestoredCount > 0)
    Sink.log(LogLevel::Info, "flow",
             "took over " + std::to_string(RestoredCount) +
                 " pinned flows of another home instance from replicas");
}

void FlowPinning::onPinReplica(const PinReplica &Replica) {
  for (const Pin &ReplicaPin : Replica.Pins)
    if (Board.CurrentOwnership.homeOf(bucketOf(ReplicaPin.Flow)) !=
        Board.Self.Id)
      Replicas.addOrRemove(ReplicaPin);
}

void FlowPinning::onPlacementChanged(ActionSink &Sink) {
  Selector.refresh(Sink);
  Replicator.onPlacementChanged();
  if (Board.Config.Version != SeenVersion) {
    SeenVersion = Board.Config.Version;
    DefaultsChanged = true;
  }
  PositionsToReview = Flows.positionCount();
  if (PositionsToReview == 0)
    finishFullReview();
}

void FlowPinning::onTick(ActionSink &Sink) {
  if (Board.now() >= NextRefresh) {
    NextRefresh = Board.now() + RefreshInterval;
    Selector.refresh(Sink);
  }
  if (Board.now() >= NextRestore) {
    NextRestore = Board.now() + RestoreInterval;
    restoreFromReplicas(Sink);
  }
  // After a pause, and until the membership of this instance is confirmed,
  // another instance may have taken over its flows.
  if (Board.Self.Stale)
    return;
  reviewNextFlows(Sink);
  Replicator.flush(Sink);
}

void FlowPinning::reviewNextFlows(ActionSink &Sink) {
  const size_t Total = Flows.positionCount();
  if (Total == 0)
    return;
  ReviewPositionRemainder += static_cast<double>(Total) / TicksPerFullReview;
  size_t Count = static_cast<size_t>(ReviewPositionRemainder);
  ReviewPositionRemainder -= static_cast<double>(Count);
  if (PositionsToReview > 0)
    Count = FastReviewsPerTick;
  if (ReviewPosition >= Total)
    ReviewPosition = 0;
  const size_t First = ReviewPosition;
  ReviewPosition = std::min(First + Count, Total);
  Flows.visitRange(First, ReviewPosition,
                   [&](OpenFlow &Flow) { review(Flow, Sink); });
  if (PositionsToReview == 0)
    return;
  PositionsToReview -= std::min(PositionsToReview, ReviewPosition - First);
  if (PositionsToReview == 0)
    finishFullReview();
}

void FlowPinning::finishFullReview() {
  DefaultsChanged = false;
  Replicator.clearNewBackups();
}

void FlowPinning::review(OpenFlow &Flow, ActionSink &Sink) {
  const ServiceConfig *Service = serviceOf(Flow.Service);
  const Duration Limit = Service == nullptr ? Duration() : Service->IdleTimeout;
  if (Flow.InProgress == 0 &&
      std::chrono::seconds(nowInSeconds() - Flow.LastUsed) >= Limit) {
    erase(Flow, Sink);
    return;
  }
  if (DefaultsChanged && Service != nullptr) {
    const UpstreamConfig *Default =
        defaultUpstream(Flow.Flow, *Service, Board.RegionZones);
    setNonDefaultPin(Flow, Default == nullptr || Default->Id != Flow.Upstream);
  }
  if (!Flow.HasNonDefaultPin)
    return;
  if (PositionsToReview == 0)
    Replicator.refresh(Flow);
  else if (Replicator.isBackupNew(bucketOf(Flow.Flow)))
    Replicator.markChanged(Flow.Flow, Flow.Service);
}

// Exports the pins of all established flows, also of those on their default
// upstream. Otherwise a flow that sends nothing until the next change of the
// configuration would go to its new default, because the new home instance
// would not have its pin.
void FlowPinning::exportBucket(uint32_t Bucket, HandoverBatch &Batch) {
  Flows.forEachInBucket(Bucket, [&](const OpenFlow &Flow) {
    if (Flow.Established || Flow.HasNonDefaultPin)
      Batch.Pins.push_back({Flow.Flow, Flow.Service, Flow.Upstream, false});
  });
  const std::vector<Pin> *StoredReplicas = Replicas.bucket(Bucket);
  if (StoredReplicas == nullptr)
    return;
  for (const Pin &Replica : *StoredReplicas)
    if (Flows.find(Replica.Flow, Replica.Service) == nullptr)
      Batch.Pins.push_back(Replica);
}

void FlowPinning::importPin(const Pin &ImportedPin) {
  if (!ImportedPin.Removed) {
    restorePin(ImportedPin);
    return;
  }
  OpenFlow *Flow = Flows.find(ImportedPin.Flow, ImportedPin.Service);
  if (Flow != nullptr && Flow->InProgress == 0)
    Flows.erase(*Flow);
}

void FlowPinning::dropBucket(uint32_t Bucket) {
  Flows.forEachInBucket(Bucket, [&](OpenFlow &Flow) { Flows.erase(Flow); });
}

void FlowPinning::clear() {
  Selector.clear();
  Flows.clear();
  Replicator.clear();
  Replicas.clear();
  NextLossLog.clear();
  ReviewPosition = 0;
}

const ServiceConfig *FlowPinning::serviceOf(ServiceId Service) const {
  const auto It = Board.Config.Services.find(Service);
  return It == Board.Config.Services.end() ? nullptr : &It->second;
}

uint32_t FlowPinning::nowInSeconds() const {
  return static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(
                                   Board.now().time_since_epoch())
                                   .count());
}

} // namespace indigopoint
