#include "remaining_work.h"

#include <algorithm>
#include <cmath>

namespace indigopoint {

namespace {

// Exchanges rarely last longer, so an older report says nothing of the present.
constexpr Duration ReportLifetime = std::chrono::seconds(2);

bool isExpired(const WorkReport &Report, TimePoint Now) {
  return Now - Report.Time > ReportLifetime;
}

} // namespace

RemainingWork::Entry &RemainingWork::entryOf(const UpstreamProcess &Target) {
  Entry &Result = Upstreams[Target.Id];
  if (Result.StartedAtMs != Target.StartedAtMs)
    Result = {Target.StartedAtMs, {}, {}};
  return Result;
}

const RemainingWork::Entry *
RemainingWork::find(const UpstreamProcess &Target) const {
  const auto It = Upstreams.find(Target.Id);
  return It == Upstreams.end() || It->second.StartedAtMs != Target.StartedAtMs
             ? nullptr
             : &It->second;
}

RemainingWork::ExchangeId RemainingWork::start(const UpstreamProcess &Target,
                                               Endpoint Route, TimePoint Now) {
  entryOf(Target).Exchanges.push_back({++LastExchange, Route, Now});
  return LastExchange;
}

void RemainingWork::end(UpstreamId Id, ExchangeId Exchange) {
  const auto It = Upstreams.find(Id);
  if (It == Upstreams.end())
    return;
  std::erase_if(It->second.Exchanges, [Exchange](const OpenExchange &Open) {
    return Open.Id == Exchange;
  });
  if (It->second.Exchanges.empty() && It->second.Reports.empty())
    Upstreams.erase(It);
}

void RemainingWork::recordReport(const WorkReport &Report) {
  if (!std::isfinite(Report.Work) || Report.Work < 0)
    return;
  const auto Known = Upstreams.find(Report.Target.Id);
  // A peer may know an earlier process only.
  if (Known != Upstreams.end() &&
      Known->second.StartedAtMs > Report.Target.StartedAtMs)
    return;
  std::vector<WorkReport> &Reports = entryOf(Report.Target).Reports;
  const auto It = std::find_if(
      Reports.begin(), Reports.end(),
      [&Report](const WorkReport &Old) { return Old.Peer == Report.Peer; });
  if (It == Reports.end())
    Reports.push_back(Report);
  else if (It->Time <= Report.Time)
    *It = Report;
}

double RemainingWork::ownWork(const UpstreamProcess &Target,
                              TimePoint Now) const {
  const Entry *Found = find(Target);
  if (Found == nullptr)
    return 0;
  double Sum = 0;
  for (const OpenExchange &Open : Found->Exchanges)
    Sum += Costs.meanResidual(Open.Route, Now - Open.StartedAt);
  return Sum;
}

// Reported exchanges have ended since with a probability that rises with the
// age of the report.
double RemainingWork::reportedWork(const UpstreamProcess &Target,
                                   TimePoint Now) const {
  const Entry *Found = find(Target);
  const auto Mean = Costs.meanResponseTime();
  if (Found == nullptr || !Mean || *Mean <= Duration())
    return 0;
  double Sum = 0;
  for (const WorkReport &Report : Found->Reports) {
    if (isExpired(Report, Now))
      continue;
    const auto Age =
        static_cast<double>(std::max(Now - Report.Time, Duration()).count());
    Sum += Report.Work * std::exp(-Age / static_cast<double>(Mean->count()));
  }
  return Sum;
}

void RemainingWork::expire(TimePoint Now) {
  for (auto It = Upstreams.begin(); It != Upstreams.end();) {
    Entry &Current = It->second;
    std::erase_if(Current.Reports, [Now](const WorkReport &Report) {
      return isExpired(Report, Now);
    });
    It = Current.Exchanges.empty() && Current.Reports.empty()
             ? Upstreams.erase(It)
             : std::next(It);
  }
}

} // namespace indigopoint
