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
/// leave or die, and keeps Ownership true.
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

  /// Keeps a packet that its supposed home relayed back here, until the batch
  /// that hands it over arrives. Returns false if it has to be handled now.
  bool holdRelayedBack(const Sender &From, Relay &Given);

  /// An instance died: what it served is taken over with incomplete records.
  void onInstanceLost(InstanceId Lost, ActionSink &Sink);

  /// Placement or the member states changed.
  void onPlacementChanged(ActionSink &Sink);
  void onTick(ActionSink &Sink);

  /// Forgets everything; the process was declared dead while paused.
  void reset(ActionSink &Sink);

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
