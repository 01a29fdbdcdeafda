#pragma once

#include <deque>
#include <vector>

#include "engine_io.h"
#include "flow_table.h"

namespace indigopoint {

struct Blackboard;
class PeerLink;

/// Replicates the pins of flows whose upstream is not their default to the
/// backup instance of each bucket.
class PinReplicator {
public:
  PinReplicator(const Blackboard &Board, PeerLink &Peers, FlowTable &Flows);

  /// Queues the pin of a flow that was added, changed or removed.
  void markChanged(FlowKey Flow, ServiceId Service);

  /// Queues the current pin of a flow for a periodic refresh if the refresh
  /// rate limit allows it.
  void refresh(const OpenFlow &Flow);

  /// Called when members changed: finds the buckets that have a new backup
  /// instance.
  void onPlacementChanged();

  /// Whether the backup instance of \p Bucket changed since clearNewBackups.
  bool isBackupNew(uint32_t Bucket) const { return NewBackup[Bucket]; }
  void clearNewBackups();

  /// Sends the queued pins in batches.
  void flush(ActionSink &Sink);

  void clear();

private:
  struct Change {
    TimePoint ResendAt;
    FlowKey Flow;
    ServiceId Service;
  };

  Pin currentPin(const Change &PinChange);

  const Blackboard &Board;
  PeerLink &Peers;
  FlowTable &Flows;
  std::deque<Change> PendingChanges;
  std::deque<Change> PendingResends;
  std::vector<InstanceId> Backups;
  std::vector<bool> NewBackup;
  double RefreshTokens = 0;
  TimePoint LastFlush{};
};

} // namespace indigopoint
