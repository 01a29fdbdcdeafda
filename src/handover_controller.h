#pragma once

#include <memory>

#include "engine_io.h"
#include "messages.h"

namespace indigopoint {

struct Blackboard;
class FlowController;
class MembershipController;
class PeerLink;
class UpstreamController;

/// Moves flow buckets and upstreams between instances when members join,
/// leave or die, and keeps Ownership up to date.
class HandoverController {
public:
  HandoverController(Blackboard &Board, PeerLink &Peers, FlowController &Flows,
                     UpstreamController &Upstreams,
                     MembershipController &Members);
  ~HandoverController();

  void onHandoverBatch(const Sender &From, const HandoverBatch &Batch,
                       ActionSink &Sink);
  void onHandoverAck(const Sender &From, const HandoverAck &Ack,
                     ActionSink &Sink);

  /// Holds a packet that its presumed home instance returned to this one, until
  /// the batch that hands the bucket over arrives. Returns false if the packet
  /// has to be handled now.
  bool holdReturnedPacket(const Sender &From, Relay &RelayedPacket);

  /// Takes over the buckets and upstreams of an instance that died, without
  /// complete request records.
  void onInstanceLost(InstanceId LostInstance, ActionSink &Sink);

  /// Called when the placement or the state of a member has changed.
  void onPlacementChanged(ActionSink &Sink);
  void onTick(ActionSink &Sink);

  /// Discards all state, because the process was declared dead while paused.
  void reset(ActionSink &Sink);

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
