#include "steering_flows.h"

namespace indigopoint {

namespace {

// Bounds the memory of the table. Flows beyond follow their tags.
constexpr size_t MostFlows = 131'072;

// Late packets of a closed flow still find it.
constexpr Duration ClosingTime = std::chrono::seconds(2);

} // namespace

SteeredFlow *SteeredFlows::find(const FlowAddress &Flow) {
  const auto Found = Flows.find(Flow);
  return Found == Flows.end() ? nullptr : &Found->second;
}

SteeredFlow *SteeredFlows::add(const FlowAddress &Flow) {
  if (Flows.size() >= MostFlows)
    return nullptr;
  return &Flows[Flow];
}

void SteeredFlows::sweep(TimePoint Now, Duration IdleTimeout,
                         const Hook &OnRemove) {
  for (auto At = Flows.begin(); At != Flows.end();) {
    const Duration Limit = At->second.State == SteeredFlow::Phase::Closing
                               ? ClosingTime
                               : IdleTimeout;
    if (Now - At->second.LastSeen <= Limit) {
      ++At;
      continue;
    }
    OnRemove(At->first, At->second);
    At = Flows.erase(At);
  }
}

void SteeredFlows::expectOpening(const FlowAddress &Flow, TimePoint Deadline) {
  Openings.push_back({Flow, Deadline});
}

void SteeredFlows::expireOpenings(TimePoint Now, const Hook &OnSilent) {
  while (!Openings.empty() && Openings.front().Deadline <= Now) {
    const Expected Next = Openings.front();
    Openings.pop_front();
    SteeredFlow *Flow = find(Next.Flow);
    if (Flow != nullptr && Flow->State == SteeredFlow::Phase::Opening)
      OnSilent(Next.Flow, *Flow);
  }
}

} // namespace indigopoint
