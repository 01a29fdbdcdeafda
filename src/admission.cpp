#include "admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "blackboard.h"

namespace indigopoint {

namespace {

// Load reports are sent at least once a second; two consecutive lost reports
// are tolerated.
constexpr Duration MaxReportAge = std::chrono::seconds(3);

double meanPerWeight(const std::vector<SiblingLoad> &Siblings,
                     double ExtraFlows) {
  double Flows = ExtraFlows;
  double Weight = 0;
  for (const SiblingLoad &Sibling : Siblings) {
    Flows += Sibling.Flows;
    Weight += Sibling.Weight;
  }
  return Weight > 0 ? Flows / Weight : 0;
}

std::pair<double, double> loadOrder(const SiblingLoad &Load) {
  return {Load.Flows / Load.Weight, Load.Requests / Load.Weight};
}

} // namespace

void weightFlowsByRequestRate(std::vector<SiblingLoad> &Siblings) {
  double Flows = 0;
  double Rate = 0;
  for (const SiblingLoad &Sibling : Siblings)
    if (Sibling.RequestRate > 0) {
      Flows += Sibling.Flows;
      Rate += Sibling.RequestRate;
    }
  for (SiblingLoad &Sibling : Siblings)
    if (Sibling.RequestRate > 0)
      Sibling.Flows = (Sibling.Flows + Sibling.RequestRate * Flows / Rate) / 2;
}

bool isWithinShare(const SiblingLoad &OwnLoad,
                   const std::vector<SiblingLoad> &Siblings,
                   double LoadTolerance) {
  if (Siblings.size() < 2)
    return true;
  // Rounded up, so that each upstream may hold at least one flow when there are
  // few flows.
  const double Share = std::ceil((1 + LoadTolerance) *
                                 meanPerWeight(Siblings, 1) * OwnLoad.Weight);
  return OwnLoad.Flows + 1 <= Share;
}

const SiblingLoad *redirectTarget(UpstreamId OwnId,
                                  const std::vector<SiblingLoad> &Siblings,
                                  double RandomFraction) {
  const double Mean = meanPerWeight(Siblings, 0);
  double TotalDeficit = 0;
  const SiblingLoad *LeastLoaded = nullptr;
  const auto IsUsable = [&](const SiblingLoad &Sibling) {
    return Sibling.Upstream != OwnId && Sibling.Weight > 0 &&
           Sibling.FreeConnections >= 1;
  };
  const auto FlowDeficit = [&](const SiblingLoad &Sibling) {
    return std::max(0.0, Mean * Sibling.Weight - Sibling.Flows);
  };
  for (const SiblingLoad &Sibling : Siblings) {
    if (!IsUsable(Sibling))
      continue;
    TotalDeficit += FlowDeficit(Sibling);
    if (LeastLoaded == nullptr || loadOrder(Sibling) < loadOrder(*LeastLoaded))
      LeastLoaded = &Sibling;
  }
  if (TotalDeficit <= 0)
    return LeastLoaded;
  double Remaining = RandomFraction * TotalDeficit;
  for (const SiblingLoad &Sibling : Siblings) {
    if (!IsUsable(Sibling) || FlowDeficit(Sibling) <= 0)
      continue;
    Remaining -= FlowDeficit(Sibling);
    if (Remaining < 0)
      return &Sibling;
  }
  return LeastLoaded;
}

bool Admission::latestLoad(const UpstreamConfig &Config,
                           UpstreamLoad &Load) const {
  const OwnedUpstream *Local = Upstreams.find(Config.Id);
  if (Local != nullptr) {
    const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Config.Id);
    Load = loadOf(*Local, *Ref.Service, Board.now());
    return true;
  }
  const auto It = Board.ReportedLoads.find(Config.Id);
  if (It == Board.ReportedLoads.end() ||
      Board.now() - It->second.ReportedAt > MaxReportAge)
    return false;
  Load = It->second.Load;
  return true;
}

std::vector<SiblingLoad> Admission::loads(const OwnedUpstream &Upstream) const {
  std::vector<SiblingLoad> Siblings;
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  const std::vector<std::string> &Zones = Board.RegionZones;
  for (const UpstreamConfig &Config : Ref.Service->Upstreams) {
    UpstreamLoad Load;
    if (Config.Draining ||
        std::find(Zones.begin(), Zones.end(), Config.Zone) == Zones.end() ||
        !latestLoad(Config, Load) || Load.Draining || Load.Ejected)
      continue;
    const double FreeConnections =
        static_cast<double>(Config.Connections) - Load.Flows;
    Siblings.push_back({Config.Id, static_cast<double>(Load.Flows),
                        static_cast<double>(Load.Busy + Load.Queued),
                        Config.Slots * (Load.WeightPercent / 100.0),
                        FreeConnections,
                        static_cast<double>(Load.RequestRate)});
  }
  weightFlowsByRequestRate(Siblings);
  // Added after weightFlowsByRequestRate, because the reported request rates do
  // not cover the redirected flows yet.
  for (SiblingLoad &Sibling : Siblings) {
    const auto Redirects = RedirectsSinceReport.find(Sibling.Upstream);
    if (Redirects == RedirectsSinceReport.end())
      continue;
    Sibling.Flows += Redirects->second;
    Sibling.FreeConnections -= Redirects->second;
  }
  return Siblings;
}

bool Admission::mayAdmit(const OwnedUpstream &Upstream) {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  if (Upstream.isDraining() ||
      Upstream.Health.state() == HealthState::Ejected ||
      Upstream.flows() >= Ref.Upstream->Connections)
    return false;
  const std::vector<SiblingLoad> Siblings = loads(Upstream);
  for (const SiblingLoad &Sibling : Siblings)
    if (Sibling.Upstream == Upstream.Id)
      return isWithinShare(Sibling, Siblings, DefaultLoadTolerance);
  return false;
}

UpstreamId Admission::redirect(const OwnedUpstream &Upstream) {
  const std::vector<SiblingLoad> Siblings = loads(Upstream);
  const SiblingLoad *Target =
      redirectTarget(Upstream.Id, Siblings, Board.Random.fraction());
  if (Target == nullptr)
    return {};
  // An upstream of this instance counts the flow when its first request is
  // submitted.
  if (Upstreams.find(Target->Upstream) == nullptr)
    ++RedirectsSinceReport[Target->Upstream];
  return Target->Upstream;
}

} // namespace indigopoint
