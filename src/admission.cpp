#include "admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "blackboard.h"

namespace indigopoint {

namespace {

// Reports come at least once a second; two lost ones in a row are tolerated.
constexpr Duration StaleAfter = std::chrono::seconds(3);

double meanPerWeight(const std::vector<SiblingLoad> &All, double Extra) {
  double Flows = Extra;
  double Weight = 0;
  for (const SiblingLoad &Each : All) {
    Flows += Each.Flows;
    Weight += Each.Weight;
  }
  return Weight > 0 ? Flows / Weight : 0;
}

std::pair<double, double> loadOrder(const SiblingLoad &Load) {
  return {Load.Flows / Load.Weight, Load.Requests / Load.Weight};
}

} // namespace

void addRates(std::vector<SiblingLoad> &All) {
  double Flows = 0;
  double Rate = 0;
  for (const SiblingLoad &Each : All)
    if (Each.RequestRate > 0) {
      Flows += Each.Flows;
      Rate += Each.RequestRate;
    }
  for (SiblingLoad &Each : All)
    if (Each.RequestRate > 0)
      Each.Flows = (Each.Flows + Each.RequestRate * Flows / Rate) / 2;
}

bool isWithinShare(const SiblingLoad &Own, const std::vector<SiblingLoad> &All,
                   double Epsilon) {
  if (All.size() < 2)
    return true;
  // Rounded up: with few flows each upstream may hold at least one.
  const double Share =
      std::ceil((1 + Epsilon) * meanPerWeight(All, 1) * Own.Weight);
  return Own.Flows + 1 <= Share;
}

const SiblingLoad *redirectTarget(UpstreamId Own,
                                  const std::vector<SiblingLoad> &All,
                                  double Chance) {
  const double Mean = meanPerWeight(All, 0);
  double Room = 0;
  const SiblingLoad *Least = nullptr;
  const auto IsUsable = [&](const SiblingLoad &Each) {
    return Each.Upstream != Own && Each.Weight > 0 && Each.Room >= 1;
  };
  const auto Lacks = [&](const SiblingLoad &Each) {
    return std::max(0.0, Mean * Each.Weight - Each.Flows);
  };
  for (const SiblingLoad &Each : All) {
    if (!IsUsable(Each))
      continue;
    Room += Lacks(Each);
    if (Least == nullptr || loadOrder(Each) < loadOrder(*Least))
      Least = &Each;
  }
  if (Room <= 0)
    return Least;
  double Point = Chance * Room;
  for (const SiblingLoad &Each : All) {
    if (!IsUsable(Each) || Lacks(Each) <= 0)
      continue;
    Point -= Lacks(Each);
    if (Point < 0)
      return &Each;
  }
  return Least;
}

bool Admission::viewOf(const UpstreamConfig &Upstream,
                       UpstreamLoad &Out) const {
  const OwnedUpstream *Own = Owned.find(Upstream.Id);
  if (Own != nullptr) {
    const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
    Out = loadOf(*Own, *Ref.Service, Board.now());
    return true;
  }
  const auto It = Board.ReportedLoads.find(Upstream.Id);
  if (It == Board.ReportedLoads.end() ||
      Board.now() - It->second.ReportedAt > StaleAfter)
    return false;
  Out = It->second.Load;
  return true;
}

std::vector<SiblingLoad> Admission::loads(const OwnedUpstream &Given) const {
  std::vector<SiblingLoad> All;
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  const std::vector<std::string> &Zones = Board.RegionZones;
  for (const UpstreamConfig &Upstream : Ref.Service->Upstreams) {
    UpstreamLoad Load;
    if (Upstream.Draining ||
        std::find(Zones.begin(), Zones.end(), Upstream.Zone) == Zones.end() ||
        !viewOf(Upstream, Load) || Load.Draining || Load.Ejected)
      continue;
    const double Room = static_cast<double>(Upstream.Connections) - Load.Flows;
    All.push_back({Upstream.Id, static_cast<double>(Load.Flows),
                   static_cast<double>(Load.Busy + Load.Queued),
                   Upstream.Slots * (Load.WeightPercent / 100.0), Room,
                   static_cast<double>(Load.RequestRate)});
  }
  addRates(All);
  // Added last: the rate of these flows is not in the report either.
  for (SiblingLoad &Each : All) {
    const auto Sent = Redirected.find(Each.Upstream);
    if (Sent == Redirected.end())
      continue;
    Each.Flows += Sent->second;
    Each.Room -= Sent->second;
  }
  return All;
}

bool Admission::mayAdmit(const OwnedUpstream &Given) {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  if (Given.isDraining() || Given.Health.state() == HealthState::Ejected ||
      Given.flows() >= Ref.Upstream->Connections)
    return false;
  const std::vector<SiblingLoad> All = loads(Given);
  for (const SiblingLoad &Each : All)
    if (Each.Upstream == Given.Id)
      return isWithinShare(Each, All, DefaultEpsilon);
  return false;
}

UpstreamId Admission::redirect(const OwnedUpstream &Given) {
  const std::vector<SiblingLoad> All = loads(Given);
  const SiblingLoad *Target =
      redirectTarget(Given.Id, All, Board.Random.fraction());
  if (Target == nullptr)
    return {};
  // An upstream owned here counts the flow itself once it is submitted.
  if (Owned.find(Target->Upstream) == nullptr)
    ++Redirected[Target->Upstream];
  return Target->Upstream;
}

} // namespace indigopoint
