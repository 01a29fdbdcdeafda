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

/// Imports the batches that other instances hand over, and holds packets that
/// arrive before the batch that makes this instance their home.
class HandoverReceiver {
public:
  HandoverReceiver(Blackboard &Board, PeerLink &Peers, FlowController &Flows,
                   UpstreamController &Upstreams, OwnershipUpdater &Updater)
      : Board(Board), Peers(Peers), Flows(Flows), Upstreams(Upstreams),
        Updater(Updater) {}

  /// Imports and acknowledges a batch. A retransmitted batch is only
  /// acknowledged again. Returns whether the batch was new.
  bool onBatch(const Sender &From, const HandoverBatch &Batch,
               ActionSink &Sink);

  /// Holds a packet that its presumed home instance returned to this one,
  /// because that instance is no longer the home of the bucket. Returns false
  /// if the packet has to be handled now.
  bool holdReturnedPacket(const Sender &From, Relay &RelayedPacket);

  void onTick(ActionSink &Sink);
  void onInstanceLost(InstanceId LostInstance, ActionSink &Sink);

  /// Whether every Active or Suspect member has sent its final batch.
  bool hasAllFinalBatches() const;

  void reset();

private:
  struct SenderState {
    BootId Boot;
    uint64_t LastSequence = 0;
    bool FinalReceived = false;
    /// Records that arrived before the batch that hands their bucket over.
    HandoverBatch EarlyRecords;
  };
  struct HeldPacket {
    Relay Packet;
    TimePoint HeldSince{};
  };

  void extractEarlyRecords(SenderState &BatchSource, uint32_t Bucket,
                           HandoverBatch &Out);
  void handleHeldPackets(uint32_t Bucket, ActionSink &Sink);

  Blackboard &Board;
  PeerLink &Peers;
  FlowController &Flows;
  UpstreamController &Upstreams;
  OwnershipUpdater &Updater;
  std::map<InstanceId, SenderState> Sources;
  std::unordered_map<uint32_t, std::vector<HeldPacket>> HeldPackets;
  size_t HeldPacketCount = 0;
};

} // namespace indigopoint
