#pragma once

#include <functional>
#include <optional>
#include <string>

#include "balancing_policy.h"
#include "clock.h"
#include "packet.h"
#include "route_table.h"
#include "steered_flow_table.h"
#include "steering_decision.h"
#include "steering_metrics.h"

namespace indigopoint {

/// Decides where packets of clients go. Answers go from the upstream to the
/// client directly, so only the clients' packets are seen.
class FlowSteering {
public:
  struct Options {
    std::string Zone;
    BalancingPolicy Policy;
  };

  struct Hooks {
    /// An opening packet of a flow found no answer in time.
    std::function<void(const FlowAddress &, const Upstream &)> OnOpenTimeout;
    /// Whether the upstream accepts connections should be checked, and told
    /// to recordCheckResult.
    std::function<void(const Upstream &)> OnCheckNeeded;
  };

  FlowSteering(Options Given, const Clock &TimeSource, RouteTable &Routes,
               UpstreamRegistry &Upstreams, SteeringMetrics &Metrics,
               Hooks Report)
      : Opts(std::move(Given)), TimeSource(TimeSource), Routes(Routes),
        Upstreams(Upstreams), Metrics(Metrics), Report(std::move(Report)) {}

  SteeringDecision steer(const PacketHeader &Packet);

  /// Takes the outcome of a check that OnCheckNeeded asked for.
  void recordCheckResult(UpstreamId Id, bool IsAccepting);

  /// Forgets flows that ended. Called about once a second.
  void sweep();

  size_t flows() const { return Flows.size(); }

private:
  SteeringDecision decide(const PacketHeader &Packet);
  void onOpenTimeout(const FlowAddress &Address, SteeredFlow &Flow);
  SteeringDecision steerOpening(const PacketHeader &Packet, SteeredFlow *Flow);
  SteeringDecision steerLater(const PacketHeader &Packet, SteeredFlow *Flow);
  SteeringDecision openFlow(const PacketHeader &Packet, const Route &Via,
                            SteeredFlow *Flow, UpstreamId Avoided);
  SteeringDecision followTag(const PacketHeader &Packet);
  SteeringDecision forward(SteeringReason Reason, Upstream &To) const;
  SteeringDecision continueFlow(const PacketHeader &Packet,
                                SteeringReason Reason, bool Repeated,
                                Upstream &To);
  std::optional<SteeringReason> reasonToReset(const Upstream &Given,
                                              bool Repeated) const;
  void considerCheck(Upstream &Given);
  Upstream *choose(const std::string &Service, const NewFlow &Opening);
  bool takesFlow(const Upstream &Given, const FlowAddress &Flow);
  /// Returns whether the packet repeats data that nothing answered.
  bool noteProgress(const PacketHeader &Packet, SteeredFlow &Flow,
                    Upstream &To);
  UpstreamId refusedBy(const FlowAddress &Flow);
  void endPending(SteeredFlow &Flow);
  void setPhase(SteeredFlow &Flow, SteeredFlow::Phase Next);
  void release(SteeredFlow &Flow);
  void assign(SteeredFlow &Flow, UpstreamId To);

  Options Opts;
  const Clock &TimeSource;
  RouteTable &Routes;
  UpstreamRegistry &Upstreams;
  SteeringMetrics &Metrics;
  Hooks Report;
  SteeredFlowTable Flows;
  /// The last flow that each client opened, by the client's address.
  std::unordered_map<uint32_t, FlowAddress> LastOpened;
  /// When any upstream last answered.
  TimePoint AnyAnswer{};
  /// A smoothed time from an opening packet to the client's next one.
  Duration TypicalOpening = std::chrono::milliseconds(10);
};

} // namespace indigopoint
