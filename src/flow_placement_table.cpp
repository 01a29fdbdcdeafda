#include "flow_placement_table.h"

namespace indigopoint {

namespace {

// About 1 MB. Placements are reported for flows whose opening packet was not
// answered in time, which is a small share of all flows.
constexpr size_t MaxRecords = 8192;

// No client sends more on one flow within the lifetime of a flow.
constexpr uint32_t MaxFlowBytes = uint32_t{1} << 24;

} // namespace

// Sequence numbers wrap around.
bool isReachable(uint32_t Earlier, uint32_t Sequence) {
  return Sequence - Earlier < MaxFlowBytes;
}

void FlowPlacementTable::record(const FlowPlacement &Placement, TimePoint Now) {
  if (Records.size() >= MaxRecords)
    removeOldest();
  Placements[Placement.Flow] = {Placement, Now};
  Records.push_back({Placement.Flow, Now});
}

std::optional<FlowPlacement>
FlowPlacementTable::find(const FlowAddress &Flow) const {
  const auto It = Placements.find(Flow);
  if (It == Placements.end())
    return std::nullopt;
  return It->second.Placement;
}

std::vector<FlowPlacement> FlowPlacementTable::newest(size_t Max) const {
  std::vector<FlowPlacement> Out;
  for (auto It = Records.rbegin(); It != Records.rend() && Out.size() < Max;
       ++It) {
    const auto Found = Placements.find(It->Flow);
    if (Found != Placements.end() && Found->second.RecordedAt == It->RecordedAt)
      Out.push_back(Found->second.Placement);
  }
  return Out;
}

void FlowPlacementTable::expireBefore(TimePoint Time) {
  while (!Records.empty() && Records.front().RecordedAt < Time)
    removeOldest();
}

void FlowPlacementTable::removeOldest() {
  const auto It = Placements.find(Records.front().Flow);
  if (It != Placements.end() &&
      It->second.RecordedAt == Records.front().RecordedAt)
    Placements.erase(It);
  Records.pop_front();
}

} // namespace indigopoint
