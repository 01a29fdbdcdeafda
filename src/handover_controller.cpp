#include "handover_controller.h"

#include "blackboard.h"
#include "flow_controller.h"
#include "handover_receiver.h"
#include "handover_sender.h"
#include "membership_controller.h"
#include "ownership_updater.h"
#include "upstream_controller.h"

namespace indigopoint {

namespace {

// A leaving instance keeps running for this long after its last request, so
// that a home instance that retransmits a submission still gets the result.
constexpr std::chrono::milliseconds LeaveGrace(500);

} // namespace

struct HandoverController::Impl {
  Impl(Blackboard &Board, PeerLink &Peers, FlowController &Flows,
       UpstreamController &Upstreams, MembershipController &Members)
      : Board(Board), Flows(Flows), Upstreams(Upstreams), Members(Members),
        Updater(Board), BatchSender(Board, Peers, Flows, Upstreams, Updater),
        BatchReceiver(Board, Peers, Flows, Upstreams, Updater) {}

  void activateIfReady(ActionSink &Sink);
  void leaveIfDone(ActionSink &Sink);
  bool canLeave() const;

  Blackboard &Board;
  FlowController &Flows;
  UpstreamController &Upstreams;
  MembershipController &Members;
  OwnershipUpdater Updater;
  HandoverSender BatchSender;
  HandoverReceiver BatchReceiver;
  /// Ownership changed without a change of placement.
  bool OwnershipChanged = false;
  TimePoint LastBusyAt{};
};

HandoverController::HandoverController(Blackboard &Board, PeerLink &Peers,
                                       FlowController &Flows,
                                       UpstreamController &Upstreams,
                                       MembershipController &Members)
    : PImpl(std::make_unique<Impl>(Board, Peers, Flows, Upstreams, Members)) {}

HandoverController::~HandoverController() = default;

void HandoverController::onPlacementChanged(ActionSink &) {
  PImpl->Updater.update();
  PImpl->BatchSender.requestPlan();
}

void HandoverController::onHandoverBatch(const Sender &From,
                                         const HandoverBatch &Batch,
                                         ActionSink &Sink) {
  if (!PImpl->BatchReceiver.onBatch(From, Batch, Sink))
    return;
  if (!Batch.Buckets.empty() || !Batch.Upstreams.empty()) {
    PImpl->BatchSender.requestPlan();
    PImpl->OwnershipChanged = true;
  }
}

void HandoverController::onHandoverAck(const Sender &From,
                                       const HandoverAck &Ack,
                                       ActionSink &Sink) {
  PImpl->BatchSender.onAck(From, Ack, Sink);
}

bool HandoverController::holdReturnedPacket(const Sender &From,
                                            Relay &RelayedPacket) {
  return PImpl->BatchReceiver.holdReturnedPacket(From, RelayedPacket);
}

void HandoverController::onInstanceLost(InstanceId LostInstance,
                                        ActionSink &Sink) {
  PImpl->BatchSender.onInstanceLost(LostInstance);
  PImpl->BatchReceiver.onInstanceLost(LostInstance, Sink);
  PImpl->Updater.onInstanceLost(LostInstance);
}

void HandoverController::onTick(ActionSink &Sink) {
  PImpl->Updater.onTick();
  PImpl->BatchSender.onTick(Sink);
  PImpl->BatchReceiver.onTick(Sink);
  if (PImpl->OwnershipChanged) {
    PImpl->OwnershipChanged = false;
    // A handover changes homes and owners without a change of the placement.
    // The controllers handle both in the same way.
    PImpl->Upstreams.onPlacementChanged(Sink);
    PImpl->Flows.onPlacementChanged(Sink);
  }
  PImpl->activateIfReady(Sink);
  PImpl->leaveIfDone(Sink);
}

void HandoverController::Impl::activateIfReady(ActionSink &Sink) {
  if (Board.Self.State != MemberState::Joining || !Members.isSynced() ||
      !BatchReceiver.hasAllFinalBatches())
    return;
  // If no member is active, the membership controller decides when to activate.
  for (const auto &[Id, Peer] : Board.Members.ById)
    if (Peer.State == MemberState::Active ||
        Peer.State == MemberState::Suspect) {
      Members.becomeActive(Sink);
      return;
    }
}

bool HandoverController::Impl::canLeave() const {
  if (!BatchSender.isIdle())
    return false;
  if (Board.Self.State == MemberState::Leaving)
    return true;
  // The last active instance waits for members that are still joining, so that
  // it can hand over to them.
  for (const auto &[Id, Peer] : Board.Members.ById)
    if (isAlive(Peer.State))
      return false;
  return true;
}

void HandoverController::Impl::leaveIfDone(ActionSink &Sink) {
  if (!Board.Self.StopRequested || Board.Self.State == MemberState::Left)
    return;
  const uint32_t Unfinished =
      Flows.requestsInProgress() + Upstreams.dispatchesInProgress();
  const TimePoint Now = Board.now();
  if (Unfinished > 0 || !canLeave() || LastBusyAt == TimePoint())
    LastBusyAt = Now;
  if (Now - LastBusyAt >= LeaveGrace || Now >= Board.Self.StopDeadline)
    Members.announceLeaveAndStop(Unfinished, Sink);
}

void HandoverController::reset(ActionSink &) {
  PImpl->BatchSender.reset();
  PImpl->BatchReceiver.reset();
  PImpl->Updater.reset();
  PImpl->BatchSender.requestPlan();
}

} // namespace indigopoint
