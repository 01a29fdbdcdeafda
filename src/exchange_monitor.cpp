#include "exchange_monitor.h"

#include <algorithm>

#include "balancing_policy.h"

namespace indigopoint {

namespace {

// The time to a client's first retransmission, for routes without a target
// response time.
constexpr Duration DefaultMinAge = std::chrono::milliseconds(200);

// Requests vary widely. A slow one may become evidence as well; its answer ends
// that again.
constexpr int UnusualRatio = 4;

// One instance may have lost only its own path to the upstream.
constexpr size_t MinStopVotes = 2;

} // namespace

Duration ExchangeMonitor::minEvidenceAge(const FlowAddress &Address) const {
  const Route *MatchedRoute = Routes.find(Address.ServiceAddress);
  return MatchedRoute == nullptr || MatchedRoute->Aim == Duration()
             ? DefaultMinAge
             : MatchedRoute->Aim / 2;
}

Duration ExchangeMonitor::unusualAge(const Upstream &Target,
                                     TimePoint Now) const {
  const auto Usual = medianResponseTime(
      Upstreams.upstreamsOfService(Target.Registration.Service), Now);
  return Usual ? *Usual * UnusualRatio : Duration();
}

bool ExchangeMonitor::hasOtherAnswered(const Upstream &Target,
                                       TimePoint StartedAt) const {
  const std::vector<Upstream *> &Others =
      Upstreams.upstreamsOfService(Target.Registration.Service);
  return std::any_of(Others.begin(), Others.end(), [&](const Upstream *Other) {
    return Other != &Target && Other->Responsiveness.lastAnswer() > StartedAt;
  });
}

void ExchangeMonitor::recordOpening(const FlowAddress &Address,
                                    Upstream &Target, TimePoint Now) {
  if (!Target.Responsiveness.needsTrial())
    return;
  // If the trial fails, its exchange is evidence by the end of this time.
  const Duration TrialTime =
      OpenTimeout + std::max(minEvidenceAge(Address), unusualAge(Target, Now));
  Target.Responsiveness.recordOpening(Now, TrialTime);
  // The trial counts towards the upstreams that may be avoided at once.
  applyPeerEvidence(Target.Registration.Service, Now);
}

void ExchangeMonitor::recordRequest(const FlowAddress &Address,
                                    SteeredFlow &Flow, Upstream &Target) {
  if (Flow.CurrentPhase == SteeredFlow::Phase::Closing || !Flow.RequestSentAt)
    return;
  const TimePoint StartedAt = *Flow.RequestSentAt;
  const Duration MinAge = minEvidenceAge(Address);
  const Route *MatchedRoute = Routes.find(Address.ServiceAddress);
  Flow.AbandonedFrom = StartedAt + MinAge;
  // Clients may measure their time limit from a little earlier or later.
  if (MatchedRoute != nullptr && MatchedRoute->TimeLimit > Duration())
    Flow.AbandonedFrom = std::min(Flow.AbandonedFrom,
                                  StartedAt + MatchedRoute->TimeLimit * 9 / 10);
  Flow.IsCountedAsExchange = true;
  Flow.IsEvidence = false;
  Flow.IsAbandoned = false;
  Target.Exchanges.start(StartedAt);
  Deadlines.push({StartedAt + MinAge, StartedAt, Address});
}

void ExchangeMonitor::recordAnswer(SteeredFlow &Flow, Upstream &Target,
                                   TimePoint Now) {
  if (!Flow.RequestSentAt)
    return;
  if (Flow.IsCountedAsExchange)
    Target.Exchanges.end(*Flow.RequestSentAt);
  Flow.IsCountedAsExchange = false;
  Target.Responsiveness.recordAnswer(*Flow.RequestSentAt, Now);
}

// An exchange that has been evidence by its age is not counted again, nor one
// that ended too early for a time limit.
void ExchangeMonitor::recordAbandonment(SteeredFlow &Flow, TimePoint Now) {
  if (!Flow.IsCountedAsExchange || Flow.IsEvidence || Flow.IsAbandoned ||
      Now < Flow.AbandonedFrom)
    return;
  Flow.IsAbandoned = true;
  Upstream *Target = Upstreams.find(Flow.Upstream);
  if (Target != nullptr && hasOtherAnswered(*Target, *Flow.RequestSentAt) &&
      Target->Responsiveness.recordUnansweredExchange(
          *Flow.RequestSentAt, Now, Peers.lifetimeFor(Flow.Upstream)))
    recordEvidence(*Target, Now);
}

void ExchangeMonitor::recordEvidence(Upstream &Target, TimePoint Now) {
  MonitorHooks.OnUnresponsive(Target);
  // Own evidence reduces the number of upstreams to which that of others
  // applies.
  applyPeerEvidence(Target.Registration.Service, Now);
}

void ExchangeMonitor::end(SteeredFlow &Flow) {
  if (!Flow.IsCountedAsExchange)
    return;
  Flow.IsCountedAsExchange = false;
  if (Upstream *Target = Upstreams.find(Flow.Upstream))
    Target->Exchanges.end(*Flow.RequestSentAt);
}

void ExchangeMonitor::reportOverdue(TimePoint Now) {
  while (!Deadlines.empty() && Deadlines.top().DueAt < Now) {
    if (MonitorHooks.IsOutdated())
      return;
    const Deadline Due = Deadlines.top();
    Deadlines.pop();
    SteeredFlow *Flow = Flows.find(Due.Flow);
    if (Flow == nullptr || !Flow->IsCountedAsExchange || Flow->IsEvidence ||
        Flow->RequestSentAt != Due.StartedAt)
      continue;
    Upstream *Target = Upstreams.find(Flow->Upstream);
    if (Target == nullptr)
      continue;
    const TimePoint UnusualFrom = Due.StartedAt + unusualAge(*Target, Now);
    if (UnusualFrom >= Now) {
      Deadlines.push({UnusualFrom, Due.StartedAt, Due.Flow});
      continue;
    }
    // Without answers of any upstream, the fault may be in the path of this
    // instance. The interval between the checks doubles.
    if (!hasOtherAnswered(*Target, Due.StartedAt)) {
      Deadlines.push({Now + (Now - Due.StartedAt), Due.StartedAt, Due.Flow});
      continue;
    }
    Flow->IsEvidence = true;
    if (Target->Responsiveness.recordOverdueExchange(
            Due.StartedAt, Now, Peers.lifetimeFor(Flow->Upstream)))
      recordEvidence(*Target, Now);
  }
}

void ExchangeMonitor::recordPeerEvidence(const PeerReport &Report,
                                         TimePoint Now) {
  for (const std::string &Service : Peers.record(Report, Upstreams, Now))
    applyPeerEvidence(Service, Now);
}

bool ExchangeMonitor::hasStopped(const Upstream &Target, TimePoint Now) const {
  const size_t OwnVote = Target.Reachability.hasOwnDoubts(Now) ? 1 : 0;
  return Peers.countStopReports(Target, Now) + OwnVote >= MinStopVotes;
}

void ExchangeMonitor::applyPeerEvidence(const std::string &Service,
                                        TimePoint Now) {
  for (const Upstream *Target :
       Peers.apply(Upstreams.upstreamsOfService(Service), Now))
    MonitorHooks.OnReportedUnresponsive(*Target);
}

} // namespace indigopoint
