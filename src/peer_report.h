#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "flow_placement_table.h"
#include "types.h"

namespace indigopoint {

/// Evidence of one instance that an upstream does not answer.
struct UpstreamEvidence {
  UpstreamId Upstream;
  /// Start of the upstream's process (see UpstreamRegistration), so that the
  /// evidence does not apply to a later process with the same id.
  int64_t StartedAtMs = 0;
  /// Time since the evidence was found.
  Duration Age{};
  /// Whether a connection check of the sender found that it has stopped.
  bool HasStopped = false;
  bool operator==(const UpstreamEvidence &) const = default;
};

/// What an instance tells the other instances of its zone.
struct PeerReport {
  /// The sender's peer address, which identifies it (see PeerInfo).
  Endpoint Sender;
  std::string Zone;
  /// Rises with each report of a sender's process.
  uint64_t Sequence = 0;
  std::vector<UpstreamEvidence> Evidence;
  /// Where flows are whose opening packet may have reached several upstreams,
  /// and answers to queries.
  std::vector<FlowPlacement> Placements = {};
  /// Flows whose upstream the sender does not know.
  std::vector<FlowAddress> Queries = {};
  bool operator==(const PeerReport &) const = default;
};

} // namespace indigopoint
