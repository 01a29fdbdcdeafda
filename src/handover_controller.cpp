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

// A leaver stays this long after its last request, so that a home that repeats
// a submission still gets its result.
constexpr std::chrono::milliseconds LeaveGrace(500);

} // namespace

struct HandoverController::Impl {
  Impl(Blackboard &Board, PeerLink &Peers, FlowController &Flows,
       UpstreamController &Upstreams, MembershipController &Members)
      : Board(Board), Flows(Flows), Upstreams(Upstreams), Members(Members),
        Tracker(Board), Sending(Board, Peers, Flows, Upstreams, Tracker),
        Receiving(Board, Peers, Flows, Upstreams, Tracker) {}

  void checkJoined(ActionSink &Sink);
  void checkLeft(ActionSink &Sink);
  bool canLeave() const;

  Blackboard &Board;
  FlowController &Flows;
  UpstreamController &Upstreams;
  MembershipController &Members;
  OwnershipUpdater Tracker;
  HandoverSender Sending;
  HandoverReceiver Receiving;
  /// Ownership changed outside of a change of placement.
  bool OwnersChanged = false;
  TimePoint BusyAt{};
};

HandoverController::HandoverController(Blackboard &Board, PeerLink &Peers,
                                       FlowController &Flows,
                                       UpstreamController &Upstreams,
                                       MembershipController &Members)
    : PImpl(std::make_unique<Impl>(Board, Peers, Flows, Upstreams, Members)) {}

HandoverController::~HandoverController() = default;

void HandoverController::onPlacementChanged(ActionSink &) {
  PImpl->Tracker.update();
  PImpl->Sending.requestPlan();
}

void HandoverController::onHandoverBatch(const Sender &From,
                                         const HandoverBatch &Batch,
                                         ActionSink &Sink) {
  if (!PImpl->Receiving.onBatch(From, Batch, Sink))
    return;
  if (!Batch.Buckets.empty() || !Batch.Upstreams.empty()) {
    PImpl->Sending.requestPlan();
    PImpl->OwnersChanged = true;
  }
}

void HandoverController::onHandoverAck(const Sender &From,
                                       const HandoverAck &Ack,
                                       ActionSink &Sink) {
  PImpl->Sending.onAck(From, Ack, Sink);
}

bool HandoverController::holdRelayedBack(const Sender &From, Relay &Given) {
  return PImpl->Receiving.holdRelayedBack(From, Given);
}

void HandoverController::onInstanceLost(InstanceId Lost, ActionSink &Sink) {
  PImpl->Sending.onInstanceLost(Lost);
  PImpl->Receiving.onInstanceLost(Lost, Sink);
  PImpl->Tracker.onInstanceLost(Lost);
}

void HandoverController::onTick(ActionSink &Sink) {
  PImpl->Tracker.onTick();
  PImpl->Sending.onTick(Sink);
  PImpl->Receiving.onTick(Sink);
  if (PImpl->OwnersChanged) {
    PImpl->OwnersChanged = false;
    PImpl->Upstreams.onPlacementChanged(Sink);
    PImpl->Flows.onPlacementChanged(Sink);
  }
  PImpl->checkJoined(Sink);
  PImpl->checkLeft(Sink);
}

void HandoverController::Impl::checkJoined(ActionSink &Sink) {
  if (Board.Self.State != MemberState::Joining || !Members.isSynced() ||
      !Receiving.hasAllFinalBatches())
    return;
  // Without any active member the membership controller decides.
  for (const auto &[Id, Known] : Board.Members.ById)
    if (Known.State == MemberState::Active ||
        Known.State == MemberState::Suspect) {
      Members.becomeActive(Sink);
      return;
    }
}

bool HandoverController::Impl::canLeave() const {
  if (!Sending.isIdle())
    return false;
  if (Board.Self.State == MemberState::Leaving)
    return true;
  // The last instance: whoever is still joining is waited for.
  for (const auto &[Id, Known] : Board.Members.ById)
    if (isAlive(Known.State))
      return false;
  return true;
}

void HandoverController::Impl::checkLeft(ActionSink &Sink) {
  if (!Board.Self.StopRequested || Board.Self.State == MemberState::Left)
    return;
  const uint32_t Unfinished =
      Flows.requestsInProgress() + Upstreams.dispatchesInProgress();
  const TimePoint Now = Board.now();
  if (Unfinished > 0 || !canLeave() || BusyAt == TimePoint())
    BusyAt = Now;
  if (Now - BusyAt >= LeaveGrace || Now >= Board.Self.StopDeadline)
    Members.announceLeft(Unfinished, Sink);
}

void HandoverController::reset(ActionSink &) {
  PImpl->Sending.reset();
  PImpl->Receiving.reset();
  PImpl->Tracker.reset();
  PImpl->Sending.requestPlan();
}

} // namespace indigopoint
