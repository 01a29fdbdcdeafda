#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "blackboard.h"

namespace indigopoint {

/// Writes Ownership: who serves each bucket and upstream. An instance that
/// serves something keeps it until it hands it over; all others follow
/// Placement, except that a new home waits for the one that serves.
class OwnershipUpdater {
public:
  explicit OwnershipUpdater(Blackboard &Board)
      : Board(Board), HandedAt(FlowBuckets) {}

  /// Follows changed members or configuration. What a lost instance served is
  /// taken over.
  void update();

  /// \p Lost no longer serves anything, even if it is alive again.
  void onInstanceLost(InstanceId Lost) { LostSince.insert(Lost); }
  void onTick();

  /// A batch of \p From arrived, so it is still handing over.
  void recordBatchFrom(InstanceId From) { WaitingSince[From] = Board.now(); }

  void handOver(uint32_t Bucket, InstanceId Receiver);
  void handOver(UpstreamId Upstream, InstanceId Receiver);
  void receive(uint32_t Bucket, Duration CompleteFor);
  void receive(UpstreamId Upstream);

  /// Takes over without the records of the previous server.
  void takeOver(uint32_t Bucket);

  bool serves(uint32_t Bucket) const {
    return Board.CurrentOwnership.homeOf(Bucket) == Board.Self.Id;
  }
  bool serves(UpstreamId Upstream) const {
    return Board.CurrentOwnership.ownerOf(Upstream) == Board.Self.Id;
  }

  void reset();

private:
  bool isGone(InstanceId Server) const;
  void updateBucket(uint32_t Bucket);
  void updateUpstream(const UpstreamConfig &Upstream);
  void eraseUnknownUpstreams();
  void noticeReturns();
  void endWaits();

  Blackboard &Board;
  std::unordered_set<InstanceId> LostSince;
  /// When a bucket was handed over; it is relayed to its receiver for a while
  /// because the other members may not know of the change yet.
  std::vector<TimePoint> HandedAt;
  std::unordered_map<InstanceId, TimePoint> WaitingSince;
  std::unordered_map<InstanceId, BootId> DeadBoots;
  TimePoint NextReview{};
};

} // namespace indigopoint
