#pragma once

#include <unordered_map>

#include "configuration.h"
#include "types.h"

namespace indigopoint {

/// The time at which each configured upstream became available: it was added,
/// got another address or stopped draining. Every instance keeps the times of
/// all upstreams, so that a new owner instance continues the warm-up of the
/// previous one.
class UpstreamStartTimes {
public:
  /// Compares with the previous configuration. Upstreams of the first
  /// configuration count as warm, because the process has just started, not the
  /// upstreams.
  void update(const Configuration &Config, TimePoint Now);

  /// The zero time if the upstream was in the first configuration and has not
  /// changed since, or is unknown.
  TimePoint startTime(UpstreamId Id) const;

private:
  struct Entry {
    Endpoint Address;
    bool Draining = false;
    /// The result of startTime().
    TimePoint AvailableSince{};
  };

  ConfigVersion LastVersion;
  bool HasConfig = false;
  std::unordered_map<UpstreamId, Entry> Entries;
};

} // namespace indigopoint
