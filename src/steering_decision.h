#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace indigopoint {

struct Upstream;

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
  AddressReused,
  /// The upstream's registration ended and it answers no more.
  UpstreamGone,
  /// The upstream accepts no connections and answers no more.
  UpstreamDead
};

constexpr size_t SteeringActionCount = 3;
constexpr size_t SteeringReasonCount = 13;

std::string_view nameOf(SteeringAction Value);
std::string_view nameOf(SteeringReason Value);

struct SteeringDecision {
  SteeringAction Action = SteeringAction::Drop;
  SteeringReason Reason = SteeringReason::NoConfiguration;
  /// The upstream that a forwarded packet goes to, or for whose sake it does
  /// not; null if there is none.
  const Upstream *Target = nullptr;
};

} // namespace indigopoint
