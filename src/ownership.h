#pragma once

#include <unordered_map>
#include <vector>

#include "placement.h"
#include "types.h"

namespace indigopoint {

/// The current home instance of each flow bucket and the current owner of each
/// upstream. Unlike Placement, it takes handovers in progress into account.
/// Written by the handover controller.
class Ownership {
public:
  Ownership() : Buckets(FlowBuckets) {}

  struct BucketState {
    /// The home instance of the bucket, as far as this instance knows.
    InstanceId Home;
    /// The time since which the request records of this instance are complete.
    /// Only meaningful while this instance is the home.
    TimePoint CompleteSince{};
  };

  /// The home instance of \p Bucket in this region; zero if unknown.
  InstanceId homeOf(uint32_t Bucket) const { return Buckets[Bucket].Home; }

  TimePoint completeSince(uint32_t Bucket) const {
    return Buckets[Bucket].CompleteSince;
  }

  void setBucket(uint32_t Bucket, BucketState State) {
    Buckets[Bucket] = State;
  }

  /// The instance of this region that sends to \p Upstream; zero if unknown.
  InstanceId ownerOf(UpstreamId Upstream) const {
    const auto It = Owners.find(Upstream);
    return It == Owners.end() ? InstanceId() : It->second;
  }

  void setOwner(UpstreamId Upstream, InstanceId Owner) {
    Owners[Upstream] = Owner;
  }

  void eraseOwner(UpstreamId Upstream) { Owners.erase(Upstream); }

  const std::unordered_map<UpstreamId, InstanceId> &owners() const {
    return Owners;
  }

private:
  std::vector<BucketState> Buckets;
  std::unordered_map<UpstreamId, InstanceId> Owners;
};

} // namespace indigopoint
