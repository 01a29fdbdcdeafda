#include "member_registry.h"

#include <utility>
#include <vector>

namespace indigopoint {

namespace {

// A member that left is kept until updates that call it alive can no longer
// arrive. A dead member is kept for as long as a partition usually lasts, so
// that it is probed until it is reachable again.
constexpr std::chrono::seconds LeftRetention(60);
constexpr std::chrono::hours DeadRetention(2);

std::pair<uint64_t, BootId> bootOf(const Incarnation &I) {
  return {I.BootTime, I.Boot};
}

bool isSelfReported(MemberState State) {
  return State != MemberState::Suspect && State != MemberState::Dead;
}

} // namespace

// A region is served by its own members only. A zone that the current
// configuration does not contain is assumed to belong to this region.
bool MemberRegistry::isInRegion(const MemberUpdate &Update) const {
  for (const ZoneConfig &Zone : Board.Config.Zones)
    if (Zone.Name == Update.Zone)
      return Zone.Region == Board.Self.Region;
  return true;
}

void MemberRegistry::apply(const MemberUpdate &Update, ActionSink &Sink) {
  const auto It = Board.Members.ById.find(instanceIdOf(Update.Name));
  if (It == Board.Members.ById.end()) {
    if (isSelfReported(Update.State) && isInRegion(Update))
      addMember(Update);
    return;
  }
  Member &Target = It->second;
  if (bootOf(Update.MemberIncarnation) < bootOf(Target.MemberIncarnation))
    return;
  if (bootOf(Update.MemberIncarnation) > bootOf(Target.MemberIncarnation))
    replaceProcess(Target, Update, Sink);
  else
    updateSameBoot(Target, Update, Sink);
}

void MemberRegistry::addMember(const MemberUpdate &Update) {
  if (!isAlive(Update.State))
    return;
  Member &Target = Board.Members.ById[instanceIdOf(Update.Name)];
  Target.Id = instanceIdOf(Update.Name);
  Target.Name = Update.Name;
  Target.Zone = Update.Zone;
  Target.Address = Update.Address;
  Target.MemberIncarnation = Update.MemberIncarnation;
  setState(Target, Update.State);
  queueUpdate(Target);
}

// Handles a new process of a known name. The records of the old process are
// lost.
void MemberRegistry::replaceProcess(Member &Target, const MemberUpdate &Update,
                                    ActionSink &Sink) {
  if (isAlive(Target.State))
    reportLostMember(Target, "replaced by a new process", Sink);
  Suspicions.erase(Target.Id);
  Target.Zone = Update.Zone;
  Target.Address = Update.Address;
  Target.MemberIncarnation = Update.MemberIncarnation;
  Target.RelayMember = InstanceId();
  // The state of a new process that is already suspected is not known, so it is
  // treated as joining until it reports its own state.
  setState(Target, Update.State == MemberState::Suspect ? MemberState::Joining
                                                        : Update.State);
  ++Board.Members.Generation;
  queueUpdate(Target);
}

// Within one boot the higher counter wins. For equal counters a suspicion
// overrides the state that the member reported itself, and a death overrides
// both.
void MemberRegistry::updateSameBoot(Member &Target, const MemberUpdate &Update,
                                    ActionSink &Sink) {
  if (Update.MemberIncarnation.Counter < Target.MemberIncarnation.Counter ||
      Target.State == MemberState::Left)
    return;
  const bool IsNewer =
      Update.MemberIncarnation.Counter > Target.MemberIncarnation.Counter;
  if (isSelfReported(Update.State)) {
    if (IsNewer)
      applySelfReport(Target, Update, Sink);
    return;
  }
  if (Target.State == MemberState::Dead && !IsNewer)
    return;
  Target.MemberIncarnation = Update.MemberIncarnation;
  if (Update.State == MemberState::Dead) {
    Suspicions.erase(Target.Id);
    if (isAlive(Target.State))
      reportLostMember(Target, "declared dead", Sink);
    setState(Target, MemberState::Dead);
    queueUpdate(Target);
  } else if (isAlive(Target.State) && Suspicions.count(Target.Id) == 0) {
    startSuspicion(Target, SuspicionTimeout);
  }
}

void MemberRegistry::applySelfReport(Member &Target, const MemberUpdate &Update,
                                     ActionSink &Sink) {
  // A member that joins again has discarded its records.
  const bool IsRejoining = Update.State == MemberState::Joining;
  if (isAlive(Target.State) &&
      (IsRejoining || Update.State == MemberState::Left))
    reportLostMember(Target, IsRejoining ? "rejoins" : "left", Sink);
  Suspicions.erase(Target.Id);
  Target.MemberIncarnation = Update.MemberIncarnation;
  Target.Address = Update.Address;
  if (IsRejoining)
    ++Board.Members.Generation;
  setState(Target, Update.State);
  queueUpdate(Target);
}

void MemberRegistry::suspect(InstanceId Id, Duration Timeout,
                             ActionSink &Sink) {
  const auto It = Board.Members.ById.find(Id);
  if (It == Board.Members.ById.end() || !isAlive(It->second.State) ||
      Suspicions.count(Id) != 0)
    return;
  Sink.log(LogLevel::Info, "membership",
           It->second.Name + " does not answer and is suspected");
  startSuspicion(It->second, Timeout);
}

void MemberRegistry::startSuspicion(Member &Target, Duration Timeout) {
  Suspicions[Target.Id] = {Board.now(), Timeout};
  // Only an Active member becomes Suspect, because Suspect members keep their
  // buckets and upstreams. As Suspect, Joining and Leaving members would become
  // placement candidates.
  if (Target.State == MemberState::Active)
    setState(Target, MemberState::Suspect);
  queueUpdate(Target);
}

void MemberRegistry::suspectMembersAtSameAddress(InstanceId Id,
                                                 Duration Timeout,
                                                 ActionSink &Sink) {
  const Member *Source = Board.Members.find(Id);
  if (Source == nullptr)
    return;
  std::vector<InstanceId> SameAddressIds;
  for (const auto &[Other, Target] : Board.Members.ById)
    if (Other != Id && Target.Address == Source->Address &&
        isAlive(Target.State))
      SameAddressIds.push_back(Other);
  for (InstanceId Other : SameAddressIds)
    suspect(Other, Timeout, Sink);
}

void MemberRegistry::onTick(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  std::vector<InstanceId> ExpiredIds;
  for (const auto &[Id, ActiveSuspicion] : Suspicions)
    if (Now - ActiveSuspicion.Since >= ActiveSuspicion.Timeout)
      ExpiredIds.push_back(Id);
  for (InstanceId Id : ExpiredIds) {
    Member &Target = Board.Members.ById.at(Id);
    Suspicions.erase(Id);
    reportLostMember(Target, "did not refute its suspicion", Sink);
    setState(Target, MemberState::Dead);
    queueUpdate(Target);
  }
  if (Now < NextCleanUp)
    return;
  NextCleanUp = Now + std::chrono::seconds(1);
  std::erase_if(Board.Members.ById, [Now](const auto &Entry) {
    const Member &Target = Entry.second;
    return (Target.State == MemberState::Left &&
            Now - Target.StateSince > LeftRetention) ||
           (Target.State == MemberState::Dead &&
            Now - Target.StateSince > DeadRetention);
  });
}

void MemberRegistry::restartSuspicions() {
  for (auto &[Id, ActiveSuspicion] : Suspicions)
    ActiveSuspicion.Since = Board.now();
}

MemberUpdate MemberRegistry::describe(const Member &Target) const {
  const bool Suspected = Suspicions.count(Target.Id) != 0;
  return {Target.Name, Target.Zone, Target.Address,
          Suspected ? MemberState::Suspect : Target.State,
          Target.MemberIncarnation};
}

InstanceId MemberRegistry::appendPage(InstanceId AfterId, size_t Bytes,
                                      std::vector<MemberUpdate> &Out) const {
  size_t Used = 0;
  InstanceId Last = AfterId;
  for (auto It = Board.Members.ById.upper_bound(AfterId);
       It != Board.Members.ById.end(); ++It) {
    if (!isAlive(It->second.State))
      continue;
    // A suspected member is reported as Active: a receiver that does not know
    // the member needs its state from before the suspicion.
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
  for (const auto &[Id, Target] : Board.Members.ById)
    Count += Target.State == State ? 1 : 0;
  return Count;
}

size_t MemberRegistry::countAlive() const {
  size_t Count = 0;
  for (const auto &[Id, Target] : Board.Members.ById)
    Count += isAlive(Target.State) ? 1 : 0;
  return Count;
}

void MemberRegistry::setState(Member &Target, MemberState State) {
  if (Target.StateSince != TimePoint() && Target.State == State)
    return;
  Target.State = State;
  Target.StateSince = Board.now();
  ++Board.Members.Generation;
}

void MemberRegistry::reportLostMember(const Member &Target,
                                      std::string_view Reason,
                                      ActionSink &Sink) {
  ++Board.EngineMetrics.MembersLost;
  Sink.log(LogLevel::Info, "membership",
           Target.Name + " " + std::string(Reason));
  if (OnLost)
    OnLost(Target.Id, Sink);
}

} // namespace indigopoint
