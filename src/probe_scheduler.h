#pragma once

#include <map>
#include <unordered_set>
#include <vector>

#include "blackboard.h"
#include "engine_io.h"
#include "member_registry.h"
#include "update_queue.h"

namespace indigopoint {

/// Decides whom to probe when, directly or through others, and judges from
/// the answers who is suspected and how well this instance hears.
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

  /// Adds an address to probe until a member is known there.
  void addCandidateAddress(Endpoint Address);

  /// Forgets open probes. After a pause, missed answers say nothing.
  void forgetOpenProbes();

  /// Probes \p Count random live members and returns the first sequence used.
  uint64_t probeRandomMembers(size_t Count, ActionSink &Sink);

  /// Sends the own state to up to \p Count members at once.
  void announce(size_t Count, ActionSink &Sink);

  /// This instance had to refute a suspicion, so others hear it badly.
  void onSuspected() { raiseDoubt(); }

  /// Whether an active member's whole table was read since the last restart of
  /// the synchronisation.
  bool isSynced() const { return Synced; }
  void restartSync();

private:
  struct OpenProbe {
    InstanceId Target;
    TimePoint SentAt{};
    bool AskedOthers = false;
    bool Answered = false;
  };
  struct RelayedProbe {
    InstanceId Target;
    Endpoint Asker;
    uint64_t Sequence = 0;
    TimePoint SentAt{};
  };

  Probe makeProbe(const Member *Target);
  uint64_t sendProbe(const Member &Target, ActionSink &Sink);
  void contact(Endpoint Address, ActionSink &Sink);
  void checkOpenProbes(ActionSink &Sink);
  void askOthers(uint64_t Sequence, const OpenProbe &Open, ActionSink &Sink);
  void settle(OpenProbe &Waiting, const Sender &Origin);
  void probeNext(ActionSink &Sink);
  void refreshOrder();
  void probeHints(ActionSink &Sink);
  std::vector<Endpoint> lostAddresses() const;
  void synchronise(ActionSink &Sink);
  std::vector<const Member *> someMembers(size_t Count, InstanceId Except);
  bool isLonely() const;
  void raiseDoubt();
  void lowerDoubt();

  Blackboard &Board;
  MemberRegistry &Registry;
  UpdateQueue &Updates;
  uint64_t NextSequence = 1;
  TimePoint NextProbe{};
  TimePoint NextHint{};
  TimePoint NextSync{};
  std::map<uint64_t, OpenProbe> Open;
  std::map<uint64_t, RelayedProbe> Relayed;
  std::vector<InstanceId> Order;
  std::unordered_set<InstanceId> InOrder;
  size_t Position = 0;
  uint64_t SeenGeneration = 0;
  const TimePoint StartedAt;
  std::vector<Endpoint> CandidateAddresses;
  size_t NextHintIndex = 0;
  bool Synced = false;
  InstanceId SyncPeer;
  InstanceId SyncCursor;
  uint64_t SyncSequence = 0;
  /// Counts up with own missed answers and down with received ones.
  uint32_t Doubt = 0;
};

/// The own state as an update for others.
MemberUpdate describe(const SelfState &Self);

} // namespace indigopoint
