#include "membership_controller.h"

#include <algorithm>

#include "blackboard.h"
#include "member_registry.h"
#include "probe_scheduler.h"
#include "update_queue.h"

namespace indigopoint {

namespace {

using std::chrono::milliseconds;

// Other members suspect an unresponsive member after 200 ms at the earliest and
// declare it dead 600 ms later. A pause below PauseThreshold cannot have led to
// a takeover.
constexpr milliseconds PauseThreshold(300);
constexpr milliseconds ConfirmInterval(100);
constexpr size_t ConfirmProbeCount = 3;
constexpr std::chrono::seconds NoActiveMemberDelay(1);
// If no member is active, the joining members become active in the order of
// their ids. Each one waits this much longer than the one before it, in case
// that one has died.
constexpr milliseconds NoActiveMemberStagger(500);
constexpr size_t AnnounceProbeCount = 16;

} // namespace

struct MembershipController::Impl {
  explicit Impl(Blackboard &Board)
      : Board(Board), Registry(Board, Updates),
        Scheduler(Board, Registry, Updates), NoActiveMemberSince(Board.now()) {}

  void applyUpdates(const std::vector<MemberUpdate> &Received,
                    ActionSink &Sink);
  void applyUpdateOfSelf(const MemberUpdate &Update, ActionSink &Sink);
  void rejoin(uint32_t Counter, ActionSink &Sink);
  void refute(uint32_t Counter, ActionSink &Sink);
  void changeState(MemberState NewState, ActionSink &Sink);
  void confirmMembership(ActionSink &Sink);
  void resumeAfterPause(ActionSink &Sink);
  void activateIfFirst(ActionSink &Sink);
  void startLeavingIfRequested(ActionSink &Sink);
  size_t countActiveOrSuspect() const;
  size_t countJoinersWithLowerId() const;

  Blackboard &Board;
  UpdateQueue Updates;
  MemberRegistry Registry;
  ProbeScheduler Scheduler;
  InstanceLostHook OnInstanceLost;
  ResetHook OnReset;
  TimePoint LastTick{};
  TimePoint NoActiveMemberSince;
  TimePoint ResumedAt{};
  TimePoint NextConfirm{};
  /// First probe sequence whose acknowledgement confirms the membership.
  /// Acknowledgements of earlier probes may date from before the pause.
  uint64_t FirstConfirmSequence = 0;
};

MembershipController::MembershipController(Blackboard &Board)
    : PImpl(std::make_unique<Impl>(Board)) {}

MembershipController::~MembershipController() = default;

void MembershipController::setInstanceLostHook(InstanceLostHook Hook) {
  PImpl->Registry.setMemberLostHook(std::move(Hook));
}

void MembershipController::setResetHook(ResetHook Hook) {
  PImpl->OnReset = std::move(Hook);
}

void MembershipController::Impl::applyUpdates(
    const std::vector<MemberUpdate> &Received, ActionSink &Sink) {
  for (const MemberUpdate &Update : Received)
    if (Update.Name == Board.Self.Name)
      applyUpdateOfSelf(Update, Sink);
    else
      Registry.apply(Update, Sink);
}

void MembershipController::Impl::applyUpdateOfSelf(const MemberUpdate &Update,
                                                   ActionSink &Sink) {
  SelfState &Self = Board.Self;
  if (Update.MemberIncarnation.Boot != Self.OwnIncarnation.Boot ||
      Update.MemberIncarnation.Counter < Self.OwnIncarnation.Counter ||
      Self.State == MemberState::Left)
    return;
  if (Update.State == MemberState::Dead && Self.Stale)
    return rejoin(Update.MemberIncarnation.Counter, Sink);
  // After a pause, a suspicion must not be refuted before this instance knows
  // whether it was declared dead.
  if (Self.Stale)
    return;
  if (Update.State == MemberState::Dead || Update.State == MemberState::Suspect)
    refute(Update.MemberIncarnation.Counter, Sink);
}

// This process was declared dead while it was paused. Other instances have
// taken over its buckets and upstreams, and its records are out of date.
void MembershipController::Impl::rejoin(uint32_t Counter, ActionSink &Sink) {
  Sink.log(LogLevel::Warning, "membership",
           "declared dead during a pause; joining again without records");
  Board.Self.OwnIncarnation.Counter = Counter;
  Board.Self.Stale = false;
  NoActiveMemberSince = Board.now();
  Scheduler.restartSync();
  changeState(MemberState::Joining, Sink);
  if (OnReset)
    OnReset(Sink);
}

// An instance that was not paused keeps its records when it was wrongly
// declared dead, for example by the other side of a partition. Each side of a
// partition declares the other one dead; if all instances discarded their
// records, none could hand them over after the partition.
void MembershipController::Impl::refute(uint32_t Counter, ActionSink &Sink) {
  Scheduler.onSuspected();
  Board.Self.OwnIncarnation.Counter = Counter + 1;
  Updates.add(describe(Board.Self));
  Scheduler.announce(ConfirmProbeCount, Sink);
}

void MembershipController::Impl::changeState(MemberState NewState,
                                             ActionSink &Sink) {
  Board.Self.State = NewState;
  ++Board.Self.OwnIncarnation.Counter;
  Updates.add(describe(Board.Self));
  Sink.log(LogLevel::Info, "membership",
           "this instance is " + std::string(nameOf(NewState)));
  Scheduler.announce(AnnounceProbeCount, Sink);
}

void MembershipController::onProbe(Endpoint From, const Sender &Origin,
                                   const Probe &Received, ActionSink &Sink) {
  if (PImpl->Board.Self.State == MemberState::Left)
    return;
  PImpl->applyUpdates(Received.Updates, Sink);
  PImpl->Registry.suspectMembersAtSameAddress(Origin.Instance,
                                              milliseconds(600), Sink);
  PImpl->Scheduler.answer(From, Origin, Received, Sink);
}

void MembershipController::onProbeAck(Endpoint, const Sender &Origin,
                                      const ProbeAck &Received,
                                      ActionSink &Sink) {
  if (PImpl->Board.Self.State == MemberState::Left)
    return;
  // Only a process that was known before the pause can confirm that this one
  // was not declared dead. A newer process has only just learned of this one
  // from its probe.
  const Member *AckSender = PImpl->Board.Members.find(Origin.Instance);
  const bool ConfirmsMembership =
      PImpl->Board.Self.Stale && AckSender != nullptr &&
      AckSender->MemberIncarnation.Boot == Origin.Boot &&
      isAlive(AckSender->State) &&
      Received.Sequence >= PImpl->FirstConfirmSequence;
  PImpl->applyUpdates(Received.Updates, Sink);
  if (isCurrent(Origin)) {
    PImpl->Registry.suspectMembersAtSameAddress(Origin.Instance,
                                                milliseconds(600), Sink);
    PImpl->Scheduler.onProbeAck(Origin, Received, Sink);
  }
  if (ConfirmsMembership && PImpl->Board.Self.Stale)
    PImpl->resumeAfterPause(Sink);
}

void MembershipController::onIndirectProbe(Endpoint From, const Sender &Origin,
                                           const IndirectProbe &Received,
                                           ActionSink &Sink) {
  if (isCurrent(Origin))
    PImpl->Scheduler.onIndirectProbe(From, Received, Sink);
}

// The list lags, so it only supplies addresses to probe. Its mark of leaving
// instances is ignored: members would see it at different times and place the
// same bucket differently. A leaving instance announces that itself.
void MembershipController::onInstanceList(const InstanceListObserved &List,
                                          ActionSink &) {
  for (auto &[Id, Peer] : PImpl->Board.Members.ById)
    Peer.Listed = std::any_of(List.Instances.begin(), List.Instances.end(),
                              [Name = Peer.Name](const ListedInstance &Listed) {
                                return Listed.Name == Name;
                              });
  for (const ListedInstance &Listed : List.Instances) {
    bool InOtherRegion = false;
    for (const ZoneConfig &Zone : PImpl->Board.Config.Zones)
      InOtherRegion |=
          Zone.Name == Listed.Zone && Zone.Region != PImpl->Board.Self.Region;
    if (!InOtherRegion)
      PImpl->Scheduler.addAddressToProbe(Listed.Address);
  }
}

void MembershipController::onDrainRequested(const DrainRequested &Request,
                                            ActionSink &Sink) {
  if (PImpl->Board.Self.StopRequested)
    return;
  PImpl->Board.Self.StopRequested = true;
  PImpl->Board.Self.StopDeadline = PImpl->Board.now() + Request.Limit;
  PImpl->startLeavingIfRequested(Sink);
}

bool MembershipController::detectPause(ActionSink &Sink) {
  const TimePoint Now = PImpl->Board.now();
  const bool Paused =
      PImpl->LastTick != TimePoint() && Now - PImpl->LastTick > PauseThreshold;
  if (PImpl->LastTick == TimePoint() || Paused)
    PImpl->LastTick = Now;
  if (!Paused || PImpl->Board.Self.State == MemberState::Left)
    return false;
  ++PImpl->Board.EngineMetrics.Pauses;
  PImpl->Board.Self.Stale = true;
  PImpl->ResumedAt = Now;
  PImpl->NextConfirm = Now;
  PImpl->Scheduler.discardSentProbes();
  PImpl->Registry.restartSuspicions();
  PImpl->FirstConfirmSequence = 0;
  PImpl->confirmMembership(Sink);
  return true;
}

// Probes a few members at once, so that a pause without consequences costs one
// round trip only.
void MembershipController::Impl::confirmMembership(ActionSink &Sink) {
  if (Board.now() < NextConfirm)
    return;
  NextConfirm = Board.now() + ConfirmInterval;
  const uint64_t First = Scheduler.probeRandomMembers(ConfirmProbeCount, Sink);
  if (FirstConfirmSequence == 0)
    FirstConfirmSequence = First;
  if (Registry.countAlive() == 0 &&
      Board.now() - ResumedAt >= NoActiveMemberDelay)
    resumeAfterPause(Sink);
}

void MembershipController::Impl::resumeAfterPause(ActionSink &Sink) {
  Board.Self.Stale = false;
  // Other members may have begun to suspect this instance during the pause.
  ++Board.Self.OwnIncarnation.Counter;
  Updates.add(describe(Board.Self));
  Scheduler.announce(ConfirmProbeCount, Sink);
}

void MembershipController::onTick(ActionSink &Sink) {
  PImpl->LastTick = PImpl->Board.now();
  if (PImpl->Board.Self.State == MemberState::Left)
    return;
  if (PImpl->Board.Self.Stale)
    PImpl->confirmMembership(Sink);
  PImpl->Registry.onTick(Sink);
  PImpl->Scheduler.onTick(Sink);
  PImpl->activateIfFirst(Sink);
  PImpl->startLeavingIfRequested(Sink);
}

size_t MembershipController::Impl::countActiveOrSuspect() const {
  return Registry.countOf(MemberState::Active) +
         Registry.countOf(MemberState::Suspect);
}

size_t MembershipController::Impl::countJoinersWithLowerId() const {
  size_t Count = 0;
  for (const auto &[Id, Peer] : Board.Members.ById)
    Count += Peer.State == MemberState::Joining && Id < Board.Self.Id ? 1 : 0;
  return Count;
}

void MembershipController::Impl::activateIfFirst(ActionSink &Sink) {
  if (Board.Self.State != MemberState::Joining || Board.Self.Stale)
    return;
  if (countActiveOrSuspect() > 0 || Board.Config.Version == ConfigVersion()) {
    if (countActiveOrSuspect() > 0)
      NoActiveMemberSince = Board.now();
    return;
  }
  const Duration Wait =
      NoActiveMemberDelay + NoActiveMemberStagger * countJoinersWithLowerId();
  if (Board.now() - NoActiveMemberSince >= Wait)
    changeState(MemberState::Active, Sink);
}

// The last active instance does not become Leaving, because no other one could
// take over. It finishes its requests and stops.
void MembershipController::Impl::startLeavingIfRequested(ActionSink &Sink) {
  if (Board.Self.StopRequested && !Board.Self.Stale &&
      countActiveOrSuspect() > 0 &&
      (Board.Self.State == MemberState::Active ||
       Board.Self.State == MemberState::Joining))
    changeState(MemberState::Leaving, Sink);
}

bool MembershipController::isCurrent(const Sender &From) const {
  if (From.Instance == PImpl->Board.Self.Id)
    return From.Boot == PImpl->Board.Self.OwnIncarnation.Boot;
  const Member *Peer = PImpl->Board.Members.find(From.Instance);
  return Peer != nullptr && Peer->MemberIncarnation.Boot == From.Boot &&
         isAlive(Peer->State);
}

bool MembershipController::isSynced() const {
  return PImpl->Scheduler.isSynced();
}

void MembershipController::becomeActive(ActionSink &Sink) {
  if (PImpl->Board.Self.State == MemberState::Joining &&
      !PImpl->Board.Self.Stale &&
      PImpl->Board.Config.Version != ConfigVersion())
    PImpl->changeState(MemberState::Active, Sink);
}

void MembershipController::announceLeaveAndStop(uint32_t Unfinished,
                                                ActionSink &Sink) {
  if (PImpl->Board.Self.State == MemberState::Left)
    return;
  PImpl->changeState(MemberState::Left, Sink);
  Sink.stop(Unfinished);
}

} // namespace indigopoint
