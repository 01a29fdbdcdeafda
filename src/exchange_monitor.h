#pragma once

#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "peer_evidence.h"
#include "route_table.h"
#include "steered_flow_table.h"
#include "upstream_registry.h"

namespace indigopoint {

/// Follows the exchanges of all flows and finds the upstreams that leave
/// requests unanswered, from these exchanges and from the evidence of other
/// instances.
class ExchangeMonitor {
public:
  struct Hooks {
    /// Called when this instance has new evidence that an upstream is
    /// unresponsive.
    std::function<void(const Upstream &)> OnUnresponsive;
    /// Called when an upstream becomes unresponsive by evidence of other
    /// instances.
    std::function<void(const Upstream &)> OnReportedUnresponsive;
    /// Returns whether answers may have been missed during a pause of the
    /// process. No exchange then counts as overdue.
    std::function<bool()> IsOutdated;
  };

  ExchangeMonitor(const std::string &Zone, Endpoint Self,
                  const RouteTable &Routes, UpstreamRegistry &Upstreams,
                  SteeredFlowTable &Flows, Hooks MonitorHooks)
      : Routes(Routes), Upstreams(Upstreams), Flows(Flows),
        MonitorHooks(std::move(MonitorHooks)), Peers(Zone, Self) {}

  /// Called when an opening packet of a new flow is sent to \p Target.
  void recordOpening(const FlowAddress &Address, Upstream &Target,
                     TimePoint Now);

  /// Called when the client of an open flow sends the first data after the last
  /// answer.
  void recordRequest(const FlowAddress &Address, SteeredFlow &Flow,
                     Upstream &Target);

  /// Called when the client acknowledges an answer to the flow's request.
  static void recordAnswer(SteeredFlow &Flow, Upstream &Target, TimePoint Now);

  /// Called when the client gives up the flow's request, if it has one.
  void recordAbandonment(SteeredFlow &Flow, TimePoint Now);

  /// Called when the flow's exchange no longer counts for its upstream.
  void end(SteeredFlow &Flow);

  /// Records evidence of the exchanges that have been open for too long.
  void reportOverdue(TimePoint Now);

  void recordPeerEvidence(const PeerReport &Report, TimePoint Now);

  /// Whether enough instances found that the upstream has stopped. The doubts
  /// of this instance count as those of one.
  bool hasStopped(const Upstream &Target, TimePoint Now) const;

  /// How many other instances reported a failed check since the upstream's
  /// last answer.
  size_t countStopReports(const Upstream &Target, TimePoint Now) const {
    return Peers.countStopReports(Target, Now);
  }

  /// Updates the effect of reported evidence on the upstreams of a service.
  void applyPeerEvidence(const std::string &Service, TimePoint Now);

  void expire(TimePoint Now) { Peers.expire(Now); }

private:
  struct Deadline {
    TimePoint DueAt;
    TimePoint StartedAt;
    FlowAddress Flow;
    bool operator>(const Deadline &Other) const { return DueAt > Other.DueAt; }
  };

  void recordEvidence(Upstream &Target, TimePoint Now);

  /// Whether another upstream of the service has answered a request since
  /// \p StartedAt. Otherwise a missing answer says nothing about this one.
  bool hasOtherAnswered(const Upstream &Target, TimePoint StartedAt) const;

  /// The age from which an exchange of the flow's route may be evidence.
  Duration minEvidenceAge(const FlowAddress &Address) const;

  /// The age that an exchange must exceed compared with others of the service;
  /// 0 if their usual response time is unknown.
  Duration unusualAge(const Upstream &Target, TimePoint Now) const;

  const RouteTable &Routes;
  UpstreamRegistry &Upstreams;
  SteeredFlowTable &Flows;
  Hooks MonitorHooks;
  PeerEvidence Peers;
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>>
      Deadlines;
};

} // namespace indigopoint
