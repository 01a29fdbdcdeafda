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

/// Takes in what others hand over, and keeps packets that arrive before the
/// batch that makes this instance their home.
class HandoverReceiver {
public:
  HandoverReceiver(Blackboard &Board, PeerLink &Peers, FlowController &Flows,
                   UpstreamController &Upstreams, OwnershipUpdater &Tracker)
      : Board(Board), Peers(Peers), Flows(Flows), Upstreams(Upstreams),
        Tracker(Tracker) {}

  /// Repeated batches are acknowledged again and have no other effect.
  /// Returns whether the batch was new.
  bool onBatch(const Sender &From, const HandoverBatch &Batch,
               ActionSink &Sink);

  /// Keeps a packet that its supposed server relayed back here: that instance
  /// has stopped serving it. Returns false if the packet has to be handled.
  bool holdRelayedBack(const Sender &From, Relay &Given);

  void onTick(ActionSink &Sink);
  void onInstanceLost(InstanceId Lost, ActionSink &Sink);

  /// Whether every instance that holds flows has sent its final batch.
  bool hasAllFinalBatches() const;

  void reset();

private:
  struct Source {
    BootId Boot;
    uint64_t LastSequence = 0;
    bool Final = false;
    /// Records sent ahead of their buckets.
    HandoverBatch Ahead;
  };
  struct HeldPacket {
    Relay Packet;
    TimePoint Since{};
  };

  void takeAhead(Source &From, uint32_t Bucket, HandoverBatch &Out);
  void release(uint32_t Bucket, ActionSink &Sink);

  Blackboard &Board;
  PeerLink &Peers;
  FlowController &Flows;
  UpstreamController &Upstreams;
  OwnershipUpdater &Tracker;
  std::map<InstanceId, Source> Sources;
  std::unordered_map<uint32_t, std::vector<HeldPacket>> Held;
  size_t HeldCount = 0;
};

} // namespace indigopoint
