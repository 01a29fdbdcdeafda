#include "upstream_start_times.h"

#include <utility>

namespace indigopoint {

void UpstreamStartTimes::update(const Configuration &Config, TimePoint Now) {
  if (HasConfig && Config.Version == Seen)
    return;
  const bool IsFirst = !HasConfig;
  HasConfig = Config.Version != ConfigVersion();
  Seen = Config.Version;
  std::unordered_map<UpstreamId, Known> Next;
  for (const auto &[Id, Service] : Config.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams) {
      const auto It = All.find(Upstream.Id);
      Known Entry{Upstream.Address, Upstream.Draining, {}};
      const bool IsSame = It != All.end() &&
                          It->second.Address == Upstream.Address &&
                          It->second.Draining <= Upstream.Draining;
      if (IsSame)
        Entry.Since = It->second.Since;
      else if (!IsFirst)
        Entry.Since = Now;
      Next.emplace(Upstream.Id, Entry);
    }
  All = std::move(Next);
}

TimePoint UpstreamStartTimes::startTime(UpstreamId Id) const {
  const auto It = All.find(Id);
  return It == All.end() ? TimePoint() : It->second.Since;
}

} // namespace indigopoint
