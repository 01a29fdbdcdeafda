#include "dispatch_table.h"

#include <algorithm>

namespace indigopoint {

DispatchId DispatchTable::add(const OpenDispatch &Entry) {
  const DispatchId Id(NextId++);
  DueTimeIndex.emplace(Entry.DueAt, Id);
  Entries.emplace(Id, Entry);
  return Id;
}

OpenDispatch *DispatchTable::find(DispatchId Id) {
  const auto It = Entries.find(Id);
  return It == Entries.end() ? nullptr : &It->second;
}

void DispatchTable::setDue(DispatchId Id, TimePoint DueAt) {
  OpenDispatch *Entry = find(Id);
  if (Entry == nullptr)
    return;
  DueTimeIndex.erase({Entry->DueAt, Id});
  Entry->DueAt = DueAt;
  DueTimeIndex.emplace(DueAt, Id);
}

void DispatchTable::erase(DispatchId Id) {
  const auto It = Entries.find(Id);
  if (It == Entries.end())
    return;
  DueTimeIndex.erase({It->second.DueAt, Id});
  Entries.erase(It);
}

std::optional<DispatchId> DispatchTable::firstDue(TimePoint Now) const {
  if (DueTimeIndex.empty() || DueTimeIndex.begin()->first > Now)
    return std::nullopt;
  return DueTimeIndex.begin()->second;
}

std::vector<DispatchId>
DispatchTable::findByUpstream(UpstreamId Upstream, uint64_t Generation) const {
  std::vector<DispatchId> Ids;
  for (const auto &[Id, Entry] : Entries)
    if (Entry.Upstream == Upstream && Entry.Generation == Generation)
      Ids.push_back(Id);
  std::sort(Ids.begin(), Ids.end());
  return Ids;
}

void DispatchTable::clear() {
  Entries.clear();
  DueTimeIndex.clear();
}

} // namespace indigopoint
