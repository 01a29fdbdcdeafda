#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "random_source.h"
#include "types.h"

namespace indigopoint {

/// Information about one instance that instances exchange with each other.
struct PeerInfo {
  Endpoint Address;
  std::string Zone;
  /// Time since the instance was last heard from.
  Duration Age{};
  /// Rate of the network link of the instance in Mbit/s, rounded up; 0 if
  /// unknown.
  uint32_t LinkMbps = 0;
  bool operator==(const PeerInfo &) const = default;
};

/// The other instances that were recently heard from.
class PeerTable {
public:
  PeerTable(PeerInfo Self, std::vector<Endpoint> Seeds, const Clock &TimeSource,
            RandomSource &Random);

  void setSeeds(std::vector<Endpoint> Addresses) {
    Seeds = std::move(Addresses);
  }

  /// Adds or updates an entry. Ignores an entry of this instance itself.
  void update(const PeerInfo &Info);

  /// Records that \p Peer did not answer, so that it is not chosen for some
  /// seconds.
  void recordFailure(Endpoint Peer);

  /// Returns the entries to send to a peer: at most \p MaxEntries, those of
  /// \p Zone first.
  std::vector<PeerInfo> recentPeers(const std::string &Zone,
                                    size_t MaxEntries) const;

  /// Returns the number of usable instances in the own zone, including this
  /// one.
  size_t zoneSize() const;

  /// Returns the instances of a zone, including this one, that were heard from
  /// within two minutes; those of all zones if this one has none. Returns
  /// nothing in the first seconds after the start, when most are not known yet.
  /// An instance that cannot reach the others still counts them, so that limits
  /// shared among instances hold in a partition.
  std::vector<Endpoint> membersOf(const std::string &Zone) const;

  /// Returns the address of the instance that reads the store for all instances
  /// of the own zone; it may be the own address. The chosen instance has one
  /// of the fastest links, because it sends each change to all others. All
  /// instances choose the same one when they have the same entries.
  Endpoint zoneReader() const;

  /// Returns the next instance to exchange peer information with, alternating
  /// between seeds and known peers.
  std::optional<Endpoint> nextContact();

  /// Returns the number of other instances that were recently heard from.
  size_t size() const;

private:
  struct Entry {
    std::string Zone;
    TimePoint HeardAt{};
    TimePoint AvoidUntil{};
    uint32_t LinkMbps = 0;
  };

  bool isRecent(const Entry &Peer) const;
  bool isUsable(const Entry &Peer) const;

  PeerInfo Self;
  std::vector<Endpoint> Seeds;
  const Clock &TimeSource;
  RandomSource &Random;
  TimePoint StartedAt{};
  std::map<Endpoint, Entry> Peers;
  size_t Turn = 0;
};

} // namespace indigopoint
