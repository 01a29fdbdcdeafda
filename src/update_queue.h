#pragma once

#include <vector>

#include "messages.h"

namespace indigopoint {

/// Approximate size of \p Update in an encoded datagram.
size_t estimatedBytes(const MemberUpdate &Update);

/// Member updates that are spread by gossip, as part of probes. Each update is
/// sent a limited number of times; the least often sent go first.
class UpdateQueue {
public:
  /// Adds an update and replaces a queued one about the same instance.
  void add(const MemberUpdate &Update);

  /// Appends updates to \p Out until it holds \p Bytes. \p Members is the size
  /// of the group, which limits how often an update is sent.
  void appendTo(size_t Bytes, size_t Members, std::vector<MemberUpdate> &Out);

  void clear() { Entries.clear(); }
  bool empty() const { return Entries.empty(); }

private:
  struct Entry {
    MemberUpdate Update;
    uint32_t SendCount = 0;
  };

  std::vector<Entry> Entries;
};

} // namespace indigopoint
