#include "load_reporter.h"

#include <algorithm>
#include <utility>

#include "blackboard.h"
#include "peer_link.h"

namespace indigopoint {

namespace {

constexpr Duration Cycle = std::chrono::milliseconds(500);

// An unchanged load is repeated after two cycles: receivers call a report
// stale after 3 s, so two lost ones in a row do no harm.
constexpr Duration RepeatAfter = std::chrono::seconds(1);

// A change of flows below 2% does not change a decision at an epsilon of 10%.
constexpr uint32_t MinChangeDivisor = 50;

// The mean over 32 siblings is within 3% of the mean over all of them at the
// spread of hashing; more targets would only cost control bytes.
constexpr size_t MaxTargets = 32;

constexpr size_t MaxSubmitters = 8;
constexpr Duration SubmitterMemory = std::chrono::seconds(10);

// A home that no longer submits hears nothing more, and must not go by an old
// report for ever.
constexpr Duration ViewLifetime = std::chrono::seconds(60);

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
  std::vector<Submitter> &Recent = Sent[Upstream].Submitters;
  for (Submitter &Each : Recent)
    if (Each.Home == Home) {
      Each.At = Board.now();
      return;
    }
  if (Recent.size() < MaxSubmitters) {
    Recent.push_back({Home, Board.now()});
    return;
  }
  *std::min_element(Recent.begin(), Recent.end(),
                    [](const Submitter &A, const Submitter &B) {
                      return A.At < B.At;
                    }) = {Home, Board.now()};
}

void LoadReporter::sendLoad(const OwnedUpstream &Given, InstanceId To,
                            ActionSink &Sink) {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  if (Ref.Upstream != nullptr && To != Board.Self.Id)
    Peers.send(To, LoadReport{{loadOf(Given, *Ref.Service, Board.now())}},
               Sink);
}

void LoadReporter::sendRemainingLoad(const OwnedUpstream &Former,
                                     ActionSink &Sink) {
  const InstanceId Owner = Board.CurrentOwnership.ownerOf(Former.Id);
  if (Owner == InstanceId() || Owner == Board.Self.Id)
    return;
  UpstreamLoad Rest;
  Rest.Upstream = Former.Id;
  Rest.Busy = Former.busy();
  Rest.Draining = Former.isDraining();
  Peers.send(Owner, LoadReport{{Rest}}, Sink);
}

// At most MaxTargets, chosen by rendezvous so that each owner hears of about
// as many siblings.
std::vector<InstanceId>
LoadReporter::siblingOwners(const OwnedUpstream &Given) const {
  std::vector<InstanceId> Targets;
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  for (const UpstreamConfig &Upstream : Ref.Service->Upstreams) {
    const InstanceId Owner = Board.CurrentOwnership.ownerOf(Upstream.Id);
    if (Owner != InstanceId() && Owner != Board.Self.Id)
      Targets.push_back(Owner);
  }
  std::sort(Targets.begin(), Targets.end());
  Targets.erase(std::unique(Targets.begin(), Targets.end()), Targets.end());
  if (Targets.size() <= MaxTargets)
    return Targets;
  const uint64_t Key = Given.Id.value();
  std::nth_element(Targets.begin(),
                   Targets.begin() + static_cast<ptrdiff_t>(MaxTargets),
                   Targets.end(), [&](InstanceId A, InstanceId B) {
                     return rendezvousScore(Key, A.value()) >
                            rendezvousScore(Key, B.value());
                   });
  Targets.resize(MaxTargets);
  return Targets;
}

void LoadReporter::updateView(const UpstreamLoad &Load) {
  Board.ReportedLoads[Load.Upstream] = {Load, Board.now()};
}

void LoadReporter::dropOldViews() {
  for (auto It = Board.ReportedLoads.begin();
       It != Board.ReportedLoads.end();) {
    const bool IsKnown = Board.Index.upstream(It->first).Upstream != nullptr &&
                         Board.now() - It->second.ReportedAt < ViewLifetime;
    It = IsKnown ? std::next(It) : Board.ReportedLoads.erase(It);
  }
}

void LoadReporter::onTick(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  const bool IsCycle = Now >= NextCycle;
  std::map<InstanceId, LoadReport> Reports;
  for (const auto &[Id, Given] : Owned.Current) {
    const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Id);
    if (Ref.Upstream == nullptr)
      continue;
    SentState &State = Sent[Id];
    const UpstreamLoad Load = loadOf(Given, *Ref.Service, Now);
    const bool StatusChanged = isStatusChanged(State.Last, Load);
    if (IsCycle || StatusChanged)
      updateView(Load);
    const bool IsDue = IsCycle && (isChanged(State.Last, Load) ||
                                   Now - State.At >= RepeatAfter);
    if (!IsDue && !StatusChanged)
      continue;
    for (InstanceId To : siblingOwners(Given))
      Reports[To].Loads.push_back(Load);
    // Homes only need to know what they must not use, and its return.
    if (!isUsable(Load) || StatusChanged)
      for (const Submitter &Each : State.Submitters)
        if (Each.Home != Board.Self.Id && Now - Each.At < SubmitterMemory)
          Reports[Each.Home].Loads.push_back(Load);
    State.Last = Load;
    State.At = Now;
  }
  if (IsCycle) {
    NextCycle = Now + Cycle;
    dropOldViews();
    for (const auto &[Generation, Former] : Owned.Released)
      sendRemainingLoad(Former, Sink);
  }
  for (auto &[To, Report] : Reports)
    Peers.send(To, std::move(Report), Sink);
}

} // namespace indigopoint
