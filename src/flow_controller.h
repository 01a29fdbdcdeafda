#pragma once

#include <memory>

#include "engine_io.h"
#include "messages.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// Handles the flows and requests of the buckets for which this instance is the
/// home instance: keeps each flow on its upstream, decides the outcome of each
/// request exactly once, and retries requests that may safely run again.
class FlowController {
public:
  FlowController(Blackboard &Board, PeerLink &Peers);
  ~FlowController();

  /// Handles a packet of a caller. \p Hops is 0 if it came from the network in
  /// front of the instances (the fabric), and counts relays otherwise.
  void onPacket(Endpoint Caller, CallerPacket Packet, uint32_t Hops,
                ActionSink &Sink);
  void onSubmitResult(const Sender &From, SubmitResult Result,
                      ActionSink &Sink);
  void onPinReplica(const PinReplica &Replica);
  void onTick(ActionSink &Sink);

  /// Called when members, owners or the configuration changed.
  void onPlacementChanged(ActionSink &Sink);

  /// Called when an instance died or was replaced. The requests that were
  /// submitted to it may have run.
  void onInstanceLost(InstanceId LostInstance, ActionSink &Sink);

  /// Copies the pins and request records of \p Bucket into \p Batch. This
  /// instance keeps the bucket until dropBucket.
  void exportBucket(uint32_t Bucket, HandoverBatch &Batch) const;

  /// Adds pins and request records that another home instance exported.
  void importBatch(const HandoverBatch &Batch, ActionSink &Sink);

  /// Erases the state of \p Bucket except for requests in progress, which this
  /// instance completes.
  void dropBucket(uint32_t Bucket);

  /// Erases all state. Called when the process was declared dead while paused.
  void reset();

  /// Number of requests whose outcome is not decided yet.
  uint32_t requestsInProgress() const;

  /// Memory used by the table of open flows.
  size_t flowMemoryBytes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
