#pragma once

#include <memory>

#include "engine_io.h"
#include "messages.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// The home role: keeps each flow on its upstream, decides the outcome of each
/// request once, and retries what may be retried.
class FlowController {
public:
  FlowController(Blackboard &Board, PeerLink &Peers);
  ~FlowController();

  /// A packet of a caller, received from the fabric (\p Hops is 0) or from
  /// another instance.
  void onPacket(Endpoint Caller, CallerPacket Packet, uint32_t Hops,
                ActionSink &Sink);
  void onSubmitResult(const Sender &From, SubmitResult Result,
                      ActionSink &Sink);
  void onPinReplica(const PinReplica &Replica);
  void onTick(ActionSink &Sink);

  /// Members, owners or configuration changed.
  void onPlacementChanged(ActionSink &Sink);

  /// An instance died or was replaced. What it had been sent may have run.
  void onInstanceLost(InstanceId Lost, ActionSink &Sink);

  /// Copies the pins and request records of \p Bucket into \p Batch. The
  /// bucket stays here until dropBucket.
  void exportBucket(uint32_t Bucket, HandoverBatch &Batch) const;

  /// Takes in pins and request records of another home instance.
  void importBatch(const HandoverBatch &Batch, ActionSink &Sink);

  /// Forgets \p Bucket except for requests in progress, which end here.
  void dropBucket(uint32_t Bucket);

  /// Forgets everything; the process was declared dead while paused.
  void reset();

  /// Requests whose outcome is still open.
  uint32_t requestsInProgress() const;

  /// Memory of the table of open flows.
  size_t flowMemoryBytes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
