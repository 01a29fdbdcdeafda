#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "blackboard.h"

namespace indigopoint {

/// Writes Ownership, the current home of each bucket and owner of each
/// upstream. An instance keeps its buckets and upstreams until it has handed
/// them over. All other entries follow Placement, except that a new home or
/// owner waits for the handover of the current one.
class OwnershipUpdater {
public:
  explicit OwnershipUpdater(Blackboard &Board)
      : Board(Board), HandedOverAt(FlowBuckets) {}

  /// Applies changes of the members or the configuration, and takes over the
  /// buckets and upstreams of lost instances.
  void update();

  /// Records that \p LostInstance is no longer home or owner of anything, even
  /// if it is alive again.
  void onInstanceLost(InstanceId LostInstance) {
    LostInstances.insert(LostInstance);
  }
  void onTick();

  /// Records that \p From is still handing over, because a batch of it arrived.
  void recordBatchFrom(InstanceId From) {
    LastBatchOrWaitStart[From] = Board.now();
  }

  /// Records that \p Receiver now holds the bucket or upstream. The handover
  /// sender moves the state itself.
  void handOver(uint32_t Bucket, InstanceId Receiver);
  void handOver(UpstreamId Upstream, InstanceId Receiver);
  /// Records that this instance is now the home of the bucket or the owner of
  /// the upstream: after an import, after a handover that is taken back, or
  /// after the previous owner sent nothing in time.
  void receive(uint32_t Bucket, Duration CompleteFor);
  void receive(UpstreamId Upstream);

  /// Becomes the home of \p Bucket without the records of the previous one.
  void takeOver(uint32_t Bucket);

  /// Returns whether this instance is the home of the bucket or the owner of
  /// the upstream.
  bool serves(uint32_t Bucket) const {
    return Board.CurrentOwnership.homeOf(Bucket) == Board.Self.Id;
  }
  bool serves(UpstreamId Upstream) const {
    return Board.CurrentOwnership.ownerOf(Upstream) == Board.Self.Id;
  }

  void reset();

private:
  bool isUnavailable(InstanceId HomeOrOwner) const;
  void updateBucket(uint32_t Bucket);
  void updateUpstream(const UpstreamConfig &Upstream);
  void eraseUnknownUpstreams();
  void markRecordsOfReturnedMembersIncomplete();
  void endOwnerWaits();

  Blackboard &Board;
  std::unordered_set<InstanceId> LostInstances;
  /// When each bucket was handed over. Its packets are relayed to the receiver
  /// for a while, because other members may not know of the change yet.
  std::vector<TimePoint> HandedOverAt;
  /// For each previous owner, when its last batch arrived or, before the first
  /// batch, when the wait for it began.
  std::unordered_map<InstanceId, TimePoint> LastBatchOrWaitStart;
  std::unordered_map<InstanceId, BootId> DeadMemberBoots;
  TimePoint NextTimeoutCheck{};
};

} // namespace indigopoint
