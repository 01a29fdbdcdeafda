#include "peer_table.h"

#include <algorithm>

#include "placement.h"

namespace indigopoint {

namespace {

// Entries of live instances are updated every few seconds; an entry without an
// update for this time is removed.
constexpr Duration EntryLifetime = std::chrono::seconds(20);

constexpr Duration RetryDelayAfterFailure = std::chrono::seconds(5);

// Number of seeds contacted for each contacted peer.
constexpr size_t SeedsPerPeer = 3;

uint64_t keyOf(Endpoint Peer) {
  return (uint64_t{Peer.Address} << 16) | Peer.Port;
}

} // namespace

PeerTable::PeerTable(PeerInfo Self, std::vector<Endpoint> Seeds,
                     const Clock &TimeSource, RandomSource &Random)
    : Self(std::move(Self)), Seeds(std::move(Seeds)), TimeSource(TimeSource),
      Random(Random) {}

bool PeerTable::isUsable(const Entry &Peer) const {
  return TimeSource.now() - Peer.HeardAt <= EntryLifetime &&
         TimeSource.now() >= Peer.AvoidUntil;
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
    return TimeSource.now() - Item.second.HeardAt > EntryLifetime;
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
      if ((Peer.Zone == ForZone) == SameZone && Out.size() < MaxEntries)
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

Endpoint PeerTable::zoneReader() const {
  const uint64_t Key = std::hash<std::string>{}(Self.Zone);
  const auto Rank = [Key](Endpoint Address, uint32_t LinkMbps) {
    return std::pair(LinkMbps, rendezvousScore(Key, keyOf(Address)));
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
