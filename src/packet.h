#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "types.h"

namespace indigopoint {

/// A flow of packets, named by its two ends as the client writes them.
struct FlowAddress {
  Endpoint Client;
  /// The address and port that a route stands for.
  Endpoint ServiceAddress;
  auto operator<=>(const FlowAddress &) const = default;
};

/// A stable hash; equal on all instances.
uint64_t hashOf(const FlowAddress &Flow);

/// Formats as "100.64.0.7:40001>198.18.0.1:443".
std::string toString(const FlowAddress &Flow);

struct FlowAddressHash {
  size_t operator()(const FlowAddress &Flow) const { return hashOf(Flow); }
};

/// A number that instances write into the packets of a flow. Both ends repeat
/// the last one they received, so any instance learns the upstream of a flow
/// from any of its packets. 0 means none. The high half depends on the
/// upstream only, the low half on flow and upstream.
using FlowTag = TypedId<struct FlowTagTag, uint32_t>;

/// The tag of a flow at an upstream; never 0.
FlowTag tagOf(const FlowAddress &Flow, UpstreamId Upstream);

/// What all tags of an upstream have in common.
uint16_t tagGroupOf(UpstreamId Upstream);
uint16_t tagGroupOf(FlowTag Tag);

/// What steering reads of a packet that a client sent.
struct PacketHeader {
  FlowAddress Flow;
  /// Of the first byte of data.
  uint32_t Sequence = 0;
  /// Of the next byte that the client expects. In an opening packet, how many
  /// copies were sent before.
  uint32_t AckNumber = 0;
  FlowTag Tag;
  uint16_t DataBytes = 0;
  bool IsOpening = false;
  bool IsFinal = false;
  bool IsReset = false;
};

} // namespace indigopoint
