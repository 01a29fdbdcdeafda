#include "probe_scheduler.h"

#include <algorithm>

namespace indigopoint {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ProbePeriod(200);
constexpr milliseconds DirectTimeout(100);
// Number of random members that are asked to probe indirectly or that one sync
// peer is chosen from.
constexpr size_t RandomPeerCount = 3;
constexpr milliseconds BaseSuspicionTimeout(600);

// Limit for the size of the member updates in one probe. The updates of half a
// probe period cost as much as the probe itself.
constexpr size_t UpdateBytes = 400;
// A page of the member table fits into one Ethernet frame with the other
// fields.
constexpr size_t PageBytes = 800;

// Two missing answers in a row can be one dead member and one lost datagram.
// More suggest that this instance itself loses datagrams. The limit keeps the
// extra time to detect a real death below one second.
constexpr uint32_t MaxMissedAckScore = 4;

// Gossip occasionally misses a member. Reading a page of another member's table
// every two seconds repairs this.
constexpr milliseconds SyncPeriod(2000);
// When a whole region starts at once, gossip takes minutes to spread all state
// changes, so pages are read more often at first.
constexpr milliseconds StartupSyncPeriod(500);
constexpr std::chrono::seconds StartupPeriod(60);
constexpr milliseconds JoiningSyncPeriod(50);
constexpr milliseconds AddressProbePeriod(1000);
constexpr size_t MaxAddressesAtOnce = 16;

} // namespace

MemberUpdate describe(const SelfState &Self) {
  return {Self.Name, Self.Zone, Self.Address, Self.State, Self.OwnIncarnation};
}

ProbeScheduler::ProbeScheduler(Blackboard &Board, MemberRegistry &Registry,
                               UpdateQueue &Updates)
    : Board(Board), Registry(Registry), Updates(Updates),
      StartedAt(Board.now()), AddressesToProbe(Board.Settings.Seeds) {
  // Spreads the probes of instances that start together.
  NextProbe =
      Board.now() + Duration(Board.Random.below(Duration(ProbePeriod).count()));
}

void ProbeScheduler::onTick(ActionSink &Sink) {
  checkSentProbes(Sink);
  if (Board.now() >= NextProbe) {
    NextProbe = std::max(NextProbe + ProbePeriod, Board.now());
    probeNext(Sink);
  }
  if (Board.now() >= NextAddressProbe)
    probeNextAddresses(Sink);
  if (Board.now() >= NextSync)
    synchronise(Sink);
}

Probe ProbeScheduler::makeProbe(const Member *Target) {
  Probe NewProbe;
  NewProbe.Sequence = NextSequence++;
  NewProbe.Version = Board.Config.Version;
  NewProbe.Updates.push_back(describe(Board.Self));
  // A member that is suspected or declared dead has to be told, so that it can
  // refute.
  if (Target != nullptr) {
    MemberUpdate Update = Registry.describe(*Target);
    if (Update.State == MemberState::Suspect ||
        Update.State == MemberState::Dead)
      NewProbe.Updates.push_back(std::move(Update));
  }
  Updates.appendTo(UpdateBytes, Board.Members.ById.size() + 1,
                   NewProbe.Updates);
  return NewProbe;
}

uint64_t ProbeScheduler::sendProbe(const Member &Target, ActionSink &Sink) {
  Probe NewProbe = makeProbe(&Target);
  const uint64_t Sequence = NewProbe.Sequence;
  Sink.send(Target.Address, std::move(NewProbe));
  return Sequence;
}

void ProbeScheduler::probeAddress(Endpoint Address, ActionSink &Sink) {
  Sink.send(Address, makeProbe(nullptr));
}

void ProbeScheduler::checkSentProbes(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  for (auto It = SentProbes.begin(); It != SentProbes.end();) {
    SentProbe &CurrentProbe = It->second;
    const Duration Age = Now - CurrentProbe.SentAt;
    if (!CurrentProbe.Answered && !CurrentProbe.IndirectProbesSent &&
        Age >= DirectTimeout) {
      CurrentProbe.IndirectProbesSent = true;
      sendIndirectProbes(It->first, CurrentProbe, Sink);
    }
    if (Age < ProbePeriod) {
      ++It;
      continue;
    }
    if (!CurrentProbe.Answered) {
      raiseMissedAckScore();
      Registry.suspect(CurrentProbe.Target,
                       BaseSuspicionTimeout *
                           (MissedAckScore > 1 ? MissedAckScore : 1),
                       Sink);
    }
    It = SentProbes.erase(It);
  }
  std::erase_if(ProbesForOthers, [Now](const auto &Entry) {
    return Now - Entry.second.SentAt > 2 * ProbePeriod;
  });
}

void ProbeScheduler::sendIndirectProbes(uint64_t Sequence,
                                        const SentProbe &CurrentProbe,
                                        ActionSink &Sink) {
  for (const Member *Helper :
       randomMembers(RandomPeerCount, CurrentProbe.Target))
    Sink.send(Helper->Address, IndirectProbe{Sequence, CurrentProbe.Target});
}

void ProbeScheduler::probeNext(ActionSink &Sink) {
  if (Board.Members.Generation != SeenGeneration)
    refreshOrder();
  for (size_t Tried = 0; Tried <= ProbeOrder.size(); ++Tried) {
    if (NextPosition >= ProbeOrder.size()) {
      IdsInProbeOrder.clear();
      ProbeOrder.clear();
      refreshOrder();
      NextPosition = 0;
      if (ProbeOrder.empty())
        return;
    }
    const InstanceId Id = ProbeOrder[NextPosition++];
    const Member *Target = Board.Members.find(Id);
    if (Target == nullptr || !isAlive(Target->State))
      continue;
    SentProbes[sendProbe(*Target, Sink)] = {Id, Board.now()};
    return;
  }
}

// New members are inserted at a random position of the current round. A round
// of a large region takes minutes, and otherwise this instance would not probe
// the new members before it ends.
void ProbeScheduler::refreshOrder() {
  SeenGeneration = Board.Members.Generation;
  const size_t FirstPosition = std::min(NextPosition, ProbeOrder.size());
  for (const auto &[Id, Peer] : Board.Members.ById) {
    if (!isAlive(Peer.State) || !IdsInProbeOrder.insert(Id).second)
      continue;
    const size_t InsertPosition =
        FirstPosition +
        Board.Random.below(ProbeOrder.size() - FirstPosition + 1);
    ProbeOrder.insert(
        ProbeOrder.begin() + static_cast<std::ptrdiff_t>(InsertPosition), Id);
  }
}

void ProbeScheduler::addAddressToProbe(Endpoint Address) {
  if (Address != Board.Self.Address &&
      std::find(AddressesToProbe.begin(), AddressesToProbe.end(), Address) ==
          AddressesToProbe.end())
    AddressesToProbe.push_back(Address);
}

bool ProbeScheduler::hasNoActiveMember() const {
  return Board.Self.State == MemberState::Joining &&
         Registry.countOf(MemberState::Active) == 0;
}

// Addresses without a live member: addresses from the platform's list, and
// those of dead members, which may be on the other side of a partition.
std::vector<Endpoint> ProbeScheduler::addressesWithoutMember() const {
  std::vector<Endpoint> Addresses = AddressesToProbe;
  for (const auto &[Id, Peer] : Board.Members.ById)
    if (Peer.State == MemberState::Dead)
      Addresses.push_back(Peer.Address);
  std::sort(Addresses.begin(), Addresses.end());
  Addresses.erase(std::unique(Addresses.begin(), Addresses.end()),
                  Addresses.end());
  for (const auto &[Id, Peer] : Board.Members.ById)
    if (isAlive(Peer.State))
      std::erase(Addresses, Peer.Address);
  return Addresses;
}

void ProbeScheduler::probeNextAddresses(ActionSink &Sink) {
  const bool NoActiveMember = hasNoActiveMember();
  NextAddressProbe =
      Board.now() + (NoActiveMember ? ProbePeriod : AddressProbePeriod);
  const std::vector<Endpoint> Addresses = addressesWithoutMember();
  const size_t Count =
      std::min(Addresses.size(), NoActiveMember ? MaxAddressesAtOnce : 1);
  for (size_t Index = 0; Index < Count; ++Index) {
    const Endpoint Address = Addresses[NextAddressIndex++ % Addresses.size()];
    const Member *Dead = nullptr;
    for (const auto &[Id, Peer] : Board.Members.ById)
      if (Peer.Address == Address && Peer.State == MemberState::Dead)
        Dead = &Peer;
    if (Dead != nullptr)
      sendProbe(*Dead, Sink);
    else
      probeAddress(Address, Sink);
  }
}

void ProbeScheduler::restartSync() {
  Synced = false;
  SyncPeer = InstanceId();
  SyncCursor = InstanceId();
}

// A joining instance reads the table of one active member page by page, because
// it has to know every active member before it may become active.
void ProbeScheduler::synchronise(ActionSink &Sink) {
  const bool Joining = Board.Self.State == MemberState::Joining && !Synced;
  const bool IsStartingUp = Board.now() - StartedAt < StartupPeriod;
  NextSync = Board.now() + (Joining        ? JoiningSyncPeriod
                            : IsStartingUp ? StartupSyncPeriod
                                           : SyncPeriod);
  const Member *Peer = Board.Members.find(SyncPeer);
  if (Peer == nullptr || Peer->State != MemberState::Active || !Joining) {
    Peer = nullptr;
    for (const Member *Candidate : randomMembers(RandomPeerCount, InstanceId()))
      if (Candidate->State == MemberState::Active)
        Peer = Candidate;
    if (Peer == nullptr)
      return;
    if (Joining)
      SyncCursor = InstanceId();
    SyncPeer = Peer->Id;
  }
  Probe NewProbe = makeProbe(Peer);
  NewProbe.Sync = true;
  NewProbe.SyncAfter = SyncCursor;
  SyncSequence = NewProbe.Sequence;
  Sink.send(Peer->Address, std::move(NewProbe));
}

void ProbeScheduler::answer(Endpoint From, const Sender &Origin,
                            const Probe &Received, ActionSink &Sink) {
  ProbeAck Ack;
  Ack.Sequence = Received.Sequence;
  Ack.Version = Board.Config.Version;
  Ack.Updates.push_back(describe(Board.Self));
  // The prober learns from this entry that it is suspected or declared dead,
  // and from its absence that it is not.
  const Member *Requester = Board.Members.find(Origin.Instance);
  if (Requester != nullptr) {
    MemberUpdate Update = Registry.describe(*Requester);
    if (Update.State == MemberState::Suspect || !isAlive(Update.State))
      Ack.Updates.push_back(std::move(Update));
  }
  Updates.appendTo(UpdateBytes, Board.Members.ById.size() + 1, Ack.Updates);
  if (Received.Sync)
    Ack.SyncedTo =
        Registry.appendPage(Received.SyncAfter, PageBytes, Ack.Updates);
  Sink.send(From, std::move(Ack));
}

void ProbeScheduler::onProbeAck(const Sender &Origin, const ProbeAck &Received,
                                ActionSink &Sink) {
  if (Received.Sequence == SyncSequence && Origin.Instance == SyncPeer) {
    SyncCursor = Received.SyncedTo;
    Synced = Synced || SyncCursor == InstanceId();
    SyncSequence = 0;
  }
  const auto It = SentProbes.find(Received.Sequence);
  if (It != SentProbes.end())
    recordAnswer(It->second, Origin);
  const auto RelayedIt = ProbesForOthers.find(Received.Sequence);
  if (RelayedIt == ProbesForOthers.end() ||
      RelayedIt->second.Target != Origin.Instance)
    return;
  ProbeAck Ack;
  Ack.Sequence = RelayedIt->second.Sequence;
  Ack.Version = Board.Config.Version;
  // The updates may contain a refutation by the target. Passing them on lets it
  // reach the requester at once.
  Ack.Updates = Received.Updates;
  Sink.send(RelayedIt->second.Requester, std::move(Ack));
  ProbesForOthers.erase(RelayedIt);
}

void ProbeScheduler::recordAnswer(SentProbe &CurrentProbe,
                                  const Sender &Origin) {
  const bool Direct = Origin.Instance == CurrentProbe.Target;
  // Without an indirect probe, an answer of another instance means that it uses
  // the address of the target.
  if (!Direct && !CurrentProbe.IndirectProbesSent)
    return;
  const auto Target = Board.Members.ById.find(CurrentProbe.Target);
  if (Target != Board.Members.ById.end() && (Direct || !CurrentProbe.Answered))
    Target->second.RelayMember = Direct ? InstanceId() : Origin.Instance;
  if (!CurrentProbe.Answered)
    lowerMissedAckScore();
  CurrentProbe.Answered = true;
}

void ProbeScheduler::onIndirectProbe(Endpoint From,
                                     const IndirectProbe &Received,
                                     ActionSink &Sink) {
  const Member *Target = Board.Members.find(Received.Target);
  if (Target == nullptr || !isAlive(Target->State))
    return;
  ProbesForOthers[sendProbe(*Target, Sink)] = {Target->Id, From,
                                               Received.Sequence, Board.now()};
}

void ProbeScheduler::discardSentProbes() {
  SentProbes.clear();
  ProbesForOthers.clear();
  NextProbe = Board.now();
}

uint64_t ProbeScheduler::probeRandomMembers(size_t Count, ActionSink &Sink) {
  const uint64_t First = NextSequence;
  for (const Member *Target : randomMembers(Count, InstanceId()))
    sendProbe(*Target, Sink);
  return First;
}

void ProbeScheduler::announce(size_t Count, ActionSink &Sink) {
  probeRandomMembers(Count, Sink);
}

std::vector<const Member *> ProbeScheduler::randomMembers(size_t Count,
                                                          InstanceId Excluded) {
  std::vector<const Member *> Candidates;
  for (const auto &[Id, Peer] : Board.Members.ById)
    if (Id != Excluded && isAlive(Peer.State))
      Candidates.push_back(&Peer);
  Count = std::min(Count, Candidates.size());
  for (size_t Index = 0; Index < Count; ++Index)
    std::swap(
        Candidates[Index],
        Candidates[Index + Board.Random.below(Candidates.size() - Index)]);
  Candidates.resize(Count);
  return Candidates;
}

void ProbeScheduler::raiseMissedAckScore() {
  MissedAckScore = std::min(MissedAckScore + 1, MaxMissedAckScore);
  Registry.setSuspicionTimeout(BaseSuspicionTimeout *
                               (MissedAckScore > 1 ? MissedAckScore : 1));
}

void ProbeScheduler::lowerMissedAckScore() {
  MissedAckScore = MissedAckScore > 0 ? MissedAckScore - 1 : 0;
  Registry.setSuspicionTimeout(BaseSuspicionTimeout *
                               (MissedAckScore > 1 ? MissedAckScore : 1));
}

} // namespace indigopoint
