#include "probe_scheduler.h"

#include <algorithm>

namespace indigopoint {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ProbePeriod(200);
constexpr milliseconds DirectTimeout(100);
constexpr size_t IndirectProbers = 3;
constexpr milliseconds BaseSuspicion(600);

// Half a probe period of updates costs as much as the probe itself.
constexpr size_t UpdateBytes = 400;
// A page of the member table fits into one Ethernet frame with the rest.
constexpr size_t PageBytes = 800;

// Two misses in a row can be one dead member and a lost datagram; more of them
// point at the own reception. The cap keeps a real death under a second more.
constexpr uint32_t MaxDoubt = 4;

// Gossip misses a member now and then; a page every two seconds repairs it.
constexpr milliseconds SyncPeriod(2000);
// When a whole region starts at once, gossip takes minutes to carry all state
// changes, so pages are read faster at first.
constexpr milliseconds EarlySyncPeriod(500);
constexpr std::chrono::seconds EarlyTime(60);
constexpr milliseconds JoiningSyncPeriod(50);
constexpr milliseconds HintPeriod(1000);
constexpr size_t HintsAtOnce = 16;

} // namespace

MemberUpdate describe(const SelfState &Self) {
  return {Self.Name, Self.Zone, Self.Address, Self.State, Self.OwnIncarnation};
}

ProbeScheduler::ProbeScheduler(Blackboard &Board, MemberRegistry &Registry,
                               UpdateQueue &Updates)
    : Board(Board), Registry(Registry), Updates(Updates),
      StartedAt(Board.now()), CandidateAddresses(Board.Settings.Seeds) {
  // Spreads the probes of instances that start together.
  NextProbe =
      Board.now() + Duration(Board.Random.below(Duration(ProbePeriod).count()));
}

void ProbeScheduler::onTick(ActionSink &Sink) {
  checkOpenProbes(Sink);
  if (Board.now() >= NextProbe) {
    NextProbe = std::max(NextProbe + ProbePeriod, Board.now());
    probeNext(Sink);
  }
  if (Board.now() >= NextHint)
    probeHints(Sink);
  if (Board.now() >= NextSync)
    synchronise(Sink);
}

Probe ProbeScheduler::makeProbe(const Member *Target) {
  Probe Made;
  Made.Sequence = NextSequence++;
  Made.Version = Board.Config.Version;
  Made.Updates.push_back(describe(Board.Self));
  // A member that is suspected or dead must hear of it to refute.
  if (Target != nullptr) {
    MemberUpdate View = Registry.describe(*Target);
    if (View.State == MemberState::Suspect || View.State == MemberState::Dead)
      Made.Updates.push_back(std::move(View));
  }
  Updates.take(UpdateBytes, Board.Members.ById.size() + 1, Made.Updates);
  return Made;
}

uint64_t ProbeScheduler::sendProbe(const Member &Target, ActionSink &Sink) {
  Probe Made = makeProbe(&Target);
  const uint64_t Sequence = Made.Sequence;
  Sink.send(Target.Address, std::move(Made));
  return Sequence;
}

void ProbeScheduler::contact(Endpoint Address, ActionSink &Sink) {
  Sink.send(Address, makeProbe(nullptr));
}

void ProbeScheduler::checkOpenProbes(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  for (auto It = Open.begin(); It != Open.end();) {
    OpenProbe &Waiting = It->second;
    const Duration Age = Now - Waiting.SentAt;
    if (!Waiting.Answered && !Waiting.AskedOthers && Age >= DirectTimeout) {
      Waiting.AskedOthers = true;
      askOthers(It->first, Waiting, Sink);
    }
    if (Age < ProbePeriod) {
      ++It;
      continue;
    }
    if (!Waiting.Answered) {
      raiseDoubt();
      Registry.suspect(Waiting.Target, BaseSuspicion * (Doubt > 1 ? Doubt : 1),
                       Sink);
    }
    It = Open.erase(It);
  }
  std::erase_if(Relayed, [Now](const auto &Entry) {
    return Now - Entry.second.SentAt > 2 * ProbePeriod;
  });
}

void ProbeScheduler::askOthers(uint64_t Sequence, const OpenProbe &Waiting,
                               ActionSink &Sink) {
  for (const Member *Helper : someMembers(IndirectProbers, Waiting.Target))
    Sink.send(Helper->Address, IndirectProbe{Sequence, Waiting.Target});
}

void ProbeScheduler::probeNext(ActionSink &Sink) {
  if (Board.Members.Generation != SeenGeneration)
    refreshOrder();
  for (size_t Tried = 0; Tried <= Order.size(); ++Tried) {
    if (Position >= Order.size()) {
      InOrder.clear();
      Order.clear();
      refreshOrder();
      Position = 0;
      if (Order.empty())
        return;
    }
    const InstanceId Id = Order[Position++];
    const Member *Target = Board.Members.find(Id);
    if (Target == nullptr || !isAlive(Target->State))
      continue;
    Open[sendProbe(*Target, Sink)] = {Id, Board.now()};
    return;
  }
}

// New members go to a random place of the current round: a round of a large
// region takes minutes, and nobody would probe them until it ends.
void ProbeScheduler::refreshOrder() {
  SeenGeneration = Board.Members.Generation;
  const size_t From = std::min(Position, Order.size());
  for (const auto &[Id, Known] : Board.Members.ById) {
    if (!isAlive(Known.State) || !InOrder.insert(Id).second)
      continue;
    const size_t Place = From + Board.Random.below(Order.size() - From + 1);
    Order.insert(Order.begin() + static_cast<std::ptrdiff_t>(Place), Id);
  }
}

void ProbeScheduler::addCandidateAddress(Endpoint Address) {
  if (Address != Board.Self.Address &&
      std::find(CandidateAddresses.begin(), CandidateAddresses.end(),
                Address) == CandidateAddresses.end())
    CandidateAddresses.push_back(Address);
}

bool ProbeScheduler::isLonely() const {
  return Board.Self.State == MemberState::Joining &&
         Registry.countOf(MemberState::Active) == 0;
}

// Addresses without a live member: hints of the platform, and dead members,
// which may sit behind a partition that heals.
std::vector<Endpoint> ProbeScheduler::lostAddresses() const {
  std::vector<Endpoint> Lost = CandidateAddresses;
  for (const auto &[Id, Known] : Board.Members.ById)
    if (Known.State == MemberState::Dead)
      Lost.push_back(Known.Address);
  std::sort(Lost.begin(), Lost.end());
  Lost.erase(std::unique(Lost.begin(), Lost.end()), Lost.end());
  for (const auto &[Id, Known] : Board.Members.ById)
    if (isAlive(Known.State))
      std::erase(Lost, Known.Address);
  return Lost;
}

void ProbeScheduler::probeHints(ActionSink &Sink) {
  const bool Lonely = isLonely();
  NextHint = Board.now() + (Lonely ? ProbePeriod : HintPeriod);
  const std::vector<Endpoint> Lost = lostAddresses();
  const size_t Count = std::min(Lost.size(), Lonely ? HintsAtOnce : 1);
  for (size_t Index = 0; Index < Count; ++Index) {
    const Endpoint Address = Lost[NextHintIndex++ % Lost.size()];
    const Member *Dead = nullptr;
    for (const auto &[Id, Known] : Board.Members.ById)
      if (Known.Address == Address && Known.State == MemberState::Dead)
        Dead = &Known;
    if (Dead != nullptr)
      sendProbe(*Dead, Sink);
    else
      contact(Address, Sink);
  }
}

void ProbeScheduler::restartSync() {
  Synced = false;
  SyncPeer = InstanceId();
  SyncCursor = InstanceId();
}

// A joiner reads the table of one active member page by page, because it has
// to know every active member before it may take its place among them.
void ProbeScheduler::synchronise(ActionSink &Sink) {
  const bool Joining = Board.Self.State == MemberState::Joining && !Synced;
  const bool Early = Board.now() - StartedAt < EarlyTime;
  NextSync = Board.now() + (Joining ? JoiningSyncPeriod
                            : Early ? EarlySyncPeriod
                                    : SyncPeriod);
  const Member *Peer = Board.Members.find(SyncPeer);
  if (Peer == nullptr || Peer->State != MemberState::Active || !Joining) {
    Peer = nullptr;
    for (const Member *Candidate : someMembers(IndirectProbers, InstanceId()))
      if (Candidate->State == MemberState::Active)
        Peer = Candidate;
    if (Peer == nullptr)
      return;
    if (Joining)
      SyncCursor = InstanceId();
    SyncPeer = Peer->Id;
  }
  Probe Made = makeProbe(Peer);
  Made.Sync = true;
  Made.SyncAfter = SyncCursor;
  SyncSequence = Made.Sequence;
  Sink.send(Peer->Address, std::move(Made));
}

void ProbeScheduler::answer(Endpoint From, const Sender &Origin,
                            const Probe &Received, ActionSink &Sink) {
  ProbeAck Ack;
  Ack.Sequence = Received.Sequence;
  Ack.Version = Board.Config.Version;
  Ack.Updates.push_back(describe(Board.Self));
  // The prober learns its standing from this entry or from its absence.
  const Member *Asker = Board.Members.find(Origin.Instance);
  if (Asker != nullptr) {
    MemberUpdate View = Registry.describe(*Asker);
    if (View.State == MemberState::Suspect || !isAlive(View.State))
      Ack.Updates.push_back(std::move(View));
  }
  Updates.take(UpdateBytes, Board.Members.ById.size() + 1, Ack.Updates);
  if (Received.Sync)
    Ack.SyncedTo = Registry.page(Received.SyncAfter, PageBytes, Ack.Updates);
  Sink.send(From, std::move(Ack));
}

void ProbeScheduler::onProbeAck(const Sender &Origin, const ProbeAck &Received,
                                ActionSink &Sink) {
  if (Received.Sequence == SyncSequence && Origin.Instance == SyncPeer) {
    SyncCursor = Received.SyncedTo;
    Synced = Synced || SyncCursor == InstanceId();
    SyncSequence = 0;
  }
  const auto It = Open.find(Received.Sequence);
  if (It != Open.end())
    settle(It->second, Origin);
  const auto Asked = Relayed.find(Received.Sequence);
  if (Asked == Relayed.end() || Asked->second.Target != Origin.Instance)
    return;
  ProbeAck Ack;
  Ack.Sequence = Asked->second.Sequence;
  Ack.Version = Board.Config.Version;
  // A refutation of the target reaches the asker at once this way.
  Ack.Updates = Received.Updates;
  Sink.send(Asked->second.Asker, std::move(Ack));
  Relayed.erase(Asked);
}

void ProbeScheduler::settle(OpenProbe &Waiting, const Sender &Origin) {
  const bool Direct = Origin.Instance == Waiting.Target;
  // Nobody else was asked yet: another instance uses the target's address.
  if (!Direct && !Waiting.AskedOthers)
    return;
  const auto Target = Board.Members.ById.find(Waiting.Target);
  if (Target != Board.Members.ById.end() && (Direct || !Waiting.Answered))
    Target->second.RelayMember = Direct ? InstanceId() : Origin.Instance;
  if (!Waiting.Answered)
    lowerDoubt();
  Waiting.Answered = true;
}

void ProbeScheduler::onIndirectProbe(Endpoint From,
                                     const IndirectProbe &Received,
                                     ActionSink &Sink) {
  const Member *Target = Board.Members.find(Received.Target);
  if (Target == nullptr || !isAlive(Target->State))
    return;
  Relayed[sendProbe(*Target, Sink)] = {Target->Id, From, Received.Sequence,
                                       Board.now()};
}

void ProbeScheduler::forgetOpenProbes() {
  Open.clear();
  Relayed.clear();
  NextProbe = Board.now();
}

uint64_t ProbeScheduler::probeRandomMembers(size_t Count, ActionSink &Sink) {
  const uint64_t First = NextSequence;
  for (const Member *Target : someMembers(Count, InstanceId()))
    sendProbe(*Target, Sink);
  return First;
}

void ProbeScheduler::announce(size_t Count, ActionSink &Sink) {
  probeRandomMembers(Count, Sink);
}

std::vector<const Member *> ProbeScheduler::someMembers(size_t Count,
                                                        InstanceId Except) {
  std::vector<const Member *> Found;
  for (const auto &[Id, Known] : Board.Members.ById)
    if (Id != Except && isAlive(Known.State))
      Found.push_back(&Known);
  Count = std::min(Count, Found.size());
  for (size_t Index = 0; Index < Count; ++Index)
    std::swap(Found[Index],
              Found[Index + Board.Random.below(Found.size() - Index)]);
  Found.resize(Count);
  return Found;
}

void ProbeScheduler::raiseDoubt() {
  Doubt = std::min(Doubt + 1, MaxDoubt);
  Registry.setSuspicionTime(BaseSuspicion * (Doubt > 1 ? Doubt : 1));
}

void ProbeScheduler::lowerDoubt() {
  Doubt = Doubt > 0 ? Doubt - 1 : 0;
  Registry.setSuspicionTime(BaseSuspicion * (Doubt > 1 ? Doubt : 1));
}

} // namespace indigopoint
