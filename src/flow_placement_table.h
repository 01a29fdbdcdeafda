#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "packet.h"
#include "types.h"

namespace indigopoint {

/// The upstream that serves an open flow.
struct FlowPlacement {
  FlowAddress Flow;
  UpstreamId Upstream;
  /// A sequence number that the client of the flow has used. It tells the flow
  /// from later ones with the same address.
  uint32_t Sequence = 0;
  bool operator==(const FlowPlacement &) const = default;
};

/// Whether a client that has used the sequence number \p Earlier may have
/// reached \p Sequence on the same flow.
bool isReachable(uint32_t Earlier, uint32_t Sequence);

/// Placements that this instance or others found. They are needed for flows
/// whose opening packet may have reached several upstreams, since the tag of a
/// client's packet can then name an upstream that does not serve the flow.
class FlowPlacementTable {
public:
  /// Adds or replaces the placement of a flow. The oldest placement is removed
  /// if the table is full.
  void record(const FlowPlacement &Placement, TimePoint Now);

  /// The placement of a flow; nothing if none was reported lately.
  std::optional<FlowPlacement> find(const FlowAddress &Flow) const;

  /// The placements that were reported last, at most \p Max, newest first.
  std::vector<FlowPlacement> newest(size_t Max) const;

  /// Removes the placements that were reported before \p Time.
  void expireBefore(TimePoint Time);

  size_t size() const { return Placements.size(); }

private:
  struct Entry {
    FlowPlacement Placement;
    TimePoint RecordedAt{};
  };

  struct Record {
    FlowAddress Flow;
    TimePoint RecordedAt{};
  };

  void removeOldest();

  std::unordered_map<FlowAddress, Entry, FlowAddressHash> Placements;
  /// In the order of time. A flow that was recorded again has several records.
  std::deque<Record> Records;
};

} // namespace indigopoint
