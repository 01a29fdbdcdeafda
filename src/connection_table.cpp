#include "connection_table.h"

#include <xxhash.h>

namespace indigopoint {

// The upper half identifies the process, the lower half is a counter. The
// counter lasts for 49 days at 1,000 connections a second. Instances are
// replaced sooner, and an overflow into the upper half still gives an unused
// id.
ConnectionIdSource::ConnectionIdSource(BootId Boot) {
  const uint64_t Raw = Boot.value();
  LastValue = XXH64(&Raw, sizeof(Raw), 0) << 32U;
}

ConnectionId ConnectionIdSource::next() { return ConnectionId(++LastValue); }

ConnectionTable::Connection *ConnectionTable::find(FlowKey Flow) {
  const auto It = IndexByFlow.find(Flow);
  return It == IndexByFlow.end() ? nullptr : &Flows[It->second].FlowConnection;
}

ConnectionTable::Connection &
ConnectionTable::open(FlowKey Flow, ConnectionIdSource &Ids, TimePoint Now) {
  const auto [It, IsNew] =
      IndexByFlow.try_emplace(Flow, static_cast<uint32_t>(Flows.size()));
  if (IsNew)
    Flows.push_back({Flow, Connection{Ids.next(), Now, {}}});
  return Flows[It->second].FlowConnection;
}

void ConnectionTable::onDispatchStart(FlowKey Flow, TimePoint Now) {
  if (Connection *FlowConnection = find(Flow)) {
    ++FlowConnection->InProgress;
    FlowConnection->LastUsedAt = Now;
  }
}

bool ConnectionTable::onDispatchEnd(FlowKey Flow, ConnectionId Id) {
  Connection *FlowConnection = find(Flow);
  if (FlowConnection != nullptr && FlowConnection->Id == Id) {
    --FlowConnection->InProgress;
    return false;
  }
  const auto It = RetiredConnections.find(Id);
  if (It == RetiredConnections.end() || --It->second > 0)
    return false;
  RetiredConnections.erase(It);
  return true;
}

ConnectionId ConnectionTable::retire(const Connection &OldConnection) {
  if (OldConnection.InProgress == 0)
    return OldConnection.Id;
  RetiredConnections[OldConnection.Id] = OldConnection.InProgress;
  return {};
}

ConnectionId ConnectionTable::replace(FlowKey Flow, ConnectionIdSource &Ids,
                                      TimePoint Now) {
  Connection *FlowConnection = find(Flow);
  if (FlowConnection == nullptr)
    return {};
  const Connection OldConnection = *FlowConnection;
  *FlowConnection = Connection{Ids.next(), Now, OldConnection.LastUsedAt};
  return retire(OldConnection);
}

ConnectionId ConnectionTable::release(FlowKey Flow) {
  const auto It = IndexByFlow.find(Flow);
  if (It == IndexByFlow.end())
    return {};
  const uint32_t Index = It->second;
  const Connection OldConnection = Flows[Index].FlowConnection;
  IndexByFlow.erase(It);
  if (Index + 1 < Flows.size()) {
    Flows[Index] = Flows.back();
    IndexByFlow[Flows[Index].Flow] = Index;
  }
  Flows.pop_back();
  return retire(OldConnection);
}

std::optional<FlowKey> ConnectionTable::anyFlow() const {
  if (Flows.empty())
    return std::nullopt;
  return Flows.back().Flow;
}

} // namespace indigopoint
