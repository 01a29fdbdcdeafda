#include "upstream_registry.h"

#include <algorithm>
#include <array>
#include <set>

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 3> StateNames = {"ready", "draining",
                                                        "unregistered"};

// A registration can lapse while the store is unavailable. An upstream that is
// still running registers again within this time after the store is
// available again.
constexpr Duration ReRegistrationTime = std::chrono::milliseconds(2500);

// Whether the upstream process was restarted under the same id. It has then
// lost all state of its earlier flows.
bool isRestart(const UpstreamRegistration &OldRegistration,
               const UpstreamRegistration &NewRegistration) {
  return OldRegistration.StartedAtMs != NewRegistration.StartedAtMs ||
         OldRegistration.Address != NewRegistration.Address;
}

} // namespace

std::string_view nameOf(UpstreamState Value) {
  return StateNames.at(static_cast<size_t>(Value));
}

UpstreamRegistry::Change
UpstreamRegistry::put(const UpstreamRegistration &Registration,
                      uint64_t CreatedRevision, TimePoint Now) {
  auto [It, IsNew] = Upstreams.try_emplace(Registration.Id, Opts);
  Upstream &Entry = It->second;
  // A registration that lapsed or was lost with the store's latest changes is
  // created again; instances that start later know only its new revision.
  Entry.CreatedRevision = CreatedRevision;
  const UpstreamState NewState =
      Registration.Draining ? UpstreamState::Draining : UpstreamState::Ready;
  // An unchanged registration must not restart the warm-up.
  if (!IsNew && Entry.Registration == Registration && Entry.State == NewState)
    return Change::None;
  Change Result = Change::Updated;
  if (IsNew)
    Result = Change::Added;
  else if (isRestart(Entry.Registration, Registration))
    Result = Change::Restarted;
  else if (NewState == UpstreamState::Draining && Entry.State != NewState)
    Result = Change::DrainStarted;
  else if (Entry.State == UpstreamState::Unregistered)
    Result = Change::RegisteredAgain;
  if (!IsNew)
    removeFromIndexes(Entry);
  if (Result == Change::Restarted) {
    Entry.Reachability.reset();
    Entry.ResponseTimes = {};
    Entry.Exchanges.reset(Now);
    Entry.Responsiveness.reset(Now);
  }
  Entry.Registration = Registration;
  Entry.State = NewState;
  Entry.WarmupEnd = Now + Registration.WarmupLeft;
  if (Result == Change::Added || Result == Change::Restarted ||
      Result == Change::RegisteredAgain)
    Entry.RegisteredAt = Now;
  addToIndexes(Entry);
  return Result;
}

UpstreamRegistry::Change UpstreamRegistry::remove(UpstreamId Id, TimePoint Now,
                                                  RemovalReason Reason) {
  Upstream *Entry = find(Id);
  if (Entry == nullptr)
    return Change::None;
  Entry->HasUnusableEntry = Reason == RemovalReason::Unusable;
  if (Entry->State == UpstreamState::Unregistered)
    return Change::None;
  Entry->State = UpstreamState::Unregistered;
  Entry->UnregisteredAt = Now;
  return Change::Removed;
}

std::vector<UpstreamId>
UpstreamRegistry::missingFrom(const std::vector<UpstreamId> &PresentIds) const {
  const std::set<UpstreamId> PresentIdSet(PresentIds.begin(), PresentIds.end());
  std::vector<UpstreamId> Out;
  for (const auto &[Id, Entry] : Upstreams)
    if (Entry.State != UpstreamState::Unregistered &&
        PresentIdSet.count(Id) == 0)
      Out.push_back(Id);
  return Out;
}

void UpstreamRegistry::expire(TimePoint Now, Duration FlowLifetime) {
  for (auto It = Upstreams.begin(); It != Upstreams.end();) {
    Upstream &Entry = It->second;
    const bool IsExpired = Entry.State == UpstreamState::Unregistered &&
                           Now - Entry.UnregisteredAt > FlowLifetime;
    if (IsExpired)
      removeFromIndexes(Entry);
    It = IsExpired ? Upstreams.erase(It) : std::next(It);
  }
}

Upstream *UpstreamRegistry::find(UpstreamId Id) {
  const auto It = Upstreams.find(Id);
  return It == Upstreams.end() ? nullptr : &It->second;
}

Upstream *UpstreamRegistry::findByTag(const FlowAddress &Flow, FlowTag Tag) {
  return findInTagGroup(Tag,
                        [&Flow](UpstreamId Id) { return tagOf(Flow, Id); });
}

Upstream *UpstreamRegistry::findByOpeningTag(const FlowAddress &Flow,
                                             FlowTag Tag,
                                             uint32_t InitialSequence) {
  return findInTagGroup(Tag, [&Flow, InitialSequence](UpstreamId Id) {
    return openingTagOf(Flow, Id, InitialSequence);
  });
}

Upstream *UpstreamRegistry::findInTagGroup(
    FlowTag Tag, const std::function<FlowTag(UpstreamId)> &TagOfUpstream) {
  const auto Group = TagGroups.find(tagGroupOf(Tag));
  if (Group == TagGroups.end())
    return nullptr;
  Upstream *Match = nullptr;
  for (Upstream *Candidate : Group->second) {
    // The order of registration is the same on every instance, so all instances
    // choose the same upstream.
    const bool IsEarlier =
        Match == nullptr || Candidate->CreatedRevision < Match->CreatedRevision;
    if (IsEarlier && TagOfUpstream(Candidate->Registration.Id) == Tag)
      Match = Candidate;
  }
  return Match;
}

const Upstream *
UpstreamRegistry::mostRecentlyAnswering(const Upstream &Excluded,
                                        TimePoint Now) const {
  // An upstream that is itself under suspicion is a reference only if there is
  // no other.
  const auto Rank = [Now](const Upstream &Entry) {
    const ReachabilityTracker &State = Entry.Reachability;
    return std::pair(!State.isSuspect(Now) && !State.isCheckRequested(),
                     State.lastAnswer());
  };
  const Upstream *Best = nullptr;
  for (const auto &[Id, Entry] : Upstreams)
    if (&Entry != &Excluded && Entry.State != UpstreamState::Unregistered &&
        Entry.Reachability.lastAnswer() != TimePoint() &&
        (Best == nullptr || Rank(Entry) > Rank(*Best)))
      Best = &Entry;
  return Best;
}

void UpstreamRegistry::assumeCold(
    const std::string &Zone, TimePoint Now,
    const std::function<Duration(const std::string &)> &WarmupTime) {
  for (auto &[Id, Entry] : Upstreams)
    if (Entry.Registration.Zone == Zone)
      Entry.WarmupEnd = std::max(Entry.WarmupEnd,
                                 Now + WarmupTime(Entry.Registration.Service));
}

bool UpstreamRegistry::takesNewFlows(const Upstream &Target) const {
  return Target.State == UpstreamState::Ready &&
         !Evacuations.contains(Target.Registration.Zone);
}

UnansweredExchanges::Counts UpstreamRegistry::countAvailable(
    const std::function<bool(const Upstream &)> &IsCounted) const {
  UnansweredExchanges::Counts Out;
  for (const auto &[Service, Members] : Services) {
    const auto Count = static_cast<size_t>(std::count_if(
        Members.begin(), Members.end(), [&](const Upstream *Member) {
          return takesNewFlows(*Member) && IsCounted(*Member);
        }));
    Out.Upstreams += Count;
    Out.Services += Count > 0 ? 1 : 0;
  }
  return Out;
}

UnansweredExchanges::Counts UpstreamRegistry::available() const {
  return countAvailable([](const Upstream &) { return true; });
}

UnansweredExchanges::Counts
UpstreamRegistry::availableIn(const std::string &Zone) const {
  return countAvailable([&Zone](const Upstream &Member) {
    return Member.Registration.Zone == Zone;
  });
}

TimePoint UpstreamRegistry::lastStartIn(const std::string &Zone) const {
  TimePoint Latest{};
  for (const auto &[Id, Entry] : Upstreams)
    if (Entry.Registration.Zone == Zone)
      Latest = std::max(Latest, Entry.RegisteredAt);
  return Latest;
}

std::vector<Upstream *>
UpstreamRegistry::upstreamsOfZone(const std::string &Zone) {
  std::vector<Upstream *> Out;
  for (auto &[Id, Entry] : Upstreams)
    if (Entry.Registration.Zone == Zone)
      Out.push_back(&Entry);
  return Out;
}

void UpstreamRegistry::forEach(
    const std::function<void(Upstream &)> &OnUpstream) {
  for (auto &[Id, Entry] : Upstreams)
    OnUpstream(Entry);
}

bool UpstreamRegistry::isPresumedStopped(const Upstream &Target) const {
  return Target.State == UpstreamState::Unregistered &&
         LastStoreSync - Target.UnregisteredAt >= ReRegistrationTime &&
         Target.Reachability.lastAnswer() <= Target.UnregisteredAt;
}

bool UpstreamRegistry::isAddressReused(const Upstream &Target) const {
  if (Target.State != UpstreamState::Unregistered || Target.HasUnusableEntry)
    return false;
  return std::any_of(
      Upstreams.begin(), Upstreams.end(), [&](const auto &Entry) {
        return Entry.second.State != UpstreamState::Unregistered &&
               Entry.second.Registration.Address == Target.Registration.Address;
      });
}

const std::vector<Upstream *> &
UpstreamRegistry::upstreamsOfService(const std::string &Service) const {
  static const std::vector<Upstream *> None;
  const auto It = Services.find(Service);
  return It == Services.end() ? None : It->second;
}

size_t UpstreamRegistry::count(UpstreamState State) const {
  return std::count_if(
      Upstreams.begin(), Upstreams.end(),
      [State](const auto &Entry) { return Entry.second.State == State; });
}

size_t UpstreamRegistry::countUnresponsive(TimePoint Now) const {
  return std::count_if(
      Upstreams.begin(), Upstreams.end(), [Now](const auto &Entry) {
        return Entry.second.State != UpstreamState::Unregistered &&
               Entry.second.Responsiveness.isUnresponsive(Now);
      });
}

size_t UpstreamRegistry::countInZone(const std::string &Zone) const {
  return std::count_if(
      Upstreams.begin(), Upstreams.end(), [&Zone](const auto &Entry) {
        return Entry.second.State != UpstreamState::Unregistered &&
               Entry.second.Registration.Zone == Zone;
      });
}

void UpstreamRegistry::addToIndexes(Upstream &Target) {
  TagGroups[tagGroupOf(Target.Registration.Id)].push_back(&Target);
  Services[Target.Registration.Service].push_back(&Target);
}

void UpstreamRegistry::removeFromIndexes(Upstream &Target) {
  const uint16_t Group = tagGroupOf(Target.Registration.Id);
  std::vector<Upstream *> &GroupUpstreams = TagGroups[Group];
  std::erase(GroupUpstreams, &Target);
  if (GroupUpstreams.empty())
    TagGroups.erase(Group);
  std::vector<Upstream *> &ServiceUpstreams =
      Services[Target.Registration.Service];
  std::erase(ServiceUpstreams, &Target);
  if (ServiceUpstreams.empty())
    Services.erase(Target.Registration.Service);
}

} // namespace indigopoint
