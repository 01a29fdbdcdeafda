#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "blackboard.h"
#include "engine_io.h"

namespace indigopoint {

class FlowController;
class OwnershipUpdater;
class PeerLink;
class UpstreamController;

/// Transfers buckets and upstreams to the instances that placement assigns them
/// to, one batch at a time for each receiver. The batch that lists a bucket
/// also carries its last records: from then on the receiver is the home of the
/// bucket and this instance relays packets to it.
class HandoverSender {
public:
  HandoverSender(Blackboard &Board, PeerLink &Peers, FlowController &Flows,
                 UpstreamController &Upstreams, OwnershipUpdater &Updater)
      : Board(Board), Peers(Peers), Flows(Flows), Upstreams(Upstreams),
        Updater(Updater) {}

  /// Recomputes the transfers before the next batch. To be called when the
  /// buckets or upstreams of this instance have changed.
  void requestPlan() { PlanNeeded = true; }
  void onTick(ActionSink &Sink);
  void onAck(const Sender &From, const HandoverAck &Ack, ActionSink &Sink);

  /// Takes back the buckets and upstreams in a batch that \p LostInstance has
  /// not acknowledged.
  void onInstanceLost(InstanceId LostInstance);

  /// Whether there is nothing left to hand over and no batch unacknowledged.
  bool isIdle() const;

  void reset();

private:
  struct Transfer {
    BootId Boot;
    bool Joining = false;
    std::deque<uint32_t> Buckets;
    std::deque<UpstreamId> Upstreams;
    bool FinalSent = false;
    /// Whether Batch was sent and is not acknowledged yet.
    bool AwaitingAck = false;
    HandoverBatch Batch;
    TimePoint SentAt{};
    Duration RetransmitAfter{};
    /// Content hashes, by key hash, of the records of the front bucket that
    /// were sent before the bucket itself.
    std::unordered_map<uint64_t, uint64_t> EarlyRecordHashes;
  };

  void plan();
  void addJoiningMembers(std::vector<PlacementCandidate> &Joiners);
  void sendNextBatch(InstanceId Receiver, Transfer &CurrentTransfer,
                     ActionSink &Sink);
  void fillBatch(InstanceId Receiver, Transfer &CurrentTransfer,
                 HandoverBatch &Batch, ActionSink &Sink);
  bool addBucket(InstanceId Receiver, Transfer &CurrentTransfer,
                 HandoverBatch &Batch, size_t &Used);
  void send(InstanceId Receiver, Transfer &CurrentTransfer, ActionSink &Sink);

  Blackboard &Board;
  PeerLink &Peers;
  FlowController &Flows;
  UpstreamController &Upstreams;
  OwnershipUpdater &Updater;
  bool PlanNeeded = false;
  std::map<InstanceId, Transfer> Transfers;
  /// Never reset while the process runs, so that an old acknowledgement cannot
  /// match a newer batch.
  uint64_t NextSequence = 1;
  int64_t Credit = 0;
  TimePoint CreditUpdatedAt{};
};

/// Approximate size of a batch in an encoded datagram.
size_t estimatedBytes(const HandoverBatch &Batch);

} // namespace indigopoint
