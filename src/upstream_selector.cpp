#include "upstream_selector.h"

#include <algorithm>

#include "blackboard.h"

namespace indigopoint {

namespace {

// Owners report twice a second; a report that is this old may be wrong.
constexpr Duration ReportLifetime = std::chrono::seconds(5);

// An upstream that an owner called leaving soon gets no traffic from here, so
// that no answer can take the mark back. After this time it is tried again; its
// owner still refuses work if it is leaving.
constexpr Duration HintLifetime = std::chrono::seconds(60);

// A flow may come back to an upstream long after it drained and was removed;
// such a flow counts as moved, not as broken.
constexpr Duration RemovedMarkLifetime = std::chrono::minutes(15);

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
  // An ejected upstream may serve again soon; one in a zone without instances
  // is likely cut off.
  return (Board.CurrentPlacement.isZoneServed(Upstream.Zone) ? 0 : 2) +
         (isEjected(Upstream.Id) ? 1 : 0);
}

UpstreamSelector::Mark &UpstreamSelector::mark(UpstreamId Upstream,
                                               std::string_view Source,
                                               ActionSink &Sink) {
  const auto [It, Added] = DrainingUpstreams.try_emplace(Upstream);
  if (Added) {
    It->second.Since = Board.now();
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
  mark(Upstream, "its owner", Sink).HintUntil = Board.now() + HintLifetime;
}

void UpstreamSelector::refresh(ActionSink &Sink) {
  std::erase_if(DrainingUpstreams, [&](const auto &Entry) {
    const auto &[Id, Known] = Entry;
    const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Id);
    const auto View = Board.ReportedLoads.find(Id);
    const bool Configured = Ref.Upstream != nullptr && Ref.Upstream->Draining;
    const bool Reported =
        View != Board.ReportedLoads.end() && View->second.Load.Draining;
    if (Ref.Upstream == nullptr)
      return Board.now() - Known.Since >= RemovedMarkLifetime;
    return !Configured && !Reported && Known.HintUntil <= Board.now();
  });
  for (const auto &[Id, Service] : Board.Config.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams)
      if (Upstream.Draining)
        mark(Upstream.Id, "the configuration", Sink);
  for (const auto &[Id, View] : Board.ReportedLoads)
    if (View.Load.Draining)
      mark(Id, "a load report", Sink);
}

bool UpstreamSelector::isGraceOver(UpstreamId Upstream, Duration Grace) const {
  const auto It = DrainingUpstreams.find(Upstream);
  return It != DrainingUpstreams.end() &&
         Board.now() - It->second.Since >= Grace;
}

bool UpstreamSelector::isFresh(UpstreamId Upstream,
                               TimePoint ReportedAt) const {
  return Board.CurrentOwnership.ownerOf(Upstream) == Board.Self.Id ||
         Board.now() - ReportedAt < ReportLifetime;
}

bool UpstreamSelector::isEjected(UpstreamId Upstream) const {
  const auto It = Board.ReportedLoads.find(Upstream);
  return It != Board.ReportedLoads.end() && It->second.Load.Ejected &&
         isFresh(Upstream, It->second.ReportedAt);
}

} // namespace indigopoint
