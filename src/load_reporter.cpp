#include "load_reporter.h"

#include <algorithm>
#include <utility>

#include "blackboard.h"
#include "peer_link.h"

namespace indigopoint {

namespace {

constexpr Duration ReportCycle = std::chrono::milliseconds(500);

// An unchanged load is reported again after two cycles. Receivers treat a
// report as outdated after 3 s, so two consecutive lost reports are harmless.
constexpr Duration ReportRefreshInterval = std::chrono::seconds(1);

// Inverse of the smallest change of the flow count that is reported. A change
// below 2% does not change a decision at an admission tolerance of 10%.
constexpr uint32_t MinChangeDivisor = 50;

// With the variance of flows per upstream that hashing produces, the mean over
// 32 siblings is within 3% of the mean over all siblings. More receivers would
// only add control traffic.
constexpr size_t MaxReceivers = 32;

constexpr size_t MaxSubmitters = 8;
constexpr Duration SubmitterLifetime = std::chrono::seconds(10);

// A home instance that no longer submits to an upstream gets no more reports of
// it, so the last report must expire.
constexpr Duration ReportedLoadLifetime = std::chrono::seconds(60);

bool isStatusChanged(const UpstreamLoad &A, const UpstreamLoad &B) {
  return A.Ejected != B.Ejected || A.Draining != B.Draining;
}

bool isChanged(const UpstreamLoad &Old, const UpstreamLoad &New) {
  const uint32_t Step = Old.Flows / MinChangeDivisor + 1;
  return isStatusChanged(Old, New) || New.Flows > Old.Flows + Step ||
         New.Flows + Step < Old.Flows || New.WeightPercent != Old.WeightPercent;
}

bool isUsable(const UpstreamLoad &Load) {
  return !Load.Ejected && !Load.Draining;
}

} // namespace

void LoadReporter::recordSubmitter(UpstreamId Upstream, InstanceId Home) {
  std::vector<Submitter> &RecentSubmitters = ReportStates[Upstream].Submitters;
  for (Submitter &Entry : RecentSubmitters)
    if (Entry.Home == Home) {
      Entry.SubmittedAt = Board.now();
      return;
    }
  if (RecentSubmitters.size() < MaxSubmitters) {
    RecentSubmitters.push_back({Home, Board.now()});
    return;
  }
  *std::min_element(RecentSubmitters.begin(), RecentSubmitters.end(),
                    [](const Submitter &A, const Submitter &B) {
                      return A.SubmittedAt < B.SubmittedAt;
                    }) = {Home, Board.now()};
}

void LoadReporter::sendLoad(const OwnedUpstream &Upstream, InstanceId Receiver,
                            ActionSink &Sink) {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  if (Ref.Upstream != nullptr && Receiver != Board.Self.Id)
    Peers.send(Receiver,
               LoadReport{{loadOf(Upstream, *Ref.Service, Board.now())}}, Sink);
}

void LoadReporter::sendRemainingLoad(const OwnedUpstream &ReleasedUpstream,
                                     ActionSink &Sink) {
  const InstanceId Owner = Board.CurrentOwnership.ownerOf(ReleasedUpstream.Id);
  if (Owner == InstanceId() || Owner == Board.Self.Id)
    return;
  UpstreamLoad Load;
  Load.Upstream = ReleasedUpstream.Id;
  Load.Busy = ReleasedUpstream.busy();
  Load.Draining = ReleasedUpstream.isDraining();
  Peers.send(Owner, LoadReport{{Load}}, Sink);
}

// At most MaxReceivers owner instances, chosen by rendezvous hashing so that
// each of them gets reports of about the same number of siblings.
std::vector<InstanceId>
LoadReporter::siblingOwners(const OwnedUpstream &Upstream) const {
  std::vector<InstanceId> Targets;
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  for (const UpstreamConfig &Config : Ref.Service->Upstreams) {
    const InstanceId Owner = Board.CurrentOwnership.ownerOf(Config.Id);
    if (Owner != InstanceId() && Owner != Board.Self.Id)
      Targets.push_back(Owner);
  }
  std::sort(Targets.begin(), Targets.end());
  Targets.erase(std::unique(Targets.begin(), Targets.end()), Targets.end());
  if (Targets.size() <= MaxReceivers)
    return Targets;
  const uint64_t Key = Upstream.Id.value();
  std::nth_element(Targets.begin(),
                   Targets.begin() + static_cast<ptrdiff_t>(MaxReceivers),
                   Targets.end(), [&](InstanceId A, InstanceId B) {
                     return rendezvousScore(Key, A.value()) >
                            rendezvousScore(Key, B.value());
                   });
  Targets.resize(MaxReceivers);
  return Targets;
}

void LoadReporter::updateReportedLoad(const UpstreamLoad &Load) {
  Board.ReportedLoads[Load.Upstream] = {Load, Board.now()};
}

void LoadReporter::expireReportedLoads() {
  for (auto It = Board.ReportedLoads.begin();
       It != Board.ReportedLoads.end();) {
    const bool IsCurrent =
        Board.Index.upstream(It->first).Upstream != nullptr &&
        Board.now() - It->second.ReportedAt < ReportedLoadLifetime;
    It = IsCurrent ? std::next(It) : Board.ReportedLoads.erase(It);
  }
}

void LoadReporter::onTick(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  const bool IsReportDue = Now >= NextCycle;
  std::map<InstanceId, LoadReport> Reports;
  for (const auto &[Id, Upstream] : Upstreams.Current) {
    const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Id);
    if (Ref.Upstream == nullptr)
      continue;
    ReportState &State = ReportStates[Id];
    const UpstreamLoad Load = loadOf(Upstream, *Ref.Service, Now);
    const bool StatusChanged = isStatusChanged(State.LastLoad, Load);
    if (IsReportDue || StatusChanged)
      updateReportedLoad(Load);
    const bool IsDue =
        IsReportDue && (isChanged(State.LastLoad, Load) ||
                        Now - State.SentAt >= ReportRefreshInterval);
    if (!IsDue && !StatusChanged)
      continue;
    for (InstanceId Receiver : siblingOwners(Upstream))
      Reports[Receiver].Loads.push_back(Load);
    // Home instances only need to know which upstreams are ejected or draining,
    // and when that ends.
    if (!isUsable(Load) || StatusChanged)
      for (const Submitter &Entry : State.Submitters)
        if (Entry.Home != Board.Self.Id &&
            Now - Entry.SubmittedAt < SubmitterLifetime)
          Reports[Entry.Home].Loads.push_back(Load);
    State.LastLoad = Load;
    State.SentAt = Now;
  }
  if (IsReportDue) {
    NextCycle = Now + ReportCycle;
    expireReportedLoads();
    for (const auto &[Generation, ReleasedUpstream] : Upstreams.Released)
      sendRemainingLoad(ReleasedUpstream, Sink);
  }
  for (auto &[Receiver, Report] : Reports)
    Peers.send(Receiver, std::move(Report), Sink);
}

} // namespace indigopoint
