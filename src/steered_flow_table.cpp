#include "steered_flow_table.h"

namespace indigopoint {

namespace {

// Bounds the memory of the table. Flows beyond follow their tags.
constexpr size_t MostFlows = 131'072;

// Late packets of a closed flow still find it.
constexpr Duration ClosingTime = std::chrono::seconds(2);

} // namespace

SteeredFlow *SteeredFlowTable::find(const FlowAddress &Flow) {
  const auto Found = Flows.find(Flow);
  return Found == Flows.end() ? nullptr : &Found->second;
}

SteeredFlow *SteeredFlowTable::add(const FlowAddress &Flow) {
  if (Flows.size() >= MostFlows)
    return nullptr;
  return &Flows[Flow];
}

void SteeredFlowTable::sweep(TimePoint Now, Duration IdleTimeout,
                             const Hook &OnRemove) {
  for (auto At = Flows.begin(); At != Flows.end();) {
    const Duration Limit =
        At->second.CurrentPhase == SteeredFlow::Phase::Closing ? ClosingTime
                                                               : IdleTimeout;
    if (Now - At->second.LastSeen <= Limit) {
      ++At;
      continue;
    }
    OnRemove(At->first, At->second);
    At = Flows.erase(At);
  }
}

void SteeredFlowTable::expectOpening(const FlowAddress &Flow,
                                     TimePoint Deadline) {
  Openings.push_back({Flow, Deadline});
}

void SteeredFlowTable::expireOpenings(TimePoint Now, const Hook &OnSilent) {
  while (!Openings.empty() && Openings.front().Deadline <= Now) {
    const Expected Next = Openings.front();
    Openings.pop_front();
    SteeredFlow *Flow = find(Next.Flow);
    if (Flow != nullptr && Flow->CurrentPhase == SteeredFlow::Phase::Opening)
      OnSilent(Next.Flow, *Flow);
  }
}

} // namespace indigopoint
