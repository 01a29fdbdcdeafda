#pragma once

#include <functional>
#include <memory>

#include "engine_io.h"
#include "messages.h"

namespace indigopoint {

struct Blackboard;

/// Finds the other instances of the region, their deaths and the own
/// staleness, by probes with suspicion and incarnations.
class MembershipController {
public:
  using InstanceLostHook = std::function<void(InstanceId, ActionSink &)>;
  using ResetHook = std::function<void(ActionSink &)>;

  explicit MembershipController(Blackboard &Board);
  ~MembershipController();

  /// Called when a member was declared dead, left, was replaced by a new
  /// process or joins again without its records.
  void setInstanceLostHook(InstanceLostHook Hook);

  /// Called when this process learns that it was declared dead: everything
  /// kept for others has to be forgotten.
  void setResetHook(ResetHook Hook);

  void onProbe(Endpoint From, const Sender &Origin, const Probe &Received,
               ActionSink &Sink);
  void onProbeAck(Endpoint From, const Sender &Origin, const ProbeAck &Received,
                  ActionSink &Sink);
  void onIndirectProbe(Endpoint From, const Sender &Origin,
                       const IndirectProbe &Received, ActionSink &Sink);
  void onInstanceList(const InstanceListObserved &List, ActionSink &Sink);
  void onDrainRequested(const DrainRequested &Request, ActionSink &Sink);
  void onTick(ActionSink &Sink);

  /// Called before each event is handled. Returns true if the process was
  /// paused; this instance is stale from then on until its standing is known.
  bool noticePause(ActionSink &Sink);

  /// Whether \p From is the process that is known to run under its id.
  bool isCurrent(const Sender &From) const;

  /// Whether all active members of the region are known to a joiner.
  bool isSynced() const;

  /// Called by the handover controller: all records have arrived. Has no
  /// effect before a configuration is in force.
  void becomeActive(ActionSink &Sink);

  /// Called by the handover controller: all records were handed over, or the
  /// time for it is over with \p Unfinished requests in progress.
  void announceLeft(uint32_t Unfinished, ActionSink &Sink);

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
