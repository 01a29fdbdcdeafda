#include "peer_table.h"

#include <algorithm>

#include "placement.h"

namespace indigopoint {

namespace {

// Entries of live instances are updated every few seconds; an entry without an
// update for this time is not used to exchange data.
constexpr Duration EntryLifetime = std::chrono::seconds(20);

// An entry without an update for this time is removed. It is longer than a
// usual partition, so that one does not move the shares of cold upstreams.
constexpr Duration MemberLifetime = std::chrono::minutes(2);

// The first contacts follow each other quickly; after this time most instances
// of the zone are known.
constexpr Duration DiscoveryTime = std::chrono::seconds(3);

constexpr Duration RetryDelayAfterFailure = std::chrono::seconds(5);

// Number of seeds contacted for each contacted peer.
constexpr size_t SeedsPerPeer = 3;

} // namespace

PeerTable::PeerTable(PeerInfo Self, std::vector<Endpoint> Seeds,
                     const Clock &TimeSource, RandomSource &Random)
    : Self(std::move(Self)), Seeds(std::move(Seeds)), TimeSource(TimeSource),
      Random(Random), StartedAt(TimeSource.now()) {}

bool PeerTable::isRecent(const Entry &Peer) const {
  return TimeSource.now() - Peer.HeardAt <= EntryLifetime;
}

bool PeerTable::isUsable(const Entry &Peer) const {
  return isRecent(Peer) && TimeSource.now() >= Peer.AvoidUntil;
}

void PeerTable::update(const PeerInfo &Info) {
  if (Info.Address == Self.Address || Info.Address.Port == 0 ||
      Info.Age > EntryLifetime)
    return;
  Entry &Peer = Peers[Info.Address];
  Peer.Zone = Info.Zone;
  Peer.LinkMbps = Info.LinkMbps;
  Peer.HeardAt = std::max(Peer.HeardAt, TimeSource.now() - Info.Age);
  std::erase_if(Peers, [this](const auto &Item) {
    return TimeSource.now() - Item.second.HeardAt > MemberLifetime;
  });
}

void PeerTable::recordFailure(Endpoint Peer) {
  const auto It = Peers.find(Peer);
  if (It != Peers.end())
    It->second.AvoidUntil = TimeSource.now() + RetryDelayAfterFailure;
}

std::vector<PeerInfo> PeerTable::recentPeers(const std::string &ForZone,
                                             size_t MaxEntries) const {
  std::vector<PeerInfo> Out;
  for (const bool SameZone : {true, false})
    for (const auto &[Address, Peer] : Peers)
      if ((Peer.Zone == ForZone) == SameZone && isRecent(Peer) &&
          Out.size() < MaxEntries)
        Out.push_back({Address, Peer.Zone, TimeSource.now() - Peer.HeardAt,
                       Peer.LinkMbps});
  return Out;
}

size_t PeerTable::zoneSize() const {
  return 1 +
         std::count_if(Peers.begin(), Peers.end(), [this](const auto &Item) {
           return Item.second.Zone == Self.Zone && isUsable(Item.second);
         });
}

size_t PeerTable::size() const {
  return std::count_if(Peers.begin(), Peers.end(), [this](const auto &Item) {
    return isRecent(Item.second);
  });
}

std::vector<Endpoint> PeerTable::membersOf(const std::string &Zone) const {
  if (TimeSource.now() - StartedAt < DiscoveryTime)
    return {};
  std::vector<Endpoint> InZone;
  std::vector<Endpoint> All = {Self.Address};
  if (Self.Zone == Zone)
    InZone.push_back(Self.Address);
  for (const auto &[Address, Peer] : Peers) {
    All.push_back(Address);
    if (Peer.Zone == Zone)
      InZone.push_back(Address);
  }
  return InZone.empty() ? All : InZone;
}

Endpoint PeerTable::zoneReader() const {
  const uint64_t Key = std::hash<std::string>{}(Self.Zone);
  const auto Rank = [Key](Endpoint Address, uint32_t LinkMbps) {
    return std::pair(LinkMbps, rendezvousScore(Key, Address));
  };
  Endpoint Best = Self.Address;
  auto BestRank = Rank(Best, Self.LinkMbps);
  for (const auto &[Address, Peer] : Peers) {
    if (Peer.Zone != Self.Zone || !isUsable(Peer) ||
        Rank(Address, Peer.LinkMbps) <= BestRank)
      continue;
    Best = Address;
    BestRank = Rank(Address, Peer.LinkMbps);
  }
  return Best;
}

std::optional<Endpoint> PeerTable::nextContact() {
  std::vector<Endpoint> Candidates;
  const bool AskSeed = Turn++ % (SeedsPerPeer + 1) != SeedsPerPeer;
  if (AskSeed)
    Candidates = Seeds;
  else
    for (const auto &[Address, Peer] : Peers)
      if (isUsable(Peer))
        Candidates.push_back(Address);
  std::erase(Candidates, Self.Address);
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[Random.below(Candidates.size())];
}

} // namespace indigopoint
