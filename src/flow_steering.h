#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "balancing_policy.h"
#include "clock.h"
#include "exchange_monitor.h"
#include "flow_placement_table.h"
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
    /// Returns whether packets waited in front of this instance's own network
    /// link while a check that ends now was made.
    std::function<bool()> IsLinkCongested = [] { return false; };
    /// Returns the instances that share the limits of upstreams in a zone (see
    /// WarmupLimiter).
    WarmupLimiter::InstancesHook InstancesOfZone = [](const std::string &) {
      return std::vector<Endpoint>();
    };
    /// Called at the first packet of an open flow that names another upstream
    /// than the flow's (the last argument).
    std::function<void(const FlowAddress &, const Upstream &, const Upstream &)>
        OnTagConflict =
            [](const FlowAddress &, const Upstream &, const Upstream &) {};
    /// Called when a flow is open whose opening packet may have reached several
    /// upstreams, for the other instances of the zone.
    std::function<void(const FlowPlacement &)> OnPlacement =
        [](const FlowPlacement &) {};
    /// Called when the tag of a packet identifies no upstream. The other
    /// instances of the zone may know the flow; the caller passes their answers
    /// to recordPlacement.
    std::function<void(const FlowAddress &)> OnUnidentifiedFlow =
        [](const FlowAddress &) {};
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
  void recordCheckResult(UpstreamId Id, CheckResult Result);

  /// Called when a requested check told nothing.
  void recordVoidCheck(UpstreamId Id);

  /// Starts the checks that were requested and are due.
  void startRequestedChecks();

  /// Processes evidence that another instance of the zone reported.
  void recordPeerEvidence(const PeerReport &Report);

  /// Processes the placement of a flow that another instance reported.
  void recordPlacement(const FlowPlacement &Placement);

  /// Where an open flow is, as this instance or another one found; nothing if
  /// that is not known.
  std::optional<FlowPlacement> placementOf(const FlowAddress &Flow);

  /// The placements that other instances need when this one stops, newest
  /// first.
  std::vector<FlowPlacement> recentPlacements(size_t Max) const {
    return Placements.newest(Max);
  }

  /// Resets the flows of upstreams that were found dead since the last call, if
  /// their clients lose nothing by it. Iterates over all flows if there is one.
  void resetFlowsOfDeadUpstreams();

  /// Called when upstreams of the own zone are late and none answers: checks
  /// them. Flows of an upstream are reset if its check fails.
  void checkLateUpstreams();

  /// Called when all upstreams of the own zone have become silent: avoids those
  /// of which no answer arrives meanwhile, and checks those that other
  /// instances have not found to have stopped.
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
  /// Steers a packet of an unknown flow to the upstream that serves the flow,
  /// and adds the flow to the table.
  SteeringDecision adoptFlow(const PacketHeader &Packet);
  /// An upstream that serves a flow, and how it was found.
  struct Identification {
    Upstream *Target = nullptr;
    SteeringReason Reason = SteeringReason::UnknownTag;
  };
  /// Finds the upstream of a flow without this instance's own state. There is
  /// none if the tag may name an upstream that does not serve the flow.
  Identification identify(const PacketHeader &Packet);
  /// \p Flow is null if this instance did not see the flow's opening.
  SteeringDecision dropUnidentified(const PacketHeader &Packet,
                                    const SteeredFlow *Flow);
  /// Reports the first packet of an open flow that names another upstream than
  /// \p Target.
  void checkTag(const PacketHeader &Packet, SteeredFlow &Flow,
                const Upstream &Target);
  SteeringDecision forwardUnlessAddressReused(SteeringReason Reason,
                                              Upstream &Target,
                                              FlowTag Tag) const;
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
  /// Resets an open flow that sent no packet now.
  void resetFlow(const FlowAddress &Address, SteeredFlow &Flow,
                 Upstream &Target, const ResetEvidence &Evidence);
  /// Whether the result of a check tells something of the upstream.
  bool isConclusive(CheckResult Result, const Upstream &Target) const;
  /// Records the failed checks of other instances, and checks the upstream
  /// unless they suffice.
  void recordWitnesses(Upstream &Target);
  /// Resets the waiting flows of a dead upstream, and its idle ones with the
  /// next call of resetFlowsOfDeadUpstreams.
  void giveUp(Upstream &DeadUpstream);
  /// Resets the flows of a dead upstream whose clients wait for an answer.
  void resetWaitingFlows(Upstream &DeadUpstream);
  Upstream *choose(const std::string &Service, const NewFlow &FlowToOpen,
                   const PacketHeader &Opening);
  /// Whether the upstream takes a new flow now, at a limit of \p WarmupRate
  /// flows a second while it is cold.
  bool mayOpenAt(const Upstream &Target, double WarmupRate);
  /// Whether no other upstream has one of the flow's tags at \p Target.
  bool isTagUnique(const Upstream &Target, const PacketHeader &Opening);
  bool canAssignFlow(const Upstream &Target, const PacketHeader &Opening);
  /// Forwards an opening packet and counts it for the limit of cold upstreams
  /// and for the reachability gate. \p Flow may be null.
  SteeringDecision forwardOpening(SteeringReason Reason,
                                  const PacketHeader &Packet,
                                  const SteeredFlow *Flow, Upstream &Target);
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
  FlowPlacementTable Placements;
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
