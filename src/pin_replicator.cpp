#include "pin_replicator.h"

#include <algorithm>
#include <map>

#include "blackboard.h"
#include "peer_link.h"

namespace indigopoint {

namespace {

// Replicas are not acknowledged. A second copy sent after this time covers the
// loss of a single datagram; the slow periodic refresh covers all other losses.
constexpr Duration ResendDelay = std::chrono::milliseconds(500);

// Limits the refresh traffic to about 1 KB/s.
constexpr double RefreshesPerSecond = 40;

constexpr size_t MaxPinsPerTick = 1000;
constexpr size_t MaxPinsPerBatch = 400;

} // namespace

PinReplicator::PinReplicator(const Blackboard &GivenBoard, PeerLink &GivenPeers,
                             FlowTable &GivenFlows)
    : Board(GivenBoard), Peers(GivenPeers), Flows(GivenFlows),
      Backups(FlowBuckets), NewBackup(FlowBuckets) {}

void PinReplicator::markChanged(FlowKey Flow, ServiceId Service) {
  PendingChanges.push_back({Board.now() + ResendDelay, Flow, Service});
}

void PinReplicator::refresh(const OpenFlow &Flow) {
  if (RefreshTokens < 1)
    return;
  RefreshTokens -= 1;
  PendingChanges.push_back({TimePoint(), Flow.Flow, Flow.Service});
}

void PinReplicator::onPlacementChanged() {
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket) {
    const InstanceId Backup = Board.CurrentPlacement.backup(Bucket);
    if (Backups[Bucket] == Backup)
      continue;
    Backups[Bucket] = Backup;
    NewBackup[Bucket] = true;
  }
}

void PinReplicator::clearNewBackups() {
  std::fill(NewBackup.begin(), NewBackup.end(), false);
}

// Reads the pin when it is sent: a delayed second copy must not restore an
// earlier pin.
Pin PinReplicator::currentPin(const Change &PinChange) {
  const OpenFlow *Flow = Flows.find(PinChange.Flow, PinChange.Service);
  if (Flow == nullptr || !Flow->HasNonDefaultPin)
    return {PinChange.Flow, PinChange.Service, UpstreamId(), true};
  return {PinChange.Flow, PinChange.Service, Flow->Upstream, false};
}

void PinReplicator::flush(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  const auto Elapsed =
      std::min<Duration>(Now - LastFlush, std::chrono::seconds(1));
  RefreshTokens = std::min(
      RefreshTokens +
          RefreshesPerSecond * std::chrono::duration<double>(Elapsed).count(),
      RefreshesPerSecond);
  LastFlush = Now;
  while (!PendingResends.empty() && PendingResends.front().ResendAt <= Now) {
    PendingChanges.push_back(PendingResends.front());
    PendingChanges.back().ResendAt = TimePoint();
    PendingResends.pop_front();
  }
  std::map<InstanceId, PinReplica> Batches;
  const auto Send = [&](InstanceId Backup, PinReplica &Batch) {
    Peers.send(Backup, std::move(Batch), Sink);
    Batch = PinReplica();
  };
  for (size_t Processed = 0;
       !PendingChanges.empty() && Processed < MaxPinsPerTick; ++Processed) {
    const Change PinChange = PendingChanges.front();
    PendingChanges.pop_front();
    const uint32_t Bucket = bucketOf(PinChange.Flow);
    const InstanceId Backup = Board.CurrentPlacement.backup(Bucket);
    if (Backup == InstanceId() || Backup == Board.Self.Id ||
        Board.CurrentOwnership.homeOf(Bucket) != Board.Self.Id)
      continue;
    if (PinChange.ResendAt != TimePoint())
      PendingResends.push_back(PinChange);
    PinReplica &Batch = Batches[Backup];
    Batch.Pins.push_back(currentPin(PinChange));
    if (Batch.Pins.size() == MaxPinsPerBatch)
      Send(Backup, Batch);
  }
  for (auto &[Backup, Batch] : Batches)
    if (!Batch.Pins.empty())
      Send(Backup, Batch);
}

void PinReplicator::clear() {
  PendingChanges.clear();
  PendingResends.clear();
  clearNewBackups();
}

} // namespace indigopoint
