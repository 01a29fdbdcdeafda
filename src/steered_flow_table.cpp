#include "steered_flow_table.h"

namespace indigopoint {

namespace {

// Bounds the memory of the table. Further flows are not stored; their packets
// are forwarded by tag.
constexpr size_t MaxFlows = 131'072;

// Flows in the Closing phase are kept this long, so that late packets still
// find their flow.
constexpr Duration ClosingFlowLifetime = std::chrono::seconds(2);

} // namespace

SteeredFlow *SteeredFlowTable::find(const FlowAddress &Flow) {
  const auto It = Flows.find(Flow);
  return It == Flows.end() ? nullptr : &It->second;
}

SteeredFlow *SteeredFlowTable::add(const FlowAddress &Flow) {
  if (Flows.size() >= MaxFlows)
    return nullptr;
  return &Flows[Flow];
}

void SteeredFlowTable::forEach(const Hook &OnFlow) {
  for (auto &[Address, Flow] : Flows)
    OnFlow(Address, Flow);
}

void SteeredFlowTable::sweep(TimePoint Now, Duration IdleTimeout,
                             const Hook &OnRemove) {
  for (auto It = Flows.begin(); It != Flows.end();) {
    const Duration MaxAge =
        It->second.CurrentPhase == SteeredFlow::Phase::Closing
            ? ClosingFlowLifetime
            : IdleTimeout;
    if (Now - It->second.LastSeen <= MaxAge) {
      ++It;
      continue;
    }
    OnRemove(It->first, It->second);
    It = Flows.erase(It);
  }
}

void SteeredFlowTable::addOpeningDeadline(const FlowAddress &Flow,
                                          TimePoint Deadline) {
  OpeningDeadlines.push_back({Flow, Deadline});
}

void SteeredFlowTable::reportOpenTimeouts(TimePoint Now,
                                          const Hook &OnTimeout) {
  while (!OpeningDeadlines.empty() &&
         OpeningDeadlines.front().Deadline <= Now) {
    const OpeningDeadline Opening = OpeningDeadlines.front();
    OpeningDeadlines.pop_front();
    SteeredFlow *Flow = find(Opening.Flow);
    if (Flow != nullptr && Flow->CurrentPhase == SteeredFlow::Phase::Opening)
      OnTimeout(Opening.Flow, *Flow);
  }
}

} // namespace indigopoint
