#pragma once

#include <unordered_map>

#include "configuration.h"
#include "engine_io.h"
#include "flow_table.h"
#include "pin_replicator.h"
#include "pin_store.h"
#include "request_table.h"
#include "service_metrics_cache.h"
#include "upstream_selector.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// Keeps each open flow of the buckets that this instance serves as home
/// instance on its upstream, and moves the flow between two requests when the
/// upstream drains or fails.
class FlowPinning {
public:
  FlowPinning(Blackboard &Board, PeerLink &Peers, RequestTable &Requests,
              ServiceMetricsCache &MetricsCache);

  /// Returns the flow, pinned to the upstream for its next request. Opens the
  /// flow if it is new and moves it if its upstream is no longer usable. Null
  /// if the service has no usable upstream.
  OpenFlow *prepareForRequest(FlowKey Flow, const ServiceConfig &Service,
                              ActionSink &Sink);

  /// Marks the flow as established: the owner of \p Upstream has admitted it.
  void markEstablished(FlowKey Flow, ServiceId Service, UpstreamId Upstream);

  /// Pins a flow that no owner has admitted yet to \p RedirectTarget, the
  /// upstream that the owner of \p OldUpstream named. Returns the upstream of
  /// the flow afterwards.
  UpstreamId redirect(FlowKey Flow, ServiceId Service, UpstreamId OldUpstream,
                      UpstreamId RedirectTarget, ActionSink &Sink);

  /// Pins the flow to another upstream than \p OldUpstream and returns that
  /// upstream. Zero if no other upstream is usable.
  UpstreamId repin(FlowKey Flow, const ServiceConfig &Service,
                   UpstreamId OldUpstream, ActionSink &Sink);

  /// Called when the outcome of a request that ran on \p Upstream is decided.
  void onRequestEnded(FlowKey Flow, ServiceId Service, UpstreamId Upstream,
                      ActionSink &Sink);

  void close(FlowKey Flow, ServiceId Service, ActionSink &Sink);

  bool isEstablished(FlowKey Flow, ServiceId Service);

  UpstreamSelector &selector() { return Selector; }
  size_t openFlows() const { return Flows.size(); }
  size_t memoryBytes() const { return Flows.memoryBytes(); }

  void onPinReplica(const PinReplica &Replica);
  void onPlacementChanged(ActionSink &Sink);
  void onTick(ActionSink &Sink);

  void exportBucket(uint32_t Bucket, HandoverBatch &Batch);
  void importPin(const Pin &ImportedPin);
  void dropBucket(uint32_t Bucket);
  void clear();

private:
  OpenFlow *findOrRestore(FlowKey Flow, ServiceId Service);
  OpenFlow &restorePin(const Pin &SavedPin);
  void restoreFromReplicas(ActionSink &Sink);
  bool needsMove(const OpenFlow &Flow, const ServiceConfig &Service) const;
  void recordMove(const OpenFlow &Flow, ActionSink &Sink);
  void pin(OpenFlow &Flow, UpstreamId NewUpstream, const ServiceConfig &Service,
           ActionSink &Sink);
  void setNonDefaultPin(OpenFlow &Flow, bool IsNonDefault);
  void release(FlowKey Flow, ServiceId Service, UpstreamId OldUpstream,
               ActionSink &Sink);
  void erase(OpenFlow &Flow, ActionSink &Sink);
  void reviewNextFlows(ActionSink &Sink);
  void finishFullReview();
  void review(OpenFlow &Flow, ActionSink &Sink);
  const ServiceConfig *serviceOf(ServiceId Service) const;
  uint32_t nowInSeconds() const;

  Blackboard &Board;
  PeerLink &Peers;
  RequestTable &Requests;
  ServiceMetricsCache &MetricsCache;
  UpstreamSelector Selector;
  FlowTable Flows;
  PinReplicator Replicator;
  PinStore Replicas;
  /// Earliest time at which the loss of an upstream may be logged again.
  std::unordered_map<UpstreamId, TimePoint> NextLossLog;
  ConfigVersion SeenVersion;
  TimePoint NextRefresh{};
  TimePoint NextRestore{};
  size_t ReviewPosition = 0;
  /// Fraction of a table position that remains to be reviewed in a later tick.
  double ReviewPositionRemainder = 0;
  /// Table positions still to review in the faster pass that follows a change
  /// of members or configuration.
  size_t PositionsToReview = 0;
  bool DefaultsChanged = false;
};

} // namespace indigopoint
