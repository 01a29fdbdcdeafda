#include "peer_table.h"

#include <algorithm>

#include "placement.h"

namespace indigopoint {

namespace {

// Each instance is heard of every few seconds; one that is not is gone.
constexpr Duration Memory = std::chrono::seconds(20);

constexpr Duration FailureAvoidance = std::chrono::seconds(5);

// Seeds and peers are asked for news in turn, this many seeds to one peer.
constexpr size_t SeedsPerPeer = 3;

uint64_t keyOf(Endpoint Peer) {
  return (uint64_t{Peer.Address} << 16) | Peer.Port;
}

} // namespace

PeerTable::PeerTable(PeerInfo Self, std::vector<Endpoint> Seeds,
                     const Clock &TimeSource, RandomSource &Random)
    : Self(std::move(Self)), Seeds(std::move(Seeds)), TimeSource(TimeSource),
      Random(Random) {}

bool PeerTable::isUsable(const Entry &Given) const {
  return TimeSource.now() - Given.HeardAt <= Memory &&
         TimeSource.now() >= Given.AvoidUntil;
}

void PeerTable::update(const PeerInfo &News) {
  if (News.Address == Self.Address || News.Address.Port == 0 ||
      News.Age > Memory)
    return;
  Entry &Known = Peers[News.Address];
  Known.Zone = News.Zone;
  Known.LinkMbps = News.LinkMbps;
  Known.HeardAt = std::max(Known.HeardAt, TimeSource.now() - News.Age);
  std::erase_if(Peers, [this](const auto &Each) {
    return TimeSource.now() - Each.second.HeardAt > Memory;
  });
}

void PeerTable::recordFailure(Endpoint Peer) {
  const auto Found = Peers.find(Peer);
  if (Found != Peers.end())
    Found->second.AvoidUntil = TimeSource.now() + FailureAvoidance;
}

std::vector<PeerInfo> PeerTable::recentPeers(const std::string &ForZone,
                                             size_t Most) const {
  std::vector<PeerInfo> Out;
  for (const bool SameZone : {true, false})
    for (const auto &[Address, Known] : Peers)
      if ((Known.Zone == ForZone) == SameZone && Out.size() < Most)
        Out.push_back({Address, Known.Zone, TimeSource.now() - Known.HeardAt,
                       Known.LinkMbps});
  return Out;
}

size_t PeerTable::zoneSize() const {
  return 1 +
         std::count_if(Peers.begin(), Peers.end(), [this](const auto &Each) {
           return Each.second.Zone == Self.Zone && isUsable(Each.second);
         });
}

Endpoint PeerTable::zoneReader() const {
  const uint64_t Key = std::hash<std::string>{}(Self.Zone);
  const auto Rank = [Key](Endpoint Address, uint32_t LinkMbps) {
    return std::pair(LinkMbps, rendezvousScore(Key, keyOf(Address)));
  };
  Endpoint Best = Self.Address;
  auto BestRank = Rank(Best, Self.LinkMbps);
  for (const auto &[Address, Known] : Peers) {
    if (Known.Zone != Self.Zone || !isUsable(Known) ||
        Rank(Address, Known.LinkMbps) <= BestRank)
      continue;
    Best = Address;
    BestRank = Rank(Address, Known.LinkMbps);
  }
  return Best;
}

std::optional<Endpoint> PeerTable::nextContact() {
  std::vector<Endpoint> Candidates;
  const bool AskSeed = Turn++ % (SeedsPerPeer + 1) != SeedsPerPeer;
  if (AskSeed)
    Candidates = Seeds;
  else
    for (const auto &[Address, Known] : Peers)
      if (isUsable(Known))
        Candidates.push_back(Address);
  std::erase(Candidates, Self.Address);
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[Random.below(Candidates.size())];
}

} // namespace indigopoint
