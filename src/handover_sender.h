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

/// Hands buckets and upstreams that others should serve over to them, one
/// batch at a time for each receiver. A batch that lists a bucket carries its
/// last records: from then on the receiver serves it and this instance relays.
class HandoverSender {
public:
  HandoverSender(Blackboard &Board, PeerLink &Peers, FlowController &Flows,
                 UpstreamController &Upstreams, OwnershipUpdater &Tracker)
      : Board(Board), Peers(Peers), Flows(Flows), Upstreams(Upstreams),
        Tracker(Tracker) {}

  /// Plans again before the next batch; what is served here has changed.
  void requestPlan() { PlanNeeded = true; }
  void onTick(ActionSink &Sink);
  void onAck(const Sender &From, const HandoverAck &Ack, ActionSink &Sink);

  /// Takes back what \p Lost has not acknowledged.
  void onInstanceLost(InstanceId Lost);

  /// Nothing is left to hand over or to be acknowledged.
  bool isIdle() const;

  void reset();

private:
  struct Transfer {
    BootId Boot;
    bool Joining = false;
    std::deque<uint32_t> Buckets;
    std::deque<UpstreamId> Upstreams;
    bool FinalSent = false;
    /// The batch that is not acknowledged yet, if Waiting.
    bool Waiting = false;
    HandoverBatch Batch;
    TimePoint SentAt{};
    Duration RepeatAfter{};
    /// Hashes of the records of the front bucket that were sent ahead.
    std::unordered_map<uint64_t, uint64_t> SentAhead;
  };

  void plan();
  void addJoiners(std::vector<PlacementCandidate> &Joiners);
  void advance(InstanceId Receiver, Transfer &Given, ActionSink &Sink);
  void fill(InstanceId Receiver, Transfer &Given, HandoverBatch &Batch,
            ActionSink &Sink);
  bool addBucket(InstanceId Receiver, Transfer &Given, HandoverBatch &Batch,
                 size_t &Used);
  void send(InstanceId Receiver, Transfer &Given, ActionSink &Sink);

  Blackboard &Board;
  PeerLink &Peers;
  FlowController &Flows;
  UpstreamController &Upstreams;
  OwnershipUpdater &Tracker;
  bool PlanNeeded = false;
  std::map<InstanceId, Transfer> Transfers;
  /// Counts over the life of the process, so that an old acknowledgement can
  /// never match.
  uint64_t NextSequence = 1;
  int64_t Credit = 0;
  TimePoint CreditAt{};
};

/// Approximate size of a batch in an encoded datagram.
size_t estimatedBytes(const HandoverBatch &Batch);

} // namespace indigopoint
