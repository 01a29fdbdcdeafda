#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "random_source.h"
#include "types.h"

namespace indigopoint {

/// One other instance, as instances tell each other of it.
struct PeerInfo {
  Endpoint Address;
  std::string Zone;
  /// Since it was last heard from.
  Duration Age{};
  /// Of its link, in Mbit/s.
  uint32_t LinkMbps = 0;
  bool operator==(const PeerInfo &) const = default;
};

/// The other instances that were heard of lately.
class PeerTable {
public:
  PeerTable(PeerInfo Self, std::vector<Endpoint> Seeds, const Clock &TimeSource,
            RandomSource &Random);

  void setSeeds(std::vector<Endpoint> Given) { Seeds = std::move(Given); }

  /// Takes news; those on this instance itself are ignored.
  void update(const PeerInfo &News);

  /// The instance did not answer; it is not chosen for some seconds.
  void recordFailure(Endpoint Peer);

  /// What to tell others: up to \p Most entries, those of \p Zone first.
  std::vector<PeerInfo> recentPeers(const std::string &Zone, size_t Most) const;

  /// How many instances of the own zone are known, this one included.
  size_t zoneSize() const;

  /// The instance of the own zone that reads the store for the others; this
  /// one if it is its own address. It has one of the fastest links, since each
  /// change goes from there to all others. All members choose alike once they
  /// know of each other.
  Endpoint zoneReader() const;

  /// The next instance to exchange news with: seeds and known peers in turn.
  std::optional<Endpoint> nextContact();

  size_t size() const { return Peers.size(); }

private:
  struct Entry {
    std::string Zone;
    TimePoint HeardAt{};
    TimePoint AvoidUntil{};
    uint32_t LinkMbps = 0;
  };

  bool isUsable(const Entry &Given) const;

  PeerInfo Self;
  std::vector<Endpoint> Seeds;
  const Clock &TimeSource;
  RandomSource &Random;
  std::map<Endpoint, Entry> Peers;
  size_t Turn = 0;
};

} // namespace indigopoint
