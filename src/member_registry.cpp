#include "member_registry.h"

#include <utility>
#include <vector>

namespace indigopoint {

namespace {

// A member that left is remembered until no update that calls it alive can
// still be on its way; a dead one for as long as a partition usually lasts, to
// be probed until it is reachable again.
constexpr std::chrono::seconds LeftMemory(60);
constexpr std::chrono::hours DeadMemory(2);

std::pair<uint64_t, BootId> bootOf(const Incarnation &I) {
  return {I.BootTime, I.Boot};
}

bool isDeclaredBySelf(MemberState State) {
  return State != MemberState::Suspect && State != MemberState::Dead;
}

} // namespace

// A region is served by its own members only. A zone that the configuration
// in force does not know is taken as one of this region.
bool MemberRegistry::isOfRegion(const MemberUpdate &Update) const {
  for (const ZoneConfig &Zone : Board.Config.Zones)
    if (Zone.Name == Update.Zone)
      return Zone.Region == Board.Self.Region;
  return true;
}

void MemberRegistry::apply(const MemberUpdate &Update, ActionSink &Sink) {
  const auto It = Board.Members.ById.find(instanceIdOf(Update.Name));
  if (It == Board.Members.ById.end()) {
    if (isDeclaredBySelf(Update.State) && isOfRegion(Update))
      admit(Update);
    return;
  }
  Member &Known = It->second;
  if (bootOf(Update.MemberIncarnation) < bootOf(Known.MemberIncarnation))
    return;
  if (bootOf(Update.MemberIncarnation) > bootOf(Known.MemberIncarnation))
    replace(Known, Update, Sink);
  else
    amend(Known, Update, Sink);
}

void MemberRegistry::admit(const MemberUpdate &Update) {
  if (!isAlive(Update.State))
    return;
  Member &Known = Board.Members.ById[instanceIdOf(Update.Name)];
  Known.Id = instanceIdOf(Update.Name);
  Known.Name = Update.Name;
  Known.Zone = Update.Zone;
  Known.Address = Update.Address;
  Known.MemberIncarnation = Update.MemberIncarnation;
  show(Known, Update.State);
  spread(Known);
}

// A new process of a known name: whatever the old one held is gone.
void MemberRegistry::replace(Member &Known, const MemberUpdate &Update,
                             ActionSink &Sink) {
  if (isAlive(Known.State))
    lose(Known, "replaced by a new process", Sink);
  Suspicions.erase(Known.Id);
  Known.Zone = Update.Zone;
  Known.Address = Update.Address;
  Known.MemberIncarnation = Update.MemberIncarnation;
  Known.RelayMember = InstanceId();
  // What a suspected process of a new boot is doing is not known yet.
  show(Known, Update.State == MemberState::Suspect ? MemberState::Joining
                                                   : Update.State);
  ++Board.Members.Generation;
  spread(Known);
}

// Within one boot the higher counter wins. For one counter a suspicion
// overrides what the member says of itself, and a death overrides both.
void MemberRegistry::amend(Member &Known, const MemberUpdate &Update,
                           ActionSink &Sink) {
  if (Update.MemberIncarnation.Counter < Known.MemberIncarnation.Counter ||
      Known.State == MemberState::Left)
    return;
  const bool Newer =
      Update.MemberIncarnation.Counter > Known.MemberIncarnation.Counter;
  if (isDeclaredBySelf(Update.State)) {
    if (Newer)
      declare(Known, Update, Sink);
    return;
  }
  if (Known.State == MemberState::Dead && !Newer)
    return;
  Known.MemberIncarnation = Update.MemberIncarnation;
  if (Update.State == MemberState::Dead) {
    Suspicions.erase(Known.Id);
    if (isAlive(Known.State))
      lose(Known, "declared dead", Sink);
    show(Known, MemberState::Dead);
    spread(Known);
  } else if (isAlive(Known.State) && Suspicions.count(Known.Id) == 0) {
    startSuspicion(Known, SuspicionTime);
  }
}

void MemberRegistry::declare(Member &Known, const MemberUpdate &Update,
                             ActionSink &Sink) {
  // A member that is joining again has dropped what it held before.
  const bool Rejoins = Update.State == MemberState::Joining;
  if (isAlive(Known.State) && (Rejoins || Update.State == MemberState::Left))
    lose(Known, Rejoins ? "rejoins" : "left", Sink);
  Suspicions.erase(Known.Id);
  Known.MemberIncarnation = Update.MemberIncarnation;
  Known.Address = Update.Address;
  if (Rejoins)
    ++Board.Members.Generation;
  show(Known, Update.State);
  spread(Known);
}

void MemberRegistry::suspect(InstanceId Id, Duration Time, ActionSink &Sink) {
  const auto It = Board.Members.ById.find(Id);
  if (It == Board.Members.ById.end() || !isAlive(It->second.State) ||
      Suspicions.count(Id) != 0)
    return;
  Sink.log(LogLevel::Info, "membership",
           It->second.Name + " does not answer and is suspected");
  startSuspicion(It->second, Time);
}

void MemberRegistry::startSuspicion(Member &Known, Duration Time) {
  Suspicions[Known.Id] = {Board.now(), Time};
  // Only an Active member shows as Suspect, because Suspect members keep what
  // they hold. Joining and Leaving ones must not gain anything by it.
  if (Known.State == MemberState::Active)
    show(Known, MemberState::Suspect);
  spread(Known);
}

void MemberRegistry::suspectSameAddress(InstanceId Id, Duration Time,
                                        ActionSink &Sink) {
  const Member *Heard = Board.Members.find(Id);
  if (Heard == nullptr)
    return;
  std::vector<InstanceId> Others;
  for (const auto &[Other, Known] : Board.Members.ById)
    if (Other != Id && Known.Address == Heard->Address && isAlive(Known.State))
      Others.push_back(Other);
  for (InstanceId Other : Others)
    suspect(Other, Time, Sink);
}

void MemberRegistry::onTick(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  std::vector<InstanceId> Expired;
  for (const auto &[Id, Open] : Suspicions)
    if (Now - Open.Since >= Open.Time)
      Expired.push_back(Id);
  for (InstanceId Id : Expired) {
    Member &Known = Board.Members.ById.at(Id);
    Suspicions.erase(Id);
    lose(Known, "did not refute its suspicion", Sink);
    show(Known, MemberState::Dead);
    spread(Known);
  }
  if (Now < NextCleanUp)
    return;
  NextCleanUp = Now + std::chrono::seconds(1);
  std::erase_if(Board.Members.ById, [Now](const auto &Entry) {
    const Member &Known = Entry.second;
    return (Known.State == MemberState::Left &&
            Now - Known.StateSince > LeftMemory) ||
           (Known.State == MemberState::Dead &&
            Now - Known.StateSince > DeadMemory);
  });
}

void MemberRegistry::restartSuspicions() {
  for (auto &[Id, Open] : Suspicions)
    Open.Since = Board.now();
}

MemberUpdate MemberRegistry::describe(const Member &Known) const {
  const bool Suspected = Suspicions.count(Known.Id) != 0;
  return {Known.Name, Known.Zone, Known.Address,
          Suspected ? MemberState::Suspect : Known.State,
          Known.MemberIncarnation};
}

InstanceId MemberRegistry::page(InstanceId After, size_t Bytes,
                                std::vector<MemberUpdate> &Out) const {
  size_t Used = 0;
  InstanceId Last = After;
  for (auto It = Board.Members.ById.upper_bound(After);
       It != Board.Members.ById.end(); ++It) {
    if (!isAlive(It->second.State))
      continue;
    // A suspicion is left out: who does not know the member could not tell
    // what it was doing before.
    MemberUpdate Update = describe(It->second);
    Update.State = It->second.State == MemberState::Suspect
                       ? MemberState::Active
                       : It->second.State;
    Used += estimatedBytes(Update);
    if (Used > Bytes)
      return Last;
    Last = It->first;
    Out.push_back(std::move(Update));
  }
  return InstanceId();
}

size_t MemberRegistry::countOf(MemberState State) const {
  size_t Count = 0;
  for (const auto &[Id, Known] : Board.Members.ById)
    Count += Known.State == State ? 1 : 0;
  return Count;
}

size_t MemberRegistry::countAlive() const {
  size_t Count = 0;
  for (const auto &[Id, Known] : Board.Members.ById)
    Count += isAlive(Known.State) ? 1 : 0;
  return Count;
}

void MemberRegistry::show(Member &Known, MemberState State) {
  if (Known.StateSince != TimePoint() && Known.State == State)
    return;
  Known.State = State;
  Known.StateSince = Board.now();
  ++Board.Members.Generation;
}

void MemberRegistry::lose(const Member &Known, std::string_view Reason,
                          ActionSink &Sink) {
  ++Board.EngineMetrics.MembersLost;
  Sink.log(LogLevel::Info, "membership",
           Known.Name + " " + std::string(Reason));
  if (OnLost)
    OnLost(Known.Id, Sink);
}

} // namespace indigopoint
