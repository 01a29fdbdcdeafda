#include "upstream_registry.h"

#include <algorithm>
#include <array>
#include <set>

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 3> StateNames = {"ready", "draining",
                                                        "unregistered"};

// A registration that lapsed while the store was away is back this soon after
// the store's return, if its upstream lives.
constexpr Duration ReturnTime = std::chrono::milliseconds(2500);

// An upstream that started again under its id holds nothing of before.
bool isRestart(const UpstreamRegistration &Old,
               const UpstreamRegistration &New) {
  return Old.StartedAtMs != New.StartedAtMs || Old.Address != New.Address;
}

} // namespace

std::string_view nameOf(UpstreamState Value) {
  return StateNames.at(static_cast<size_t>(Value));
}

UpstreamRegistry::Change
UpstreamRegistry::put(const UpstreamRegistration &Given,
                      uint64_t CreatedRevision, TimePoint Now) {
  auto [At, Added] = Upstreams.try_emplace(Given.Id);
  Upstream &Entry = At->second;
  const UpstreamState Next =
      Given.Draining ? UpstreamState::Draining : UpstreamState::Ready;
  // A repeated copy must not start the warm-up anew.
  if (!Added && Entry.Registration == Given && Entry.State == Next)
    return Change::None;
  Change Result = Change::Updated;
  if (Added)
    Result = Change::Added;
  else if (isRestart(Entry.Registration, Given))
    Result = Change::Restarted;
  else if (Next == UpstreamState::Draining && Entry.State != Next)
    Result = Change::Drained;
  else if (Entry.State == UpstreamState::Unregistered)
    Result = Change::Returned;
  if (!Added)
    unlink(Entry);
  if (Result == Change::Restarted)
    Entry.Reachability = {};
  Entry.Registration = Given;
  Entry.State = Next;
  Entry.CreatedRevision = CreatedRevision;
  Entry.WarmupEnd = Now + Given.WarmupLeft;
  link(Entry);
  return Result;
}

UpstreamRegistry::Change UpstreamRegistry::remove(UpstreamId Id,
                                                  TimePoint Now) {
  Upstream *Entry = find(Id);
  if (Entry == nullptr || Entry->State == UpstreamState::Unregistered)
    return Change::None;
  Entry->State = UpstreamState::Unregistered;
  Entry->UnregisteredAt = Now;
  return Change::Removed;
}

void UpstreamRegistry::retain(
    const std::vector<UpstreamId> &Present, TimePoint Now,
    const std::function<void(UpstreamId)> &OnRemoved) {
  const std::set<UpstreamId> Kept(Present.begin(), Present.end());
  for (const auto &[Id, Entry] : Upstreams)
    if (Kept.count(Id) == 0 && remove(Id, Now) == Change::Removed)
      OnRemoved(Id);
}

void UpstreamRegistry::expire(TimePoint Now, Duration FlowLifetime) {
  for (auto At = Upstreams.begin(); At != Upstreams.end();) {
    Upstream &Entry = At->second;
    const bool Over = Entry.State == UpstreamState::Unregistered &&
                      Now - Entry.UnregisteredAt > FlowLifetime;
    if (Over)
      unlink(Entry);
    At = Over ? Upstreams.erase(At) : std::next(At);
  }
}

Upstream *UpstreamRegistry::find(UpstreamId Id) {
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end() ? nullptr : &Found->second;
}

Upstream *UpstreamRegistry::findByTag(const FlowAddress &Flow, FlowTag Tag) {
  const auto Group = TagGroups.find(tagGroupOf(Tag));
  if (Group == TagGroups.end())
    return nullptr;
  Upstream *Found = nullptr;
  for (Upstream *Each : Group->second) {
    // The order of registration is the same on every instance, so all of them
    // take the same one.
    const bool IsEarlier =
        Found == nullptr || Each->CreatedRevision < Found->CreatedRevision;
    if (IsEarlier && tagOf(Flow, Each->Registration.Id) == Tag)
      Found = Each;
  }
  return Found;
}

const Upstream *
UpstreamRegistry::mostRecentlyAnswering(const Upstream &Given) const {
  const Upstream *Last = nullptr;
  for (const auto &[Id, Entry] : Upstreams)
    if (&Entry != &Given && Entry.State != UpstreamState::Unregistered &&
        Entry.Reachability.lastAnswer() >
            (Last == nullptr ? TimePoint() : Last->Reachability.lastAnswer()))
      Last = &Entry;
  return Last;
}

bool UpstreamRegistry::isGone(const Upstream &Given) const {
  return Given.State == UpstreamState::Unregistered &&
         ConfirmedAt - Given.UnregisteredAt >= ReturnTime &&
         Given.Reachability.lastAnswer() <= Given.UnregisteredAt;
}

bool UpstreamRegistry::isAddressReused(const Upstream &Given) const {
  if (Given.State != UpstreamState::Unregistered)
    return false;
  return std::any_of(Upstreams.begin(), Upstreams.end(), [&](const auto &Each) {
    return Each.second.State != UpstreamState::Unregistered &&
           Each.second.Registration.Address == Given.Registration.Address;
  });
}

const std::vector<Upstream *> &
UpstreamRegistry::upstreamsOfService(const std::string &Service) const {
  static const std::vector<Upstream *> None;
  const auto Found = Services.find(Service);
  return Found == Services.end() ? None : Found->second;
}

size_t UpstreamRegistry::count(UpstreamState State) const {
  return std::count_if(
      Upstreams.begin(), Upstreams.end(),
      [State](const auto &Each) { return Each.second.State == State; });
}

void UpstreamRegistry::link(Upstream &Given) {
  TagGroups[tagGroupOf(Given.Registration.Id)].push_back(&Given);
  Services[Given.Registration.Service].push_back(&Given);
}

void UpstreamRegistry::unlink(Upstream &Given) {
  const uint16_t Group = tagGroupOf(Given.Registration.Id);
  std::vector<Upstream *> &Tagged = TagGroups[Group];
  std::erase(Tagged, &Given);
  if (Tagged.empty())
    TagGroups.erase(Group);
  std::vector<Upstream *> &Siblings = Services[Given.Registration.Service];
  std::erase(Siblings, &Given);
  if (Siblings.empty())
    Services.erase(Given.Registration.Service);
}

} // namespace indigopoint
