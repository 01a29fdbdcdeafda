#pragma once

#include <map>
#include <unordered_set>
#include <vector>

#include "blackboard.h"
#include "engine_io.h"
#include "member_registry.h"
#include "update_queue.h"

namespace indigopoint {

/// Schedules probes of other members, directly and through other members. From
/// missing answers it decides which members to suspect, and estimates how many
/// datagrams this instance loses.
class ProbeScheduler {
public:
  ProbeScheduler(Blackboard &Board, MemberRegistry &Registry,
                 UpdateQueue &Updates);

  void onTick(ActionSink &Sink);
  void answer(Endpoint From, const Sender &Origin, const Probe &Received,
              ActionSink &Sink);
  void onProbeAck(const Sender &Origin, const ProbeAck &Received,
                  ActionSink &Sink);
  void onIndirectProbe(Endpoint From, const IndirectProbe &Received,
                       ActionSink &Sink);

  /// Adds an address to probe until a member is known at this address.
  void addAddressToProbe(Endpoint Address);

  /// Discards open probes. After a pause of this process, missing answers are
  /// no evidence that a member is dead.
  void discardSentProbes();

  /// Probes up to \p Count random live members. Returns the sequence of the
  /// first probe.
  uint64_t probeRandomMembers(size_t Count, ActionSink &Sink);

  /// Sends the state of this instance to up to \p Count members at once.
  void announce(size_t Count, ActionSink &Sink);

  /// Called when this instance had to refute a suspicion, which indicates that
  /// other members miss its datagrams.
  void onSuspected() { raiseMissedAckScore(); }

  /// Whether the whole table of an active member was read since the last call
  /// of restartSync().
  bool isSynced() const { return Synced; }
  void restartSync();

private:
  struct SentProbe {
    InstanceId Target;
    TimePoint SentAt{};
    bool IndirectProbesSent = false;
    bool Answered = false;
  };
  struct ProbeForOther {
    InstanceId Target;
    Endpoint Requester;
    uint64_t Sequence = 0;
    TimePoint SentAt{};
  };

  Probe makeProbe(const Member *Target);
  uint64_t sendProbe(const Member &Target, ActionSink &Sink);
  void probeAddress(Endpoint Address, ActionSink &Sink);
  void checkSentProbes(ActionSink &Sink);
  void sendIndirectProbes(uint64_t Sequence, const SentProbe &CurrentProbe,
                          ActionSink &Sink);
  void recordAnswer(SentProbe &CurrentProbe, const Sender &Origin);
  void probeNext(ActionSink &Sink);
  void refreshOrder();
  void probeNextAddresses(ActionSink &Sink);
  std::vector<Endpoint> addressesWithoutMember() const;
  void synchronise(ActionSink &Sink);
  std::vector<const Member *> randomMembers(size_t Count, InstanceId Excluded);
  bool hasNoActiveMember() const;
  void raiseMissedAckScore();
  void lowerMissedAckScore();

  Blackboard &Board;
  MemberRegistry &Registry;
  UpdateQueue &Updates;
  uint64_t NextSequence = 1;
  TimePoint NextProbe{};
  TimePoint NextAddressProbe{};
  TimePoint NextSync{};
  std::map<uint64_t, SentProbe> SentProbes;
  std::map<uint64_t, ProbeForOther> ProbesForOthers;
  std::vector<InstanceId> ProbeOrder;
  std::unordered_set<InstanceId> IdsInProbeOrder;
  size_t NextPosition = 0;
  uint64_t SeenGeneration = 0;
  const TimePoint StartedAt;
  std::vector<Endpoint> AddressesToProbe;
  size_t NextAddressIndex = 0;
  bool Synced = false;
  InstanceId SyncPeer;
  InstanceId SyncCursor;
  uint64_t SyncSequence = 0;
  /// Incremented for each probe of this instance without an answer, decremented
  /// for each answer. A high score lengthens the suspicion timeout.
  uint32_t MissedAckScore = 0;
};

/// Builds the update about this instance that is sent to other members.
MemberUpdate describe(const SelfState &Self);

} // namespace indigopoint
