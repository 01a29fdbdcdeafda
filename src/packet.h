#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "types.h"

namespace indigopoint {

/// Identifies a flow by its two endpoints, as written in the header of the
/// client's packets.
struct FlowAddress {
  Endpoint Client;
  /// The virtual address and port that a route matches.
  Endpoint ServiceAddress;
  auto operator<=>(const FlowAddress &) const = default;
};

/// A stable hash that is equal on all instances.
uint64_t hashOf(const FlowAddress &Flow);

/// Formats as "100.64.0.7:40001>198.18.0.1:443".
std::string toString(const FlowAddress &Flow);

struct FlowAddressHash {
  size_t operator()(const FlowAddress &Flow) const { return hashOf(Flow); }
};

/// A number that instances write into the packets of a flow. Both endpoints
/// echo the last tag they received, so any instance can find the upstream of a
/// flow from any of the flow's packets. 0 means that there is no tag. The high
/// 16 bits depend on the upstream only, the low 16 bits on flow and upstream.
using FlowTag = TypedId<struct FlowTagType, uint32_t>;

/// The tag of an open flow that \p Upstream serves; never 0.
FlowTag tagOf(const FlowAddress &Flow, UpstreamId Upstream);

/// The tag of an opening packet with the sequence number \p InitialSequence
/// that goes to \p Upstream; never 0. It shows that the upstream received the
/// opening packet. Several upstreams may have received one, so it does not show
/// which of them serves the flow.
FlowTag openingTagOf(const FlowAddress &Flow, UpstreamId Upstream,
                     uint32_t InitialSequence);

/// The high 16 bits of a tag: a hash of the upstream's id, which all tags of an
/// upstream share.
uint16_t tagGroupOf(UpstreamId Upstream);
uint16_t tagGroupOf(FlowTag Tag);

/// The header fields of a client's packet that flow steering uses.
struct PacketHeader {
  FlowAddress Flow;
  /// Sequence number of the first data byte.
  uint32_t Sequence = 0;
  /// Sequence number of the next byte that the client expects. In an opening
  /// packet: the number of copies that were sent before.
  uint32_t AckNumber = 0;
  FlowTag Tag;
  uint16_t DataBytes = 0;
  bool IsOpening = false;
  bool IsFinal = false;
  bool IsReset = false;
};

} // namespace indigopoint
