#pragma once

#include <unordered_map>
#include <vector>

#include "placement.h"
#include "types.h"

namespace indigopoint {

/// Which instance serves a flow bucket or an upstream right now, handovers
/// included. Written by the handover controller.
class Ownership {
public:
  Ownership() : Buckets(FlowBuckets) {}

  struct BucketState {
    /// Who serves the bucket, as far as this instance knows.
    InstanceId Home;
    /// Since when the request records kept here are complete. Only meaningful
    /// while this instance is the server.
    TimePoint CompleteSince{};
  };

  /// The instance of the region that serves \p Bucket; zero if unknown.
  InstanceId homeOf(uint32_t Bucket) const { return Buckets[Bucket].Home; }

  TimePoint completeSince(uint32_t Bucket) const {
    return Buckets[Bucket].CompleteSince;
  }

  void setBucket(uint32_t Bucket, BucketState State) {
    Buckets[Bucket] = State;
  }

  /// The instance of the region that sends to \p Upstream; zero if unknown.
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
