#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "packet.h"
#include "reset_evidence.h"

namespace indigopoint {

struct Upstream;

enum class SteeringAction : uint8_t { Forward, Reset, Drop };

/// Why a packet was forwarded, reset or dropped.
enum class SteeringReason : uint8_t {
  /// An upstream was chosen for a new flow.
  NewFlow,
  /// A further opening packet of a known flow goes to the same upstream as the
  /// first one. It is a retransmission or a duplicate.
  RepeatedOpening,
  /// The first upstream did not answer the opening packet; another one was
  /// chosen for the retransmission.
  MovedOpening,
  /// The flow is in this instance's flow table.
  KnownFlow,
  /// The flow is not in the flow table, usually because its earlier packets
  /// went through another instance; the packet's tag identifies the upstream.
  TaggedFlow,
  /// The flow is not in the flow table; the packet is the first one after the
  /// opening and has the tag of an opening packet.
  OpenedElsewhere,
  /// Another instance reported the upstream of the flow.
  ReportedFlow,
  /// No configuration has been applied yet.
  NoConfiguration,
  /// The instance was paused, and what it knows of the store may be out of
  /// date. The client repeats the opening packet.
  Paused,
  /// No route matches the address. New flows are reset, so that the client can
  /// try another address; packets of unknown flows are dropped.
  NoRoute,
  /// The route of an open flow was removed.
  RouteRemoved,
  /// No upstream is available for a new flow.
  NoUpstream,
  /// The tag identifies no known upstream that serves the flow. It may be that
  /// of an opening packet although the client has sent more since, and so come
  /// from the late answer of an upstream that does not serve the flow.
  UnknownTag,
  /// The upstream is unregistered and its address belongs to another one now.
  AddressReused,
  /// The upstream is unregistered, has not registered again in time and has not
  /// answered since.
  UpstreamGone,
  /// The upstream failed a connection check and has not answered since. It may
  /// still be registered.
  UpstreamDead
};

constexpr size_t SteeringActionCount = 3;
constexpr size_t SteeringReasonCount = 16;

std::string_view nameOf(SteeringAction Value);
std::string_view nameOf(SteeringReason Value);

struct SteeringDecision {
  SteeringAction Action = SteeringAction::Drop;
  SteeringReason Reason = SteeringReason::NoConfiguration;
  /// The upstream that the packet is forwarded to, or whose state caused the
  /// reset or drop; null if there is none.
  const Upstream *Target = nullptr;
  /// The tag to write into a forwarded packet.
  FlowTag Tag = {};
  /// Whether a dropped packet may be steered again once more is known of its
  /// flow.
  bool MayHold = false;
  /// Why an open flow is reset.
  std::optional<ResetEvidence> Evidence{};
};

} // namespace indigopoint
