#include "upstream_start_times.h"

#include <utility>

namespace indigopoint {

void UpstreamStartTimes::update(const Configuration &Config, TimePoint Now) {
  if (HasConfig && Config.Version == LastVersion)
    return;
  const bool IsFirst = !HasConfig;
  HasConfig = Config.Version != ConfigVersion();
  LastVersion = Config.Version;
  std::unordered_map<UpstreamId, Entry> NewEntries;
  for (const auto &[Id, Service] : Config.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams) {
      const auto It = Entries.find(Upstream.Id);
      Entry NewEntry{Upstream.Address, Upstream.Draining, {}};
      const bool IsSame = It != Entries.end() &&
                          It->second.Address == Upstream.Address &&
                          It->second.Draining <= Upstream.Draining;
      if (IsSame)
        NewEntry.AvailableSince = It->second.AvailableSince;
      else if (!IsFirst)
        NewEntry.AvailableSince = Now;
      NewEntries.emplace(Upstream.Id, NewEntry);
    }
  Entries = std::move(NewEntries);
}

TimePoint UpstreamStartTimes::startTime(UpstreamId Id) const {
  const auto It = Entries.find(Id);
  return It == Entries.end() ? TimePoint() : It->second.AvailableSince;
}

} // namespace indigopoint
