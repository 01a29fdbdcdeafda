#pragma once

#include "connect_check.h"
#include "event_log.h"
#include "reachability_gate.h"
#include "route_table.h"
#include "steering_decision.h"
#include "timer_lateness.h"
#include "upstream_registry.h"

namespace indigopoint {

class StoreFollower;

/// Writes the events of a forwarder's flows and upstreams. Most lines tell
/// which configuration was in force and how old the store's data was.
class ForwarderLog {
public:
  ForwarderLog(EventLog &Log, const Clock &TimeSource, const RouteTable &Routes,
               const StoreFollower &Follower, const TimerLateness &Lateness)
      : Log(Log), TimeSource(TimeSource), Routes(Routes), Follower(Follower),
        Lateness(Lateness) {}

  /// Writes a line unless the decision only repeats an earlier one.
  void writeDecision(const PacketHeader &Packet,
                     const SteeringDecision &Decision);
  void writeOpenTimeout(const FlowAddress &Flow,
                        const Upstream &UnresponsiveUpstream);
  /// \p Named is the upstream that a packet named, \p Target the flow's.
  void writeTagConflict(const FlowAddress &Flow, const Upstream &Target,
                        const Upstream &Named);
  /// \p EvidenceSource tells who found the evidence.
  void writeUnresponsive(const Upstream &Target, const char *EvidenceSource);
  /// \p Checked is null if the upstream is unknown by now.
  void writeCheckResult(UpstreamId Id, CheckResult Result,
                        const Upstream *Checked);

  /// Writes that routers should send clients elsewhere, or here again.
  void writeReachability(const ReachabilityGate &Gate, bool IsReachable);
  void writePause();

private:
  /// The configuration in force and the state of the store's data.
  EventLog::Fields storeStateFields() const;
  /// Those fields, and how late the process is.
  EventLog::Fields processStateFields() const;

  EventLog &Log;
  const Clock &TimeSource;
  const RouteTable &Routes;
  const StoreFollower &Follower;
  const TimerLateness &Lateness;
};

} // namespace indigopoint
