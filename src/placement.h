#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "configuration.h"
#include "types.h"

namespace indigopoint {

struct MemberTable;
struct SelfState;

/// Flow keys are grouped into this many buckets. 1,267 instances of a region
/// get 52 each, with a spread of about 14%.
constexpr uint32_t FlowBuckets = 65536;

/// The bucket of a flow.
uint32_t bucketOf(FlowKey Flow);

/// The rendezvous score of a pair. The highest score wins.
uint64_t rendezvousScore(uint64_t Key, uint64_t Candidate);

/// The candidate of highest score; zero if there is none.
InstanceId rendezvousChoice(uint64_t Key,
                            const std::vector<InstanceId> &Candidates);

/// A member that could hold flows and upstreams, with the index of its zone.
struct PlacementCandidate {
  InstanceId Id;
  /// Index into the region's zones; their number if it is none of them.
  size_t Zone = 0;
  auto operator<=>(const PlacementCandidate &) const = default;
};

/// Deterministic choices from members and configuration. It ignores handovers
/// in progress; Ownership adds these.
class Placement {
public:
  /// Updates the tables to the members of the region that may hold flows:
  /// Active and Suspect ones. Cheap if nothing or a single member changed.
  void update(const SelfState &Self, const MemberTable &Members,
              const std::vector<std::string> &RegionZones);

  /// Counts up whenever homes or owners may have changed.
  uint64_t generation() const { return Generation; }

  /// The members of the region that may hold flows and upstreams.
  const std::vector<InstanceId> &candidates() const { return Candidates; }

  /// Whether a member of \p Zone may hold flows and upstreams.
  bool isZoneServed(const std::string &Zone) const;

  /// The home instance of a bucket; zero if there is none.
  InstanceId home(uint32_t Bucket) const;

  /// The second choice for a bucket; zero if the region has one member.
  InstanceId backup(uint32_t Bucket) const;

  /// The owner of an upstream in \p Zone; zero if there is none.
  InstanceId owner(UpstreamId Upstream, const std::string &Zone) const;

  /// An instance that is no candidate yet, for homeIfJoined and ownerIfJoined.
  PlacementCandidate candidate(InstanceId Id, const std::string &Zone) const;

  /// The home of a bucket if \p Joiners were candidates as well.
  InstanceId homeIfJoined(uint32_t Bucket,
                          const std::vector<PlacementCandidate> &Joiners) const;

  /// The owner of an upstream if \p Joiners were candidates as well.
  InstanceId
  ownerIfJoined(UpstreamId Upstream, const std::string &Zone,
                const std::vector<PlacementCandidate> &Joiners) const;

private:
  struct CachedOwner {
    size_t Zone = 0;
    InstanceId Owner;
  };

  size_t zoneIndex(const std::string &Zone) const;
  const std::vector<InstanceId> &localMembers(size_t Zone) const;
  void rebuild(const std::vector<std::string> &Zones,
               const std::vector<PlacementCandidate> &Next);
  void add(const PlacementCandidate &Added);
  void remove(const PlacementCandidate &Removed);
  void addToBucket(uint32_t Bucket, const PlacementCandidate &Added);
  void addToOwners(const PlacementCandidate &Added);
  void removeFromOwners(const PlacementCandidate &Removed);
  void insert(uint32_t Bucket, InstanceId Id);
  void rebuildBucket(uint32_t Bucket);
  InstanceId bestOf(uint64_t Key, size_t Zone, InstanceId Best,
                    const std::vector<PlacementCandidate> &Joiners) const;

  uint64_t Generation = 0;
  std::vector<std::string> Zones;
  /// Sorted ids by zone; the last entry is for members of no known zone.
  std::vector<std::vector<InstanceId>> Local;
  std::vector<PlacementCandidate> Placed;
  std::vector<InstanceId> Candidates;
  std::vector<InstanceId> Homes;
  std::vector<InstanceId> Backups;
  /// Index into Zones of each bucket's preferred zone.
  std::vector<uint16_t> Preferred;
  /// Choosing an owner costs one hash for each member of its zone.
  mutable std::unordered_map<UpstreamId, CachedOwner> Owners;
};

/// The zones of \p Region in \p Config, sorted by name.
std::vector<std::string> zonesOfRegion(const Configuration &Config,
                                       const std::string &Region);

/// Index into \p Zones of the preferred zone of a bucket. \p Zones must not be
/// empty.
size_t preferredZone(uint32_t Bucket, const std::vector<std::string> &Zones);

/// The zone whose upstreams serve a flow by default: the preferred zone up to
/// its share of the service's slots, else a zone with more than an even share.
/// Empty if no zone of \p Zones has slots.
std::string upstreamZone(FlowKey Flow, const ServiceConfig &Service,
                         const std::vector<std::string> &Zones);

/// The default upstream of a flow: a function of flow, configuration and
/// region only. Null if the service has no usable upstream there.
const UpstreamConfig *defaultUpstream(FlowKey Flow,
                                      const ServiceConfig &Service,
                                      const std::vector<std::string> &Zones);

} // namespace indigopoint
