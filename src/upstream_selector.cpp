#include "upstream_selector.h"

#include <algorithm>

#include "blackboard.h"

namespace indigopoint {

namespace {

// Owners send load reports twice a second; an older report may be outdated.
constexpr Duration LoadReportLifetime = std::chrono::seconds(5);

// After its owner has reported an upstream as draining, this instance moves its
// flows away and soon sends no more requests to the upstream. No later answer
// could then clear the state, so the upstream is tried again after this time;
// its owner still refuses requests if it is draining.
constexpr Duration OwnerReportLifetime = std::chrono::seconds(60);

// A flow may send its next request long after its upstream drained and was
// removed from the configuration; such a flow counts as moved, not as broken.
constexpr Duration RemovedUpstreamLifetime = std::chrono::minutes(15);

} // namespace

const UpstreamConfig *UpstreamSelector::choose(FlowKey Flow,
                                               const ServiceConfig &Service,
                                               UpstreamId Excluded) const {
  const UpstreamConfig *Default =
      defaultUpstream(Flow, Service, Board.RegionZones);
  if (Default != nullptr && Default->Id != Excluded && rank(*Default) == 0)
    return Default;
  const UpstreamConfig *Best = nullptr;
  int BestRank = 0;
  uint64_t BestScore = 0;
  for (const UpstreamConfig &Upstream : Service.Upstreams) {
    const std::optional<int> Rank = rank(Upstream);
    if (!Rank || Upstream.Id == Excluded)
      continue;
    const uint64_t Score = rendezvousScore(Flow.value(), Upstream.Id.value());
    if (Best != nullptr &&
        (*Rank > BestRank || (*Rank == BestRank && Score <= BestScore)))
      continue;
    Best = &Upstream;
    BestRank = *Rank;
    BestScore = Score;
  }
  return Best;
}

std::optional<int>
UpstreamSelector::rank(const UpstreamConfig &Upstream) const {
  const auto &Zones = Board.RegionZones;
  if (Upstream.Draining || isDraining(Upstream.Id) ||
      std::find(Zones.begin(), Zones.end(), Upstream.Zone) == Zones.end())
    return std::nullopt;
  // An ejected upstream may recover soon; an upstream in a zone without
  // instances is probably unreachable, so it ranks lower.
  return (Board.CurrentPlacement.isZoneServed(Upstream.Zone) ? 0 : 2) +
         (isEjected(Upstream.Id) ? 1 : 0);
}

UpstreamSelector::DrainState &
UpstreamSelector::addDraining(UpstreamId Upstream, std::string_view Source,
                              ActionSink &Sink) {
  const auto [It, IsNew] = DrainingUpstreams.try_emplace(Upstream);
  if (IsNew) {
    It->second.DrainingSince = Board.now();
    const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream);
    Sink.log(LogLevel::Info, "flow",
             "upstream " +
                 (Ref.Upstream == nullptr ? "?" : Ref.Upstream->Name) +
                 " is leaving, says " + std::string(Source) +
                 ": no new flows, its flows move after the drain grace");
  }
  return It->second;
}

void UpstreamSelector::recordDraining(UpstreamId Upstream, ActionSink &Sink) {
  addDraining(Upstream, "its owner", Sink).OwnerReportExpiresAt =
      Board.now() + OwnerReportLifetime;
}

void UpstreamSelector::refresh(ActionSink &Sink) {
  std::erase_if(DrainingUpstreams, [&](const auto &Entry) {
    const auto &[Id, State] = Entry;
    const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Id);
    const auto Report = Board.ReportedLoads.find(Id);
    const bool IsDrainingInConfig =
        Ref.Upstream != nullptr && Ref.Upstream->Draining;
    const bool IsReportedDraining =
        Report != Board.ReportedLoads.end() && Report->second.Load.Draining;
    if (Ref.Upstream == nullptr)
      return Board.now() - State.DrainingSince >= RemovedUpstreamLifetime;
    return !IsDrainingInConfig && !IsReportedDraining &&
           State.OwnerReportExpiresAt <= Board.now();
  });
  for (const auto &[Id, Service] : Board.Config.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams)
      if (Upstream.Draining)
        addDraining(Upstream.Id, "the configuration", Sink);
  for (const auto &[Id, Report] : Board.ReportedLoads)
    if (Report.Load.Draining)
      addDraining(Id, "a load report", Sink);
}

bool UpstreamSelector::isDrainGraceOver(UpstreamId Upstream,
                                        Duration Grace) const {
  const auto It = DrainingUpstreams.find(Upstream);
  return It != DrainingUpstreams.end() &&
         Board.now() - It->second.DrainingSince >= Grace;
}

bool UpstreamSelector::isReportRecent(UpstreamId Upstream,
                                      TimePoint ReportedAt) const {
  return Board.CurrentOwnership.ownerOf(Upstream) == Board.Self.Id ||
         Board.now() - ReportedAt < LoadReportLifetime;
}

bool UpstreamSelector::isEjected(UpstreamId Upstream) const {
  const auto It = Board.ReportedLoads.find(Upstream);
  return It != Board.ReportedLoads.end() && It->second.Load.Ejected &&
         isReportRecent(Upstream, It->second.ReportedAt);
}

} // namespace indigopoint
