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

/// Keeps each open flow of the served buckets on its upstream, and moves it
/// between two requests when the upstream leaves or fails.
class FlowPinning {
public:
  FlowPinning(Blackboard &Board, PeerLink &Peers, RequestTable &Requests,
              ServiceMetricsCache &MetricsCache);

  /// The flow with the upstream for its next request. Opens it if it is new
  /// and moves it if its upstream cannot be used any more. Null if the service
  /// has no usable upstream.
  OpenFlow *prepare(FlowKey Flow, const ServiceConfig &Service,
                    ActionSink &Sink);

  /// The owner of \p Upstream has admitted the flow.
  void confirm(FlowKey Flow, ServiceId Service, UpstreamId Upstream);

  /// Pins a flow that no owner has admitted to the better upstream that the
  /// owner of \p From named. Returns where the flow is pinned now.
  UpstreamId redirect(FlowKey Flow, ServiceId Service, UpstreamId From,
                      UpstreamId Better, ActionSink &Sink);

  /// Finds another upstream than \p From for a request, and pins the flow to
  /// it. Zero if there is none.
  UpstreamId repin(FlowKey Flow, const ServiceConfig &Service, UpstreamId From,
                   ActionSink &Sink);

  /// A request that ran on \p Upstream has its outcome.
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
  void importPin(const Pin &Given);
  void dropBucket(uint32_t Bucket);
  void clear();

private:
  OpenFlow *findOrAdopt(FlowKey Flow, ServiceId Service);
  OpenFlow &adopt(const Pin &Given);
  void adoptReplicas(ActionSink &Sink);
  bool needsMove(const OpenFlow &Flow, const ServiceConfig &Service) const;
  void countMove(const OpenFlow &Flow, ActionSink &Sink);
  void pin(OpenFlow &Flow, UpstreamId To, const ServiceConfig &Service,
           ActionSink &Sink);
  void setException(OpenFlow &Flow, bool Exception);
  void release(FlowKey Flow, ServiceId Service, UpstreamId From,
               ActionSink &Sink);
  void erase(OpenFlow &Flow, ActionSink &Sink);
  void sweep(ActionSink &Sink);
  void endReview();
  void review(OpenFlow &Flow, ActionSink &Sink);
  const ServiceConfig *serviceOf(ServiceId Service) const;
  uint32_t seconds() const;

  Blackboard &Board;
  PeerLink &Peers;
  RequestTable &Requests;
  ServiceMetricsCache &MetricsCache;
  UpstreamSelector Selector;
  FlowTable Flows;
  PinReplicator Replicator;
  PinStore Replicas;
  /// When the loss of an upstream may be logged again.
  std::unordered_map<UpstreamId, TimePoint> NextLossLog;
  ConfigVersion SeenVersion;
  TimePoint NextRefresh{};
  TimePoint NextAdoption{};
  size_t SweepPosition = 0;
  double SweepCredit = 0;
  /// Positions left of a round that follows a change.
  size_t ReviewLeft = 0;
  bool DefaultsChanged = false;
};

} // namespace indigopoint
