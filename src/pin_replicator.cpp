#include "pin_replicator.h"

#include <algorithm>
#include <map>

#include "blackboard.h"
#include "peer_link.h"

namespace indigopoint {

namespace {

// Replicas are not acknowledged. A second copy after this time covers single
// losses, the slow refresh all others.
constexpr Duration RepeatDelay = std::chrono::milliseconds(500);

// About 1 KB/s.
constexpr double RefreshesPerSecond = 40;

constexpr size_t MaxPinsPerTick = 1000;
constexpr size_t MaxPinsPerBatch = 400;

} // namespace

PinReplicator::PinReplicator(const Blackboard &GivenBoard, PeerLink &GivenPeers,
                             FlowTable &GivenFlows)
    : Board(GivenBoard), Peers(GivenPeers), Flows(GivenFlows),
      Backups(FlowBuckets), NewBackup(FlowBuckets) {}

void PinReplicator::markChanged(FlowKey Flow, ServiceId Service) {
  Changed.push_back({Board.now() + RepeatDelay, Flow, Service});
}

void PinReplicator::refresh(const OpenFlow &Flow) {
  if (RefreshTokens < 1)
    return;
  RefreshTokens -= 1;
  Changed.push_back({TimePoint(), Flow.Flow, Flow.Service});
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

// The pin as it is now: a repeat must not bring an earlier pin back.
Pin PinReplicator::currentPin(const Change &Given) {
  const OpenFlow *Flow = Flows.find(Given.Flow, Given.Service);
  if (Flow == nullptr || !Flow->Exception)
    return {Given.Flow, Given.Service, UpstreamId(), true};
  return {Given.Flow, Given.Service, Flow->Upstream, false};
}

void PinReplicator::flush(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  const auto Passed =
      std::min<Duration>(Now - LastFlush, std::chrono::seconds(1));
  RefreshTokens = std::min(
      RefreshTokens +
          RefreshesPerSecond * std::chrono::duration<double>(Passed).count(),
      RefreshesPerSecond);
  LastFlush = Now;
  while (!Repeats.empty() && Repeats.front().RepeatAt <= Now) {
    Changed.push_back(Repeats.front());
    Changed.back().RepeatAt = TimePoint();
    Repeats.pop_front();
  }
  std::map<InstanceId, PinReplica> Batches;
  const auto Send = [&](InstanceId Backup, PinReplica &Batch) {
    Peers.send(Backup, std::move(Batch), Sink);
    Batch = PinReplica();
  };
  for (size_t Sent = 0; !Changed.empty() && Sent < MaxPinsPerTick; ++Sent) {
    const Change Next = Changed.front();
    Changed.pop_front();
    const uint32_t Bucket = bucketOf(Next.Flow);
    const InstanceId Backup = Board.CurrentPlacement.backup(Bucket);
    if (Backup == InstanceId() || Backup == Board.Self.Id ||
        Board.CurrentOwnership.homeOf(Bucket) != Board.Self.Id)
      continue;
    if (Next.RepeatAt != TimePoint())
      Repeats.push_back(Next);
    PinReplica &Batch = Batches[Backup];
    Batch.Pins.push_back(currentPin(Next));
    if (Batch.Pins.size() == MaxPinsPerBatch)
      Send(Backup, Batch);
  }
  for (auto &[Backup, Batch] : Batches)
    if (!Batch.Pins.empty())
      Send(Backup, Batch);
}

void PinReplicator::clear() {
  Changed.clear();
  Repeats.clear();
  clearNewBackups();
}

} // namespace indigopoint
