#include "flow_admission.h"

namespace indigopoint {

namespace {

// A load is computed from all upstreams and reports, which takes too long for
// each opening.
constexpr Duration LoadLifetime = std::chrono::milliseconds(50);

} // namespace

FlowAdmission::FlowAdmission(Options Opts, const Clock &TimeSource,
                             UpstreamRegistry &Upstreams,
                             SteeringMetrics &Metrics, WallTimeHook WallTime)
    : Opts(std::move(Opts)), TimeSource(TimeSource), Upstreams(Upstreams),
      Metrics(Metrics), WallTime(std::move(WallTime)),
      Loads(this->Opts.Zone, TimeSource), Policy(this->Opts.Admission) {}

std::optional<Overload> FlowAdmission::refusalOf(const Route &MatchedRoute,
                                                 const FlowAddress &Flow) {
  const RouteShare *Share = RouteTable::chooseShare(MatchedRoute, Flow);
  if (Share == nullptr)
    return std::nullopt;
  const std::string &Service = Share->Service;
  const bool IsRanked = Opts.Admission.Enabled && MatchedRoute.Priority;
  const AdmissionDecision Decision =
      Policy.admit(Service, MatchedRoute, Flow.Client.Address,
                   IsRanked ? loadOf(Service) : AdmissionLoad(),
                   TimeSource.now(), wallTime());
  Loads.recordOpening(Service, requestsOf(Decision.IsAdmitted));
  if (Decision.IsAdmitted)
    return std::nullopt;
  Metrics.service(Service).countRefusal(Decision.Priority);
  return Overload{Service,
                  Decision.Priority,
                  Decision.AdmittedShare,
                  Decision.Load.Demand,
                  Decision.Load.Capacity,
                  Decision.Load.OpeningsPerSecond};
}

const AdmissionLoad &FlowAdmission::loadOf(const std::string &Service) {
  const TimePoint Now = TimeSource.now();
  CachedLoad &Cached = CachedLoads[Service];
  if (Cached.ComputedAt != TimePoint() &&
      Now - Cached.ComputedAt < LoadLifetime)
    return Cached.Load;
  Cached.ComputedAt = Now;
  const ServiceLoadTable::Demand Demand = Loads.demand(Service);
  Cached.Load.Demand = Demand.OpenExchanges;
  Cached.Load.OpeningsPerSecond = Demand.OpeningsPerSecond;
  Cached.Load.Capacity =
      capacityOf(Opts.Zone,
                 slotsByZone(
                     Upstreams.upstreamsOfService(Service),
                     [this](const Upstream &Target) {
                       return Upstreams.takesNewFlows(Target);
                     },
                     Now, Opts.Placement.WarmupShare),
                 Opts.Placement.MinLossForOtherZones);
  return Cached.Load;
}

AdmissionPolicy::WallTime FlowAdmission::wallTime() const {
  if (WallTime)
    return WallTime();
  return AdmissionPolicy::WallTime(
      std::chrono::duration_cast<AdmissionPolicy::WallTime::duration>(
          TimeSource.now().time_since_epoch()));
}

void FlowAdmission::startExchange(const FlowAddress &Address, SteeredFlow &Flow,
                                  const std::string &Service,
                                  Duration TimeLimit) {
  if (Flow.IsCountedAsLoad || Flow.CurrentPhase == SteeredFlow::Phase::Closing)
    return;
  Flow.IsCountedAsLoad = true;
  Loads.recordExchangeStart(Service);
  if (TimeLimit > Duration())
    Deadlines.push_back({Address, TimeSource.now(), TimeLimit});
}

void FlowAdmission::recordAnswer(SteeredFlow &Flow,
                                 const std::string &Service) {
  if (!Flow.IsCountedAsLoad || !Flow.RequestSentAt)
    return;
  const TimePoint Now = TimeSource.now();
  Policy.recordAnswer(Service, Now - *Flow.RequestSentAt,
                      !Flow.HasAnsweredRequest, Now);
  Flow.HasAnsweredRequest = true;
  endExchange(Flow, Service);
}

void FlowAdmission::endExchange(SteeredFlow &Flow, const std::string &Service) {
  if (!Flow.IsCountedAsLoad)
    return;
  Flow.IsCountedAsLoad = false;
  Loads.recordExchangeEnd(Service);
}

// After the time limit the client waits no more. Its later packets may reach
// another instance, and the exchange would count as demand until the flow is
// removed.
void FlowAdmission::sweep(
    const std::function<SteeredFlow *(const FlowAddress &)> &FindFlow) {
  const TimePoint Now = TimeSource.now();
  std::erase_if(Deadlines, [&](const Deadline &Entry) {
    SteeredFlow *Flow = FindFlow(Entry.Flow);
    if (Flow == nullptr || !Flow->IsCountedAsLoad ||
        Flow->RequestSentAt != Entry.SentAt)
      return true;
    if (Now - Entry.SentAt < Entry.TimeLimit)
      return false;
    if (const Upstream *Target = Upstreams.find(Flow->Upstream))
      endExchange(*Flow, Target->Registration.Service);
    return true;
  });
  Loads.expire();
  Policy.expire(Now);
  for (const ServiceLoad &Own : Loads.ownLoads()) {
    const AdmissionLoad &Load = loadOf(Own.Service);
    ServiceFlowMetrics &Service = Metrics.service(Own.Service);
    Service.Demand = Load.Demand;
    Service.Capacity = Load.Capacity;
  }
  std::erase_if(CachedLoads, [Now](const auto &Entry) {
    return Now - Entry.second.ComputedAt > std::chrono::seconds(2);
  });
}

} // namespace indigopoint
