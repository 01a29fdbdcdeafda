#pragma once

#include <unordered_map>

#include "configuration.h"
#include "types.h"

namespace indigopoint {

/// When each configured upstream came up: it was added, got another address or
/// stopped draining. Every instance keeps it for all upstreams, so that a new
/// owner goes on with the warm-up of the previous one.
class UpstreamStartTimes {
public:
  /// Compares with the configuration seen last. Upstreams of the first
  /// configuration count as warm: this process is new, not they.
  void update(const Configuration &Config, TimePoint Now);

  /// The zero time if the upstream was always there.
  TimePoint startTime(UpstreamId Id) const;

private:
  struct Entry {
    Endpoint Address;
    bool Draining = false;
    TimePoint AvailableSince{};
  };

  ConfigVersion LastVersion;
  bool HasConfig = false;
  std::unordered_map<UpstreamId, Entry> Entries;
};

} // namespace indigopoint
