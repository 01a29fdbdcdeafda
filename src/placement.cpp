#include "placement.h"

#include <algorithm>
#include <iterator>

#include <xxhash.h>

#include "blackboard.h"
#include "random_source.h"

namespace indigopoint {

namespace {

// Salts for the hashes of buckets, zones and zone overflow, which share keys.
constexpr uint64_t BucketSalt = 0x6275636b6574ULL;
constexpr uint64_t ZoneSalt = 0x7a6f6e65ULL;
constexpr uint64_t OverflowSalt = 0x7370696c6cULL;

bool mayServe(MemberState State) {
  return State == MemberState::Active || State == MemberState::Suspect;
}

uint64_t zoneHash(const std::string &Zone) {
  return XXH64(Zone.data(), Zone.size(), ZoneSalt);
}

// Above this many changes at once, as at the start, a rebuild is cheaper.
constexpr size_t MaxIncrementalChanges = 16;

bool scoresHigher(uint64_t Key, InstanceId A, InstanceId B) {
  return rendezvousScore(Key, A.value()) > rendezvousScore(Key, B.value());
}

size_t preferredZoneIndex(uint32_t Bucket,
                          const std::vector<uint64_t> &Hashes) {
  size_t Best = 0;
  uint64_t BestScore = 0;
  for (size_t Index = 0; Index < Hashes.size(); ++Index) {
    const uint64_t Score = rendezvousScore(Bucket ^ ZoneSalt, Hashes[Index]);
    if (Index == 0 || Score > BestScore) {
      Best = Index;
      BestScore = Score;
    }
  }
  return Best;
}

struct TopTwo {
  InstanceId First;
  InstanceId Second;
};

TopTwo topTwo(uint64_t Key, const std::vector<InstanceId> &Candidates) {
  TopTwo Best;
  uint64_t FirstScore = 0;
  uint64_t SecondScore = 0;
  for (InstanceId Candidate : Candidates) {
    const uint64_t Score = rendezvousScore(Key, Candidate.value());
    if (Best.First == InstanceId() || Score > FirstScore) {
      Best.Second = Best.First;
      SecondScore = FirstScore;
      Best.First = Candidate;
      FirstScore = Score;
    } else if (Best.Second == InstanceId() || Score > SecondScore) {
      Best.Second = Candidate;
      SecondScore = Score;
    }
  }
  return Best;
}

} // namespace

uint32_t bucketOf(FlowKey Flow) {
  return static_cast<uint32_t>(rendezvousScore(Flow.value(), BucketSalt) %
                               FlowBuckets);
}

uint64_t rendezvousScore(uint64_t Key, uint64_t Candidate) {
  const uint64_t Pair[2] = {Key, Candidate};
  return XXH64(Pair, sizeof(Pair), 0);
}

uint64_t rendezvousScore(uint64_t Key, Endpoint Candidate) {
  return rendezvousScore(Key,
                         (uint64_t{Candidate.Address} << 16) | Candidate.Port);
}

InstanceId rendezvousChoice(uint64_t Key,
                            const std::vector<InstanceId> &Candidates) {
  return topTwo(Key, Candidates).First;
}

void Placement::update(const SelfState &Self, const MemberTable &Members,
                       const std::vector<std::string> &RegionZones) {
  std::vector<PlacementCandidate> NewCandidates;
  const auto Add = [&](const std::string &Zone, InstanceId Id) {
    const auto It = std::find(RegionZones.begin(), RegionZones.end(), Zone);
    NewCandidates.push_back(
        {Id, static_cast<size_t>(It - RegionZones.begin())});
  };
  if (mayServe(Self.State))
    Add(Self.Zone, Self.Id);
  for (const auto &[Id, Other] : Members.ById)
    if (mayServe(Other.State))
      Add(Other.Zone, Id);
  std::sort(NewCandidates.begin(), NewCandidates.end());
  const bool ZonesChanged = RegionZones != Zones || Homes.empty();
  if (!ZonesChanged && NewCandidates == CandidatesWithZones)
    return;
  ++Generation;
  std::vector<PlacementCandidate> AddedCandidates;
  std::vector<PlacementCandidate> RemovedCandidates;
  std::set_difference(NewCandidates.begin(), NewCandidates.end(),
                      CandidatesWithZones.begin(), CandidatesWithZones.end(),
                      std::back_inserter(AddedCandidates));
  std::set_difference(CandidatesWithZones.begin(), CandidatesWithZones.end(),
                      NewCandidates.begin(), NewCandidates.end(),
                      std::back_inserter(RemovedCandidates));
  if (ZonesChanged || AddedCandidates.size() + RemovedCandidates.size() >
                          MaxIncrementalChanges) {
    rebuild(RegionZones, NewCandidates);
    return;
  }
  for (const PlacementCandidate &RemovedMember : RemovedCandidates)
    remove(RemovedMember);
  for (const PlacementCandidate &AddedMember : AddedCandidates)
    add(AddedMember);
}

void Placement::rebuild(const std::vector<std::string> &RegionZones,
                        const std::vector<PlacementCandidate> &NewCandidates) {
  const bool ZonesChanged = RegionZones != Zones || Homes.empty();
  Zones = RegionZones;
  CandidatesWithZones = NewCandidates;
  MembersByZone.assign(Zones.size() + 1, {});
  Candidates.clear();
  for (const PlacementCandidate &Entry : CandidatesWithZones) {
    MembersByZone[Entry.Zone].push_back(Entry.Id);
    Candidates.push_back(Entry.Id);
  }
  Owners.clear();
  Homes.resize(FlowBuckets);
  Backups.resize(FlowBuckets);
  if (ZonesChanged) {
    // Without zones, MembersByZone has only the entry of the unknown zone.
    PreferredZones.assign(FlowBuckets, 0);
    std::vector<uint64_t> Hashes;
    for (const std::string &Zone : Zones)
      Hashes.push_back(zoneHash(Zone));
    for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
      PreferredZones[Bucket] =
          static_cast<uint16_t>(preferredZoneIndex(Bucket, Hashes));
  }
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    rebuildBucket(Bucket);
}

// A new member can only displace the current home or backup, so each bucket
// costs at most three hashes.
void Placement::add(const PlacementCandidate &AddedCandidate) {
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    addToBucket(Bucket, AddedCandidate);
  addToOwners(AddedCandidate);
  const auto Insert = [](auto &List, const auto &Value) {
    List.insert(std::lower_bound(List.begin(), List.end(), Value), Value);
  };
  Insert(CandidatesWithZones, AddedCandidate);
  Insert(Candidates, AddedCandidate.Id);
  Insert(MembersByZone[AddedCandidate.Zone], AddedCandidate.Id);
}

void Placement::addToBucket(uint32_t Bucket,
                            const PlacementCandidate &AddedCandidate) {
  const size_t LocalCount = localMembers(PreferredZones[Bucket]).size();
  const bool IsLocal =
      !Zones.empty() && AddedCandidate.Zone == PreferredZones[Bucket];
  if (LocalCount >= 2 && !IsLocal)
    return;
  if (LocalCount == 0 && IsLocal) {
    Backups[Bucket] = Homes[Bucket];
    Homes[Bucket] = AddedCandidate.Id;
  } else if (LocalCount == 1 && IsLocal) {
    // The backup was the best candidate of other zones. A member of the
    // preferred zone takes precedence.
    Backups[Bucket] = InstanceId();
    offerForHomeOrBackup(Bucket, AddedCandidate.Id);
  } else if (LocalCount == 1) {
    const uint64_t Key = Bucket ^ BucketSalt;
    if (Backups[Bucket] == InstanceId() ||
        scoresHigher(Key, AddedCandidate.Id, Backups[Bucket]))
      Backups[Bucket] = AddedCandidate.Id;
  } else {
    offerForHomeOrBackup(Bucket, AddedCandidate.Id);
  }
}

void Placement::offerForHomeOrBackup(uint32_t Bucket, InstanceId Id) {
  const uint64_t Key = Bucket ^ BucketSalt;
  if (Homes[Bucket] == InstanceId() || scoresHigher(Key, Id, Homes[Bucket])) {
    Backups[Bucket] = Homes[Bucket];
    Homes[Bucket] = Id;
  } else if (Backups[Bucket] == InstanceId() ||
             scoresHigher(Key, Id, Backups[Bucket])) {
    Backups[Bucket] = Id;
  }
}

void Placement::remove(const PlacementCandidate &RemovedCandidate) {
  std::erase(CandidatesWithZones, RemovedCandidate);
  std::erase(Candidates, RemovedCandidate.Id);
  std::erase(MembersByZone[RemovedCandidate.Zone], RemovedCandidate.Id);
  removeFromOwners(RemovedCandidate);
  // Only buckets whose home or backup was the removed member change.
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
    if (Homes[Bucket] == RemovedCandidate.Id ||
        Backups[Bucket] == RemovedCandidate.Id)
      rebuildBucket(Bucket);
}

void Placement::addToOwners(const PlacementCandidate &AddedCandidate) {
  const bool ZoneWasEmpty = MembersByZone[AddedCandidate.Zone].empty();
  for (auto It = Owners.begin(); It != Owners.end();) {
    CachedOwner &Cached = It->second;
    const bool SameZone = Cached.Zone == AddedCandidate.Zone;
    if (SameZone && ZoneWasEmpty) {
      It = Owners.erase(It);
      continue;
    }
    if ((SameZone || localMembers(Cached.Zone).empty()) &&
        scoresHigher(It->first.value(), AddedCandidate.Id, Cached.Owner))
      Cached.Owner = AddedCandidate.Id;
    ++It;
  }
}

void Placement::removeFromOwners(const PlacementCandidate &RemovedCandidate) {
  std::erase_if(Owners, [&](const auto &Entry) {
    return Entry.second.Owner == RemovedCandidate.Id;
  });
}

// Members of an unknown zone are candidates only for zones without members.
const std::vector<InstanceId> &Placement::localMembers(size_t Zone) const {
  static const std::vector<InstanceId> None;
  return Zone < Zones.size() ? MembersByZone[Zone] : None;
}

void Placement::rebuildBucket(uint32_t Bucket) {
  const uint64_t Key = Bucket ^ BucketSalt;
  TopTwo Best = topTwo(Key, localMembers(PreferredZones[Bucket]));
  if (Best.Second == InstanceId()) {
    // The only member of the preferred zone is the home. The backup is the
    // instance that becomes the home when the zone has no member left.
    const TopTwo RegionBest = topTwo(Key, Candidates);
    const bool HomeIsRegionBest =
        Best.First == InstanceId() || Best.First == RegionBest.First;
    Best.Second = HomeIsRegionBest ? RegionBest.Second : RegionBest.First;
    if (Best.First == InstanceId())
      Best.First = RegionBest.First;
  }
  Homes[Bucket] = Best.First;
  Backups[Bucket] = Best.Second;
}

size_t Placement::zoneIndex(const std::string &Zone) const {
  return static_cast<size_t>(std::find(Zones.begin(), Zones.end(), Zone) -
                             Zones.begin());
}

bool Placement::isZoneServed(const std::string &Zone) const {
  return !localMembers(zoneIndex(Zone)).empty();
}

InstanceId Placement::home(uint32_t Bucket) const {
  return Homes.empty() ? InstanceId() : Homes[Bucket];
}

InstanceId Placement::backup(uint32_t Bucket) const {
  return Backups.empty() ? InstanceId() : Backups[Bucket];
}

InstanceId Placement::owner(UpstreamId Upstream,
                            const std::string &Zone) const {
  const size_t Index = zoneIndex(Zone);
  const auto It = Owners.find(Upstream);
  if (It != Owners.end() && It->second.Zone == Index)
    return It->second.Owner;
  const std::vector<InstanceId> &ZoneMembers = localMembers(Index);
  const InstanceId Owner = rendezvousChoice(
      Upstream.value(), ZoneMembers.empty() ? Candidates : ZoneMembers);
  if (Owner != InstanceId())
    Owners[Upstream] = {Index, Owner};
  return Owner;
}

PlacementCandidate Placement::candidate(InstanceId Id,
                                        const std::string &Zone) const {
  return {Id, zoneIndex(Zone)};
}

InstanceId
Placement::bestOf(uint64_t Key, size_t Zone, InstanceId Best,
                  const std::vector<PlacementCandidate> &Joiners) const {
  bool IsLocal = !localMembers(Zone).empty();
  for (const PlacementCandidate &Joiner : Joiners) {
    const bool JoinerIsLocal = Zone < Zones.size() && Joiner.Zone == Zone;
    if (IsLocal && !JoinerIsLocal)
      continue;
    if (Best == InstanceId() || JoinerIsLocal > IsLocal ||
        scoresHigher(Key, Joiner.Id, Best))
      Best = Joiner.Id;
    IsLocal = JoinerIsLocal;
  }
  return Best;
}

InstanceId
Placement::homeIfJoined(uint32_t Bucket,
                        const std::vector<PlacementCandidate> &Joiners) const {
  if (Homes.empty())
    return InstanceId();
  return bestOf(Bucket ^ BucketSalt, PreferredZones[Bucket], Homes[Bucket],
                Joiners);
}

InstanceId
Placement::ownerIfJoined(UpstreamId Upstream, const std::string &Zone,
                         const std::vector<PlacementCandidate> &Joiners) const {
  return bestOf(Upstream.value(), zoneIndex(Zone), owner(Upstream, Zone),
                Joiners);
}

std::vector<std::string> zonesOfRegion(const Configuration &Config,
                                       const std::string &Region) {
  std::vector<std::string> Names;
  for (const ZoneConfig &Zone : Config.Zones)
    if (Zone.Region == Region)
      Names.push_back(Zone.Name);
  std::sort(Names.begin(), Names.end());
  return Names;
}

size_t preferredZone(uint32_t Bucket, const std::vector<std::string> &Zones) {
  std::vector<uint64_t> Hashes;
  Hashes.reserve(Zones.size());
  for (const std::string &Zone : Zones)
    Hashes.push_back(zoneHash(Zone));
  return preferredZoneIndex(Bucket, Hashes);
}

std::string upstreamZone(FlowKey Flow, const ServiceConfig &Service,
                         const std::vector<std::string> &Zones) {
  std::vector<double> Slots(Zones.size(), 0);
  double Total = 0;
  for (const UpstreamConfig &Upstream : Service.Upstreams) {
    const auto It = std::find(Zones.begin(), Zones.end(), Upstream.Zone);
    if (It == Zones.end() || Upstream.Draining)
      continue;
    Slots[static_cast<size_t>(It - Zones.begin())] += Upstream.Slots;
    Total += Upstream.Slots;
  }
  if (Total == 0)
    return "";
  const double EvenShare = Total / static_cast<double>(Zones.size());
  const size_t PreferredIndex = preferredZone(bucketOf(Flow), Zones);
  const uint64_t OverflowHash = rendezvousScore(Flow.value(), OverflowSalt);
  if (fractionOf(OverflowHash) * EvenShare < Slots[PreferredIndex])
    return Zones[PreferredIndex];
  // The zones above an even share take the overflow in proportion to their
  // surplus, so that every zone gets its share of the slots.
  double Surplus = 0;
  for (double Count : Slots)
    Surplus += std::max(0.0, Count - EvenShare);
  double Point =
      fractionOf(rendezvousScore(OverflowHash, OverflowSalt)) * Surplus;
  size_t Chosen = PreferredIndex;
  for (size_t Index = 0; Index < Zones.size(); ++Index) {
    if (Slots[Index] <= EvenShare)
      continue;
    Chosen = Index;
    Point -= Slots[Index] - EvenShare;
    if (Point < 0)
      break;
  }
  return Zones[Chosen];
}

const UpstreamConfig *defaultUpstream(FlowKey Flow,
                                      const ServiceConfig &Service,
                                      const std::vector<std::string> &Zones) {
  const std::string Zone = upstreamZone(Flow, Service, Zones);
  const UpstreamConfig *Best = nullptr;
  uint64_t BestScore = 0;
  for (const UpstreamConfig &Upstream : Service.Upstreams) {
    if (Upstream.Zone != Zone || Upstream.Draining)
      continue;
    const uint64_t Score = rendezvousScore(Flow.value(), Upstream.Id.value());
    if (Best == nullptr || Score > BestScore) {
      Best = &Upstream;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace indigopoint
