#include "connection_pinger.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "blackboard.h"

namespace indigopoint {

namespace {

constexpr Duration PingInterval = std::chrono::seconds(5);
constexpr uint8_t MissesToReplace = 3;

// 200 pings a second per instance: 1,000 idle connections are pinged every
// 5 s, more in turn (500,000 would take 42 minutes). A ping and its answer
// take about 50 bytes, so the bound keeps them near 10 KB/s. Connections that
// already missed one come first, so a silent one is replaced within 15 s of its
// first miss whatever the number of connections.
constexpr uint32_t PingsPerTick = 2;

// Connections looked at per tick, so that a tick costs the same however many
// there are.
constexpr size_t VisitsPerTick = 64;

// The home closes idle flows; this removes those whose home died.
constexpr Duration UnusedMargin = std::chrono::seconds(60);

} // namespace

ConnectionPinger::ConnectionPinger(const Blackboard &Board,
                                   OwnedUpstreams &Owned, FlowHook OnSilent,
                                   FlowHook OnUnused)
    : Board(Board), Owned(Owned), OnSilent(std::move(OnSilent)),
      OnUnused(std::move(OnUnused)) {}

OwnedUpstream *ConnectionPinger::nextUpstream() {
  if (Owned.Current.empty())
    return nullptr;
  auto It = Owned.Current.upper_bound(Cursor);
  if (It == Owned.Current.end())
    It = Owned.Current.begin();
  Cursor = It->first;
  return &It->second;
}

void ConnectionPinger::ping(OwnedUpstream &Given, FlowKey Flow,
                            ConnectionTable::Connection &Used,
                            ActionSink &Sink) {
  const TimePoint Now = Board.now();
  Used.PingOpen = true;
  InOrder.push_back({Used.Id, Now});
  Places[Used.Id] = {Given.Id, Flow, Now};
  Sink.send(Given.Address, Ping{Used.Id});
  --Budget;
}

// An open ping that is not answered after an interval is a miss. Those that
// wait for the budget stay in order at the front.
void ConnectionPinger::checkOpen(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  while (!InOrder.empty() && Budget > 0 &&
         Now - InOrder.front().SentAt >= PingInterval) {
    const OpenPing Front = InOrder.front();
    InOrder.pop_front();
    const auto It = Places.find(Front.Id);
    if (It == Places.end() || It->second.SentAt != Front.SentAt)
      continue;
    const Place At = It->second;
    Places.erase(It);
    checkMissed(At, Front.Id, Sink);
  }
}

void ConnectionPinger::checkMissed(const Place &At, ConnectionId Id,
                                   ActionSink &Sink) {
  OwnedUpstream *Given = Owned.find(At.Upstream);
  if (Given == nullptr)
    return;
  ConnectionTable::Connection *Used = Given->Connections.find(At.Flow);
  // The connection was replaced, or answered a request in the meantime.
  if (Used == nullptr || Used->Id != Id || !Used->PingOpen)
    return;
  if (++Used->MissedPings >= MissesToReplace)
    OnSilent(*Given, At.Flow, Sink);
  else
    ping(*Given, At.Flow, *Used, Sink);
}

void ConnectionPinger::onTick(ActionSink &Sink) {
  Budget = PingsPerTick;
  checkOpen(Sink);
  size_t Visits = VisitsPerTick;
  for (size_t Left = Owned.Current.size(); Left > 0 && Visits > 0; --Left) {
    OwnedUpstream *Given = nextUpstream();
    const size_t Count = std::min(Visits, Given->Connections.size());
    Visits -= Count;
    visit(*Given, Count, Sink);
  }
}

void ConnectionPinger::visit(OwnedUpstream &Given, size_t Count,
                             ActionSink &Sink) {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Given.Id);
  if (Ref.Service == nullptr)
    return;
  const TimePoint Now = Board.now();
  std::vector<FlowKey> Unused;
  Given.Connections.visitSome(Count, [&](FlowKey Flow,
                                         ConnectionTable::Connection &Used) {
    // Queued work has not used its connection yet.
    if (Used.UsedAt == TimePoint())
      return;
    if (Used.InProgress == 0 &&
        Now - Used.UsedAt > Ref.Service->IdleTimeout + UnusedMargin)
      Unused.push_back(Flow);
    else if (Budget > 0 && !Used.PingOpen && Now - Used.HeardAt >= PingInterval)
      ping(Given, Flow, Used, Sink);
  });
  for (FlowKey Flow : Unused)
    OnUnused(Given, Flow, Sink);
}

void ConnectionPinger::onPong(Endpoint From, ConnectionId Id) {
  const auto It = Places.find(Id);
  if (It == Places.end())
    return;
  const Place At = It->second;
  OwnedUpstream *Given = Owned.find(At.Upstream);
  if (Given == nullptr || Given->Address != From)
    return;
  Places.erase(It);
  ConnectionTable::Connection *Used = Given->Connections.find(At.Flow);
  if (Used == nullptr || Used->Id != Id)
    return;
  Used->HeardAt = Board.now();
  Used->MissedPings = 0;
  Used->PingOpen = false;
}

void ConnectionPinger::reset() {
  InOrder.clear();
  Places.clear();
}

} // namespace indigopoint
