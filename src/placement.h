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

/// The number of buckets that flow keys are hashed into. The 1,267 instances of
/// a region get 52 buckets each, with a spread of about 14%.
constexpr uint32_t FlowBuckets = 65536;

/// The bucket of a flow.
uint32_t bucketOf(FlowKey Flow);

/// The rendezvous score of a pair. The highest score wins.
uint64_t rendezvousScore(uint64_t Key, uint64_t Candidate);

uint64_t rendezvousScore(uint64_t Key, Endpoint Candidate);

/// The candidate of highest score; zero if there is none.
InstanceId rendezvousChoice(uint64_t Key,
                            const std::vector<InstanceId> &Candidates);

/// A member that may be home of buckets and owner of upstreams.
struct PlacementCandidate {
  InstanceId Id;
  /// Index into the region's zones; the number of zones if the member's zone is
  /// unknown.
  size_t Zone = 0;
  auto operator<=>(const PlacementCandidate &) const = default;
};

/// Chooses the home of each bucket and the owner of each upstream by rendezvous
/// hashing, as a function of members and configuration only. Handovers in
/// progress are part of Ownership instead.
class Placement {
public:
  /// Updates the tables to the current candidates: the Active and Suspect
  /// members of the region. Cheap if at most one member changed.
  void update(const SelfState &Self, const MemberTable &Members,
              const std::vector<std::string> &RegionZones);

  /// Incremented whenever homes or owners may have changed.
  uint64_t generation() const { return Generation; }

  /// The members of the region that may be home of buckets and owner of
  /// upstreams.
  const std::vector<InstanceId> &candidates() const { return Candidates; }

  /// Whether \p Zone has a candidate.
  bool isZoneServed(const std::string &Zone) const;

  /// The home instance of a bucket; zero if there is none.
  InstanceId home(uint32_t Bucket) const;

  /// The backup home of a bucket, which takes over if the home dies; zero if
  /// the region has one candidate.
  InstanceId backup(uint32_t Bucket) const;

  /// The owner of an upstream in \p Zone; zero if there is none.
  InstanceId owner(UpstreamId Upstream, const std::string &Zone) const;

  /// Describes an instance that is not a candidate yet, as an argument of
  /// homeIfJoined and ownerIfJoined.
  PlacementCandidate candidate(InstanceId Id, const std::string &Zone) const;

  /// The home that a bucket would have if \p Joiners were candidates too.
  InstanceId homeIfJoined(uint32_t Bucket,
                          const std::vector<PlacementCandidate> &Joiners) const;

  /// The owner that an upstream would have if \p Joiners were candidates too.
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
               const std::vector<PlacementCandidate> &NewCandidates);
  void add(const PlacementCandidate &AddedCandidate);
  void remove(const PlacementCandidate &RemovedCandidate);
  void addToBucket(uint32_t Bucket, const PlacementCandidate &AddedCandidate);
  void addToOwners(const PlacementCandidate &AddedCandidate);
  void removeFromOwners(const PlacementCandidate &RemovedCandidate);
  void offerForHomeOrBackup(uint32_t Bucket, InstanceId Id);
  void rebuildBucket(uint32_t Bucket);
  InstanceId bestOf(uint64_t Key, size_t Zone, InstanceId Best,
                    const std::vector<PlacementCandidate> &Joiners) const;

  uint64_t Generation = 0;
  std::vector<std::string> Zones;
  /// Sorted ids of the candidates of each zone; the last entry is for members
  /// of an unknown zone.
  std::vector<std::vector<InstanceId>> MembersByZone;
  std::vector<PlacementCandidate> CandidatesWithZones;
  /// The ids of CandidatesWithZones.
  std::vector<InstanceId> Candidates;
  std::vector<InstanceId> Homes;
  std::vector<InstanceId> Backups;
  /// Index into Zones of each bucket's preferred zone.
  std::vector<uint16_t> PreferredZones;
  /// Owners chosen so far. Choosing one costs a hash for each member of the
  /// zone.
  mutable std::unordered_map<UpstreamId, CachedOwner> Owners;
};

/// The zones of \p Region in \p Config, sorted by name.
std::vector<std::string> zonesOfRegion(const Configuration &Config,
                                       const std::string &Region);

/// Index into \p Zones of the preferred zone of a bucket. \p Zones must not be
/// empty.
size_t preferredZone(uint32_t Bucket, const std::vector<std::string> &Zones);

/// The zone whose upstreams serve a flow by default. The preferred zone gets
/// flows up to its share of the service's slots; the others go to zones with
/// more than an even share. Empty if no zone of \p Zones has slots.
std::string upstreamZone(FlowKey Flow, const ServiceConfig &Service,
                         const std::vector<std::string> &Zones);

/// The default upstream of a flow, as a function of flow, configuration and
/// region only. Null if the service has no usable upstream in \p Zones.
const UpstreamConfig *defaultUpstream(FlowKey Flow,
                                      const ServiceConfig &Service,
                                      const std::vector<std::string> &Zones);

} // namespace indigopoint
