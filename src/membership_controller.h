#pragma once

#include <functional>
#include <memory>

#include "engine_io.h"
#include "messages.h"

namespace indigopoint {

struct Blackboard;

/// Finds the other instances of the region and detects when they die, by probes
/// with suspicion and incarnations as in the SWIM protocol. Detects by the
/// clock when this process was paused.
class MembershipController {
public:
  using InstanceLostHook = std::function<void(InstanceId, ActionSink &)>;
  using ResetHook = std::function<void(ActionSink &)>;

  explicit MembershipController(Blackboard &Board);
  ~MembershipController();

  /// Sets the hook that is called when a member was declared dead, left, was
  /// replaced by a new process or joins again without its records.
  void setInstanceLostHook(InstanceLostHook Hook);

  /// Sets the hook that is called when this process learns that it was declared
  /// dead: all flow and upstream records have to be discarded.
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
  /// paused. The instance is then stale: it starts nothing until it has
  /// confirmed that it was not declared dead.
  bool detectPause(ActionSink &Sink);

  /// Whether \p From is the live process that is known under its instance id.
  bool isCurrent(const Sender &From) const;

  /// Whether this instance, while joining, knows all active members of the
  /// region.
  bool isSynced() const;

  /// Called by the handover controller when all records have arrived. Has no
  /// effect before there is a configuration.
  void becomeActive(ActionSink &Sink);

  /// Called by the handover controller when all records were handed over, or
  /// when the shutdown deadline has passed with \p Unfinished requests in
  /// progress.
  void announceLeaveAndStop(uint32_t Unfinished, ActionSink &Sink);

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
