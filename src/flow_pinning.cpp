#include "flow_pinning.h"

#include <algorithm>

#include "blackboard.h"
#include "peer_link.h"

namespace indigopoint {

namespace {

constexpr Duration RefreshInterval = std::chrono::milliseconds(100);
// One line for all flows of a lost upstream.
constexpr Duration LossLogInterval = std::chrono::seconds(10);
constexpr Duration AdoptionInterval = std::chrono::seconds(1);

// A round over all flows takes 10 s, or 125 ticks for 500,000 flows after a
// change of configuration or members.
constexpr double TicksPerRound = 1000;
constexpr size_t ReviewsPerTick = 4000;

} // namespace

FlowPinning::FlowPinning(Blackboard &GivenBoard, PeerLink &GivenPeers,
                         RequestTable &GivenRequests,
                         ServiceMetricsCache &GivenMetricsCache)
    : Board(GivenBoard), Peers(GivenPeers), Requests(GivenRequests),
      MetricsCache(GivenMetricsCache), Selector(GivenBoard),
      Replicator(GivenBoard, GivenPeers, Flows) {}

OpenFlow *FlowPinning::prepare(FlowKey Key, const ServiceConfig &Service,
                               ActionSink &Sink) {
  OpenFlow *Flow = findOrAdopt(Key, Service.Id);
  if (Flow == nullptr) {
    const UpstreamConfig *Chosen = Selector.choose(Key, Service);
    if (Chosen == nullptr)
      return nullptr;
    Flow = &Flows.insert(Key, Service.Id);
    ++MetricsCache.metricsOf(Service.Id).FlowsOpened;
    pin(*Flow, Chosen->Id, Service, Sink);
  } else if (needsMove(*Flow, Service)) {
    const UpstreamId From = Flow->Upstream;
    // A flow that was never admitted leaves at once, others only if there is
    // an upstream to go to.
    if (repin(Key, Service, From, Sink) == UpstreamId())
      return nullptr;
  }
  Flow->LastUsed = seconds();
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
         Selector.isGraceOver(Flow.Upstream, Service.DrainGrace);
}

void FlowPinning::confirm(FlowKey Key, ServiceId Service, UpstreamId Upstream) {
  OpenFlow *Flow = Flows.find(Key, Service);
  if (Flow != nullptr && Flow->Upstream == Upstream)
    Flow->Established = true;
}

UpstreamId FlowPinning::redirect(FlowKey Key, ServiceId Service,
                                 UpstreamId From, UpstreamId Better,
                                 ActionSink &Sink) {
  const ServiceConfig *Config = serviceOf(Service);
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Better);
  OpenFlow *Flow = Flows.find(Key, Service);
  if (Flow != nullptr && (Flow->Established || Flow->Upstream != From))
    return Flow->Upstream;
  if (Config == nullptr || Ref.Upstream == nullptr ||
      Ref.Service->Id != Service || Selector.isDraining(Better))
    return From;
  ++MetricsCache.metricsOf(Service).Redirects;
  if (Flow != nullptr)
    pin(*Flow, Better, *Config, Sink);
  return Better;
}

UpstreamId FlowPinning::repin(FlowKey Key, const ServiceConfig &Service,
                              UpstreamId From, ActionSink &Sink) {
  OpenFlow *Flow = Flows.find(Key, Service.Id);
  if (Flow != nullptr && Flow->Upstream != From)
    return Flow->Upstream;
  const UpstreamConfig *Next = Selector.choose(Key, Service, From);
  if (Next == nullptr)
    return UpstreamId();
  if (Flow != nullptr) {
    countMove(*Flow, Sink);
    Flow->Established = false;
    pin(*Flow, Next->Id, Service, Sink);
    release(Key, Service.Id, From, Sink);
  }
  return Next->Id;
}

void FlowPinning::countMove(const OpenFlow &Flow, ActionSink &Sink) {
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

void FlowPinning::pin(OpenFlow &Flow, UpstreamId To,
                      const ServiceConfig &Service, ActionSink &) {
  const bool WasException = Flow.Exception;
  Flow.Upstream = To;
  const UpstreamConfig *Default =
      defaultUpstream(Flow.Flow, Service, Board.RegionZones);
  Flow.Exception = Default == nullptr || Default->Id != To;
  if (Flow.Exception || WasException)
    Replicator.markChanged(Flow.Flow, Flow.Service);
}

void FlowPinning::setException(OpenFlow &Flow, bool Exception) {
  if (Flow.Exception == Exception)
    return;
  Flow.Exception = Exception;
  Replicator.markChanged(Flow.Flow, Flow.Service);
}

// The owner closes the connection on release, so a request in progress on it
// has to end first.
void FlowPinning::release(FlowKey Flow, ServiceId Service, UpstreamId From,
                          ActionSink &Sink) {
  // After a handover the connection belongs to the next home of the flow.
  if (Board.CurrentOwnership.homeOf(bucketOf(Flow)) != Board.Self.Id ||
      Requests.isRunningOn(Flow, Service, From))
    return;
  const InstanceId Owner = Board.CurrentOwnership.ownerOf(From);
  if (Owner != InstanceId())
    Peers.send(Owner, ReleaseFlow{From, Flow}, Sink);
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
  OpenFlow *Flow = findOrAdopt(Key, Service);
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
  const OpenFlow Closed = Flow;
  Flows.erase(Flow);
  ++MetricsCache.metricsOf(Closed.Service).FlowsClosed;
  if (Closed.Exception)
    Replicator.markChanged(Closed.Flow, Closed.Service);
  release(Closed.Flow, Closed.Service, Closed.Upstream, Sink);
}

OpenFlow *FlowPinning::findOrAdopt(FlowKey Key, ServiceId Service) {
  OpenFlow *Flow = Flows.find(Key, Service);
  if (Flow != nullptr)
    return Flow;
  Pin Replica;
  return Replicas.pop(Key, Service, Replica) ? &adopt(Replica) : nullptr;
}

OpenFlow &FlowPinning::adopt(const Pin &Given) {
  OpenFlow *Flow = Flows.find(Given.Flow, Given.Service);
  if (Flow == nullptr)
    Flow = &Flows.insert(Given.Flow, Given.Service);
  Flow->Upstream = Given.Upstream;
  Flow->Established = true;
  Flow->LastUsed = seconds();
  const ServiceConfig *Service = serviceOf(Given.Service);
  const UpstreamConfig *Default =
      Service == nullptr
          ? nullptr
          : defaultUpstream(Given.Flow, *Service, Board.RegionZones);
  Flow->Exception = Default == nullptr || Default->Id != Given.Upstream;
  if (Flow->Exception)
    Replicator.markChanged(Given.Flow, Given.Service);
  return *Flow;
}

// Replicas of buckets that came here are pins like any other. Replicas of
// buckets that other instances serve and back up are out of date.
void FlowPinning::adoptReplicas(ActionSink &Sink) {
  size_t Adopted = 0;
  for (uint32_t Bucket : Replicas.buckets()) {
    if (Board.CurrentOwnership.homeOf(Bucket) == Board.Self.Id) {
      for (const Pin &Replica : Replicas.popBucket(Bucket)) {
        if (Flows.find(Replica.Flow, Replica.Service) != nullptr)
          continue;
        adopt(Replica);
        ++Adopted;
      }
    } else if (Board.CurrentPlacement.backup(Bucket) != Board.Self.Id &&
               Board.CurrentPlacement.home(Bucket) != Board.Self.Id) {
      Replicas.popBucket(Bucket);
    }
  }
  if (Adopted > 0)
    Sink.log(LogLevel::Info, "flow",
             "took over " + std::to_string(Adopted) +
                 " pinned flows of another home from replicas");
}

void FlowPinning::onPinReplica(const PinReplica &Replica) {
  for (const Pin &Given : Replica.Pins)
    if (Board.CurrentOwnership.homeOf(bucketOf(Given.Flow)) != Board.Self.Id)
      Replicas.apply(Given);
}

void FlowPinning::onPlacementChanged(ActionSink &Sink) {
  Selector.refresh(Sink);
  Replicator.onPlacementChanged();
  if (Board.Config.Version != SeenVersion) {
    SeenVersion = Board.Config.Version;
    DefaultsChanged = true;
  }
  ReviewLeft = Flows.positions();
  if (ReviewLeft == 0)
    endReview();
}

void FlowPinning::onTick(ActionSink &Sink) {
  if (Board.now() >= NextRefresh) {
    NextRefresh = Board.now() + RefreshInterval;
    Selector.refresh(Sink);
  }
  if (Board.now() >= NextAdoption) {
    NextAdoption = Board.now() + AdoptionInterval;
    adoptReplicas(Sink);
  }
  if (Board.Self.Stale)
    return;
  sweep(Sink);
  Replicator.flush(Sink);
}

void FlowPinning::sweep(ActionSink &Sink) {
  const size_t Total = Flows.positions();
  if (Total == 0)
    return;
  SweepCredit += static_cast<double>(Total) / TicksPerRound;
  size_t Count = static_cast<size_t>(SweepCredit);
  SweepCredit -= static_cast<double>(Count);
  if (ReviewLeft > 0)
    Count = ReviewsPerTick;
  if (SweepPosition >= Total)
    SweepPosition = 0;
  const size_t First = SweepPosition;
  SweepPosition = std::min(First + Count, Total);
  Flows.visitRange(First, SweepPosition,
                   [&](OpenFlow &Flow) { review(Flow, Sink); });
  if (ReviewLeft == 0)
    return;
  ReviewLeft -= std::min(ReviewLeft, SweepPosition - First);
  if (ReviewLeft == 0)
    endReview();
}

void FlowPinning::endReview() {
  DefaultsChanged = false;
  Replicator.clearNewBackups();
}

void FlowPinning::review(OpenFlow &Flow, ActionSink &Sink) {
  const ServiceConfig *Service = serviceOf(Flow.Service);
  const Duration Limit = Service == nullptr ? Duration() : Service->IdleTimeout;
  if (Flow.InProgress == 0 &&
      std::chrono::seconds(seconds() - Flow.LastUsed) >= Limit) {
    erase(Flow, Sink);
    return;
  }
  if (DefaultsChanged && Service != nullptr) {
    const UpstreamConfig *Default =
        defaultUpstream(Flow.Flow, *Service, Board.RegionZones);
    setException(Flow, Default == nullptr || Default->Id != Flow.Upstream);
  }
  if (!Flow.Exception)
    return;
  if (ReviewLeft == 0)
    Replicator.refresh(Flow);
  else if (Replicator.isBackupNew(bucketOf(Flow.Flow)))
    Replicator.markChanged(Flow.Flow, Flow.Service);
}

// All pins of open flows go along, not only exceptions. A flow that stays
// silent until the next change of configuration would otherwise be sent to its
// new default, because the new home never knew its pin.
void FlowPinning::exportBucket(uint32_t Bucket, HandoverBatch &Batch) {
  Flows.forEachInBucket(Bucket, [&](const OpenFlow &Flow) {
    if (Flow.Established || Flow.Exception)
      Batch.Pins.push_back({Flow.Flow, Flow.Service, Flow.Upstream, false});
  });
  const std::vector<Pin> *Held = Replicas.bucket(Bucket);
  if (Held == nullptr)
    return;
  for (const Pin &Replica : *Held)
    if (Flows.find(Replica.Flow, Replica.Service) == nullptr)
      Batch.Pins.push_back(Replica);
}

void FlowPinning::importPin(const Pin &Given) {
  if (!Given.Removed) {
    adopt(Given);
    return;
  }
  OpenFlow *Flow = Flows.find(Given.Flow, Given.Service);
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
  SweepPosition = 0;
}

const ServiceConfig *FlowPinning::serviceOf(ServiceId Service) const {
  const auto It = Board.Config.Services.find(Service);
  return It == Board.Config.Services.end() ? nullptr : &It->second;
}

uint32_t FlowPinning::seconds() const {
  return static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(
                                   Board.now().time_since_epoch())
                                   .count());
}

} // namespace indigopoint
