#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "packet.h"
#include "types.h"

namespace indigopoint {

/// Packets of flows whose upstream is not known yet. They are steered again
/// when an earlier packet of the flow has arrived, or another instance has
/// reported the upstream.
class HeldPackets {
public:
  struct Entry {
    PacketHeader Header;
    std::string Datagram;
    TimePoint HeldAt{};
  };

  /// Holds a packet; false if there is no room.
  bool add(const PacketHeader &Header, std::string_view Datagram,
           TimePoint Now);

  /// Removes and returns the packets of a flow in the order of their arrival.
  std::vector<Entry> take(const FlowAddress &Flow);

  /// Removes and returns the packets that were held for too long.
  std::vector<Entry> takeExpired(TimePoint Now);

  bool isEmpty() const { return Entries.empty(); }

private:
  std::deque<Entry> Entries;
};

} // namespace indigopoint
