#pragma once

#include <string>

#include "clock.h"
#include "packet.h"
#include "route_table.h"
#include "steering_flows.h"
#include "upstream_registry.h"

namespace indigopoint {

enum class SteeringAction : uint8_t { Forward, Reset, Drop };

/// Why a packet went where it went.
enum class SteeringReason : uint8_t {
  /// An upstream was chosen for a new flow.
  NewFlow,
  /// A copy of an opening packet follows the first one.
  RepeatedOpening,
  /// The upstream of an earlier copy did not answer; another one was chosen.
  MovedOpening,
  /// A packet of a flow known here.
  KnownFlow,
  /// A packet of a flow that came from another instance; its tag tells the
  /// upstream.
  TaggedFlow,
  /// No configuration is in force yet.
  NoConfiguration,
  /// No route stands for the address; the client is told to try elsewhere.
  NoRoute,
  /// The route of an open flow was removed.
  RouteRemoved,
  /// A new flow finds no upstream that takes it.
  NoUpstream,
  /// The tag stands for no upstream known here.
  UnknownTag,
  /// The upstream is gone and its address belongs to another one.
  AddressReused
};

constexpr size_t SteeringReasons = 11;

std::string_view nameOf(SteeringAction Value);
std::string_view nameOf(SteeringReason Value);

struct SteeringDecision {
  SteeringAction Action = SteeringAction::Drop;
  SteeringReason Reason = SteeringReason::NoConfiguration;
  /// Set when the packet is forwarded.
  const Upstream *To = nullptr;
};

/// Decides where packets of clients go. Answers go from the upstream to the
/// client directly, so only the clients' packets are seen.
class FlowSteering {
public:
  struct Settings {
    std::string Zone;
  };

  FlowSteering(Settings Given, const Clock &Time, RouteTable &Routes,
               UpstreamRegistry &Upstreams)
      : Given(std::move(Given)), Time(Time), Routes(Routes),
        Upstreams(Upstreams) {}

  SteeringDecision steer(const PacketHeader &Packet);

  /// Forgets flows that ended. Called about once a second.
  void sweep();

  size_t flows() const { return Flows.size(); }

private:
  SteeringDecision steerOpening(const PacketHeader &Packet, SteeredFlow *Flow);
  SteeringDecision steerLater(const PacketHeader &Packet, SteeredFlow *Flow);
  SteeringDecision openFlow(const PacketHeader &Packet, const Route &Via,
                            SteeredFlow *Flow, UpstreamId Avoided);
  SteeringDecision followTag(const PacketHeader &Packet);
  SteeringDecision forward(SteeringReason Reason, Upstream &To) const;
  Upstream *choose(const std::string &Service, const FlowAddress &Flow,
                   UpstreamId Avoided);
  bool takesFlow(const Upstream &Given, const FlowAddress &Flow);
  void noteProgress(const PacketHeader &Packet, SteeredFlow &Flow,
                    Upstream &To);
  void setPhase(SteeredFlow &Flow, SteeredFlow::Phase Next);
  void release(SteeredFlow &Flow);
  void assign(SteeredFlow &Flow, UpstreamId To);

  Settings Given;
  const Clock &Time;
  RouteTable &Routes;
  UpstreamRegistry &Upstreams;
  SteeredFlows Flows;
};

} // namespace indigopoint
