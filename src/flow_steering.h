#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "balancing_policy.h"
#include "clock.h"
#include "exchange_monitor.h"
#include "packet.h"
#include "reachability_gate.h"
#include "route_table.h"
#include "spillover.h"
#include "steered_flow_table.h"
#include "steering_decision.h"
#include "steering_metrics.h"
#include "warmup_limiter.h"

namespace indigopoint {

/// Decides for each packet of a client whether to forward it, and to which
/// upstream. Upstreams answer their clients directly (direct server return), so
/// only the clients' packets pass through this instance.
class FlowSteering {
public:
  struct Options {
    std::string Zone;
    BalancingPolicy Policy;
    PlacementOptions Placement = {};
    CheckOptions Checks = {};
    /// The address that identifies this instance among InstancesOfZone.
    Endpoint Self = {};
    /// Gets the openings and answers; may be null.
    ReachabilityGate *Gate = nullptr;
    /// Gets the response times; may be null.
    Spillover *Spill = nullptr;
  };

  struct Hooks {
    /// Called when an opening packet was not answered within OpenTimeout.
    std::function<void(const FlowAddress &, const Upstream &)> OnOpenTimeout =
        [](const FlowAddress &, const Upstream &) {};
    /// Asks the caller to check whether the upstream accepts connections and
    /// to pass the result to recordCheckResult.
    std::function<void(const Upstream &)> OnCheckNeeded = [](const Upstream &) {
    };
    /// Asks the caller to reset a flow without a packet to decide on. The
    /// packet has the flow's address and last acknowledgement number.
    std::function<void(const PacketHeader &, const SteeringDecision &)>
        OnReset = [](const PacketHeader &, const SteeringDecision &) {};
    /// Returns whether what is known of the store may be out of date after a
    /// pause of the process. Opening packets are then dropped.
    std::function<bool()> IsOutdated = [] { return false; };
    /// Returns the instances that share the limits of upstreams in a zone (see
    /// WarmupLimiter).
    WarmupLimiter::InstancesHook InstancesOfZone = [](const std::string &) {
      return std::vector<Endpoint>();
    };
    /// Called when this instance has new evidence that an upstream is
    /// unresponsive, for the other instances of its zone.
    std::function<void(const Upstream &)> OnUnresponsive =
        [](const Upstream &) {};
    /// Called when a check of this instance found that an upstream has stopped,
    /// for the other instances of its zone.
    std::function<void(const Upstream &)> OnStopped = [](const Upstream &) {};
    /// Called when an upstream becomes unresponsive by evidence that other
    /// instances reported.
    std::function<void(const Upstream &)> OnReportedUnresponsive =
        [](const Upstream &) {};
  };

  FlowSteering(Options Opts, const Clock &TimeSource, RouteTable &Routes,
               UpstreamRegistry &Upstreams, SteeringMetrics &Metrics,
               Hooks FlowHooks)
      : Opts(std::move(Opts)), TimeSource(TimeSource), Routes(Routes),
        Upstreams(Upstreams), Metrics(Metrics), FlowHooks(std::move(FlowHooks)),
        Warmups(this->Opts.Self, this->FlowHooks.InstancesOfZone),
        Exchanges(this->Opts.Zone, this->Opts.Self, Routes, Upstreams, Flows,
                  {this->FlowHooks.OnUnresponsive,
                   this->FlowHooks.OnReportedUnresponsive,
                   this->FlowHooks.IsOutdated}) {}

  SteeringDecision steer(const PacketHeader &Packet);

  /// Processes the result of a check that OnCheckNeeded requested.
  void recordCheckResult(UpstreamId Id, bool IsAccepting);

  /// Processes evidence that another instance of the zone reported.
  void recordPeerEvidence(const PeerReport &Report);

  /// Resets the flows of upstreams that were found dead since the last call, if
  /// their clients lose nothing by it. Iterates over all flows if there is one.
  void resetFlowsOfDeadUpstreams();

  /// Called when all upstreams of the own zone have become silent: avoids those
  /// of which no answer arrives meanwhile, and resets the flows that lose
  /// nothing by it.
  void leaveSilentZone();

  /// Removes closed and idle flows, and upstreams that no flow can use any
  /// more. Called about once a second.
  void sweep();

  /// The number of flows in the table.
  size_t flows() const { return Flows.size(); }

private:
  SteeringDecision decide(const PacketHeader &Packet);
  void onOpenTimeout(const FlowAddress &Address, SteeredFlow &Flow);
  SteeringDecision steerOpening(const PacketHeader &Packet, SteeredFlow *Flow);
  /// Steers a packet after the opening, of a known or an unknown flow.
  SteeringDecision steerLaterPacket(const PacketHeader &Packet,
                                    SteeredFlow *Flow);
  /// Chooses an upstream for an opening packet. \p Flow is null for a new flow;
  /// a known flow is moved to the chosen upstream.
  SteeringDecision assignNewUpstream(const PacketHeader &Packet,
                                     const Route &MatchedRoute,
                                     SteeredFlow *Flow,
                                     UpstreamId UpstreamToAvoid);
  /// Steers a packet of an unknown flow to the upstream that its tag
  /// identifies, and adds the flow to the table.
  SteeringDecision steerByTag(const PacketHeader &Packet);
  SteeringDecision forwardUnlessAddressReused(SteeringReason Reason,
                                              Upstream &Target) const;
  /// Forwards a packet of an open flow, or resets the flow or drops the packet
  /// if the upstream has stopped.
  SteeringDecision forwardOrReset(const PacketHeader &Packet,
                                  SteeringReason Reason, bool IsRetransmission,
                                  Upstream &Target);
  /// Updates the flow and its upstream's state when the client acknowledges new
  /// data of the upstream.
  void recordAnswer(const PacketHeader &Packet, SteeredFlow &Flow,
                    Upstream &Target);
  std::optional<SteeringReason> reasonToReset(const PacketHeader &Packet,
                                              const Upstream &Target,
                                              bool IsRetransmission) const;
  /// Whether a flow may be reset although its upstream may only be silent.
  bool mayResetOnSuspicion(const FlowAddress &Flow) const;
  void requestCheckIfDue(Upstream &Target);
  /// Resets the open flows of some upstreams that are idle or whose requests
  /// are idempotent.
  void resetFlowsOf(const std::function<bool(const Upstream &)> &IsAffected);
  /// Resets an open flow that sent no packet now.
  void resetFlow(const FlowAddress &Address, SteeredFlow &Flow,
                 Upstream &Target);
  /// Resets the flows of a dead upstream whose clients wait for an answer.
  void resetWaitingFlows(Upstream &DeadUpstream);
  Upstream *choose(const std::string &Service, const NewFlow &FlowToOpen);
  /// Whether the upstream takes a new flow now, at a limit of \p WarmupRate
  /// flows a second while it is cold.
  bool mayOpenAt(const Upstream &Target, double WarmupRate);
  bool isTagUnique(const Upstream &Target, const FlowAddress &Flow);
  bool canAssignFlow(const Upstream &Target, const FlowAddress &Flow);
  /// Forwards an opening packet and counts it for the limit of cold upstreams
  /// and for the reachability gate.
  SteeringDecision forwardOpening(SteeringReason Reason, Upstream &Target);
  /// Tells the reachability gate that the upstream has to answer.
  void recordWait(const Upstream &Target);
  /// Updates the flow and its upstream's reachability from a packet after the
  /// opening. Returns whether the packet retransmits unacknowledged data.
  bool updateFlow(const PacketHeader &Packet, SteeredFlow &Flow,
                  Upstream &Target);
  /// The client's previous flow to the same address may have been refused if
  /// its opening is still pending. Returns the upstream of that flow, which the
  /// new flow should avoid, and records a refusal if the time between the two
  /// openings suggests one. Returns no id if there is no such flow.
  UpstreamId checkPreviousOpening(const FlowAddress &Flow);
  void clearPendingOpening(SteeredFlow &Flow);
  void setPhase(SteeredFlow &Flow, SteeredFlow::Phase NewPhase);
  /// Removes the flow from its upstream's counts of open flows and pending
  /// openings.
  void uncountFlow(SteeredFlow &Flow);
  void assign(SteeredFlow &Flow, UpstreamId NewId);

  Options Opts;
  const Clock &TimeSource;
  RouteTable &Routes;
  UpstreamRegistry &Upstreams;
  SteeringMetrics &Metrics;
  Hooks FlowHooks;
  WarmupLimiter Warmups;
  SteeredFlowTable Flows;
  ExchangeMonitor Exchanges;
  /// The flow that each client opened last, by the client's address.
  std::unordered_map<uint32_t, FlowAddress> LastFlowByClient;
  /// Flows whose clients retransmit, by upstream. May also hold flows that were
  /// answered or closed since.
  std::multimap<UpstreamId, FlowAddress> RetransmittingFlows;
  /// Whether an upstream was found dead whose flows may still be open.
  bool HasNewDeadUpstream = false;
  /// Time of the most recent answer from any upstream.
  TimePoint LastAnswerFromAnyUpstream{};
  /// Moving average of the time from an opening packet to the client's next
  /// packet.
  Duration TypicalOpenLatency = std::chrono::milliseconds(10);
};

} // namespace indigopoint
