#include "membership_controller.h"

#include <algorithm>

#include "blackboard.h"
#include "member_registry.h"
#include "probe_scheduler.h"
#include "update_queue.h"

namespace indigopoint {

namespace {

using std::chrono::milliseconds;

// The others suspect a silent member after 200 ms at the earliest and declare
// it dead 600 ms later; a shorter pause cannot have cost it its place.
constexpr milliseconds PauseLimit(300);
constexpr milliseconds ConfirmInterval(100);
constexpr size_t ConfirmProbes = 3;
constexpr std::chrono::seconds AloneAfter(1);
// Joiners that see no active member go first in the order of their ids; each
// further one waits this much longer, in case the ones before it died.
constexpr milliseconds AloneStagger(500);
constexpr size_t AnnounceProbes = 16;

} // namespace

struct MembershipController::Impl {
  explicit Impl(Blackboard &Board)
      : Board(Board), Registry(Board, Updates),
        Scheduler(Board, Registry, Updates), LonelySince(Board.now()) {}

  void learn(const std::vector<MemberUpdate> &Received, ActionSink &Sink);
  void learnOfSelf(const MemberUpdate &Update, ActionSink &Sink);
  void rejoin(uint32_t Counter, ActionSink &Sink);
  void refute(uint32_t Counter, ActionSink &Sink);
  void change(MemberState Next, ActionSink &Sink);
  void confirmStanding(ActionSink &Sink);
  void endStale(ActionSink &Sink);
  void checkAlone(ActionSink &Sink);
  void checkLeaving(ActionSink &Sink);
  size_t holders() const;
  size_t joinersBefore() const;

  Blackboard &Board;
  UpdateQueue Updates;
  MemberRegistry Registry;
  ProbeScheduler Scheduler;
  InstanceLostHook OnLost;
  ResetHook OnReset;
  TimePoint LastTick{};
  TimePoint LonelySince;
  TimePoint WokeAt{};
  TimePoint NextConfirm{};
  /// Acknowledgements of earlier probes say nothing of the time after a pause.
  uint64_t FirstConfirming = 0;
};

MembershipController::MembershipController(Blackboard &Board)
    : PImpl(std::make_unique<Impl>(Board)) {}

MembershipController::~MembershipController() = default;

void MembershipController::setInstanceLostHook(InstanceLostHook Hook) {
  PImpl->Registry.setLostHook(std::move(Hook));
}

void MembershipController::setResetHook(ResetHook Hook) {
  PImpl->OnReset = std::move(Hook);
}

void MembershipController::Impl::learn(
    const std::vector<MemberUpdate> &Received, ActionSink &Sink) {
  for (const MemberUpdate &Update : Received)
    if (Update.Name == Board.Self.Name)
      learnOfSelf(Update, Sink);
    else
      Registry.apply(Update, Sink);
}

void MembershipController::Impl::learnOfSelf(const MemberUpdate &Update,
                                             ActionSink &Sink) {
  SelfState &Self = Board.Self;
  if (Update.MemberIncarnation.Boot != Self.OwnIncarnation.Boot ||
      Update.MemberIncarnation.Counter < Self.OwnIncarnation.Counter ||
      Self.State == MemberState::Left)
    return;
  if (Update.State == MemberState::Dead && Self.Stale)
    return rejoin(Update.MemberIncarnation.Counter, Sink);
  // A stale instance must not claim its place before it knows its standing.
  if (Self.Stale)
    return;
  if (Update.State == MemberState::Dead || Update.State == MemberState::Suspect)
    refute(Update.MemberIncarnation.Counter, Sink);
}

// This process was paused and declared dead meanwhile. Others have taken over
// what it held, and its records are out of date.
void MembershipController::Impl::rejoin(uint32_t Counter, ActionSink &Sink) {
  Sink.log(LogLevel::Warning, "membership",
           "declared dead during a pause; joining again without records");
  Board.Self.OwnIncarnation.Counter = Counter;
  Board.Self.Stale = false;
  LonelySince = Board.now();
  Scheduler.restartSync();
  change(MemberState::Joining, Sink);
  if (OnReset)
    OnReset(Sink);
}

// An instance that was never paused keeps its records when it was declared
// dead wrongly, for example by the other side of a partition. Both sides of a
// partition declare the other one dead, and if all of them dropped or gave up
// what they hold, nobody would be left to hand anything over.
void MembershipController::Impl::refute(uint32_t Counter, ActionSink &Sink) {
  Scheduler.onSuspected();
  Board.Self.OwnIncarnation.Counter = Counter + 1;
  Updates.add(describe(Board.Self));
  Scheduler.announce(ConfirmProbes, Sink);
}

void MembershipController::Impl::change(MemberState Next, ActionSink &Sink) {
  Board.Self.State = Next;
  ++Board.Self.OwnIncarnation.Counter;
  Updates.add(describe(Board.Self));
  Sink.log(LogLevel::Info, "membership",
           "this instance is " + std::string(nameOf(Next)));
  Scheduler.announce(AnnounceProbes, Sink);
}

void MembershipController::onProbe(Endpoint From, const Sender &Origin,
                                   const Probe &Received, ActionSink &Sink) {
  if (PImpl->Board.Self.State == MemberState::Left)
    return;
  PImpl->learn(Received.Updates, Sink);
  PImpl->Registry.suspectSameAddress(Origin.Instance, milliseconds(600), Sink);
  PImpl->Scheduler.answer(From, Origin, Received, Sink);
}

void MembershipController::onProbeAck(Endpoint, const Sender &Origin,
                                      const ProbeAck &Received,
                                      ActionSink &Sink) {
  if (PImpl->Board.Self.State == MemberState::Left)
    return;
  // Only a process known from before the pause can tell that this one was
  // declared dead; a new one has just learned of it from its probe.
  const Member *Witness = PImpl->Board.Members.find(Origin.Instance);
  const bool Confirms = PImpl->Board.Self.Stale && Witness != nullptr &&
                        Witness->MemberIncarnation.Boot == Origin.Boot &&
                        isAlive(Witness->State) &&
                        Received.Sequence >= PImpl->FirstConfirming;
  PImpl->learn(Received.Updates, Sink);
  if (isCurrent(Origin)) {
    PImpl->Registry.suspectSameAddress(Origin.Instance, milliseconds(600),
                                       Sink);
    PImpl->Scheduler.onProbeAck(Origin, Received, Sink);
  }
  if (Confirms && PImpl->Board.Self.Stale)
    PImpl->endStale(Sink);
}

void MembershipController::onIndirectProbe(Endpoint From, const Sender &Origin,
                                           const IndirectProbe &Received,
                                           ActionSink &Sink) {
  if (isCurrent(Origin))
    PImpl->Scheduler.onIndirectProbe(From, Received, Sink);
}

// The list lags, so it only supplies addresses to probe. Its mark of leaving
// instances is not acted on for others: members would see it at different
// times and place the same bucket differently. A leaver says so itself.
void MembershipController::onInstanceList(const InstanceListObserved &List,
                                          ActionSink &) {
  for (auto &[Id, Known] : PImpl->Board.Members.ById)
    Known.Listed =
        std::any_of(List.Instances.begin(), List.Instances.end(),
                    [Name = Known.Name](const ListedInstance &Listed) {
                      return Listed.Name == Name;
                    });
  for (const ListedInstance &Listed : List.Instances) {
    bool Elsewhere = false;
    for (const ZoneConfig &Zone : PImpl->Board.Config.Zones)
      Elsewhere |=
          Zone.Name == Listed.Zone && Zone.Region != PImpl->Board.Self.Region;
    if (!Elsewhere)
      PImpl->Scheduler.addCandidateAddress(Listed.Address);
  }
}

void MembershipController::onDrainRequested(const DrainRequested &Request,
                                            ActionSink &Sink) {
  if (PImpl->Board.Self.StopRequested)
    return;
  PImpl->Board.Self.StopRequested = true;
  PImpl->Board.Self.StopDeadline = PImpl->Board.now() + Request.Limit;
  PImpl->checkLeaving(Sink);
}

bool MembershipController::noticePause(ActionSink &Sink) {
  const TimePoint Now = PImpl->Board.now();
  const bool Paused =
      PImpl->LastTick != TimePoint() && Now - PImpl->LastTick > PauseLimit;
  if (PImpl->LastTick == TimePoint() || Paused)
    PImpl->LastTick = Now;
  if (!Paused || PImpl->Board.Self.State == MemberState::Left)
    return false;
  ++PImpl->Board.EngineMetrics.Pauses;
  PImpl->Board.Self.Stale = true;
  PImpl->WokeAt = Now;
  PImpl->NextConfirm = Now;
  PImpl->Scheduler.forgetOpenProbes();
  PImpl->Registry.restartSuspicions();
  PImpl->FirstConfirming = 0;
  PImpl->confirmStanding(Sink);
  return true;
}

// Asks a few members at once, so that a false alarm costs one round trip.
void MembershipController::Impl::confirmStanding(ActionSink &Sink) {
  if (Board.now() < NextConfirm)
    return;
  NextConfirm = Board.now() + ConfirmInterval;
  const uint64_t First = Scheduler.probeRandomMembers(ConfirmProbes, Sink);
  if (FirstConfirming == 0)
    FirstConfirming = First;
  if (Registry.countAlive() == 0 && Board.now() - WokeAt >= AloneAfter)
    endStale(Sink);
}

void MembershipController::Impl::endStale(ActionSink &Sink) {
  Board.Self.Stale = false;
  // Others may have begun to suspect this instance during the pause.
  ++Board.Self.OwnIncarnation.Counter;
  Updates.add(describe(Board.Self));
  Scheduler.announce(ConfirmProbes, Sink);
}

void MembershipController::onTick(ActionSink &Sink) {
  PImpl->LastTick = PImpl->Board.now();
  if (PImpl->Board.Self.State == MemberState::Left)
    return;
  if (PImpl->Board.Self.Stale)
    PImpl->confirmStanding(Sink);
  PImpl->Registry.onTick(Sink);
  PImpl->Scheduler.onTick(Sink);
  PImpl->checkAlone(Sink);
  PImpl->checkLeaving(Sink);
}

size_t MembershipController::Impl::holders() const {
  return Registry.countOf(MemberState::Active) +
         Registry.countOf(MemberState::Suspect);
}

size_t MembershipController::Impl::joinersBefore() const {
  size_t Count = 0;
  for (const auto &[Id, Known] : Board.Members.ById)
    Count += Known.State == MemberState::Joining && Id < Board.Self.Id ? 1 : 0;
  return Count;
}

void MembershipController::Impl::checkAlone(ActionSink &Sink) {
  if (Board.Self.State != MemberState::Joining || Board.Self.Stale)
    return;
  if (holders() > 0 || Board.Config.Version == ConfigVersion()) {
    if (holders() > 0)
      LonelySince = Board.now();
    return;
  }
  const Duration Wait = AloneAfter + AloneStagger * joinersBefore();
  if (Board.now() - LonelySince >= Wait)
    change(MemberState::Active, Sink);
}

// The last instance stays in place and just finishes its work: nobody could
// take over.
void MembershipController::Impl::checkLeaving(ActionSink &Sink) {
  if (Board.Self.StopRequested && !Board.Self.Stale && holders() > 0 &&
      (Board.Self.State == MemberState::Active ||
       Board.Self.State == MemberState::Joining))
    change(MemberState::Leaving, Sink);
}

bool MembershipController::isCurrent(const Sender &From) const {
  if (From.Instance == PImpl->Board.Self.Id)
    return From.Boot == PImpl->Board.Self.OwnIncarnation.Boot;
  const Member *Known = PImpl->Board.Members.find(From.Instance);
  return Known != nullptr && Known->MemberIncarnation.Boot == From.Boot &&
         isAlive(Known->State);
}

bool MembershipController::isSynced() const {
  return PImpl->Scheduler.isSynced();
}

void MembershipController::becomeActive(ActionSink &Sink) {
  if (PImpl->Board.Self.State == MemberState::Joining &&
      !PImpl->Board.Self.Stale &&
      PImpl->Board.Config.Version != ConfigVersion())
    PImpl->change(MemberState::Active, Sink);
}

void MembershipController::announceLeft(uint32_t Unfinished, ActionSink &Sink) {
  if (PImpl->Board.Self.State == MemberState::Left)
    return;
  PImpl->change(MemberState::Left, Sink);
  Sink.stop(Unfinished);
}

} // namespace indigopoint
