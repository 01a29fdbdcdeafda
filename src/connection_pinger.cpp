#include "connection_pinger.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "blackboard.h"

namespace indigopoint {

namespace {

constexpr Duration PingInterval = std::chrono::seconds(5);
constexpr uint8_t MissesToReplace = 3;

// 200 pings a second per instance: 1,000 idle connections are pinged every 5 s;
// with more connections the interval grows (42 minutes with 500,000). A ping
// and its answer take about 50 bytes, so the limit keeps this traffic near 10
// KB/s. Connections with a missed ping have priority, so an unresponsive
// connection is replaced within 15 s of its first miss, regardless of the
// number of connections.
constexpr uint32_t PingsPerTick = 2;

// Connections visited per tick. The limit makes the cost of a tick independent
// of the number of connections.
constexpr size_t VisitsPerTick = 64;

// The home instance of a flow closes the flow when it is idle. This margin on
// top of the idle timeout removes flows whose home instance failed.
constexpr Duration DeadHomeMargin = std::chrono::seconds(60);

} // namespace

ConnectionPinger::ConnectionPinger(const Blackboard &Board,
                                   OwnedUpstreams &Upstreams,
                                   FlowHook OnUnresponsive, FlowHook OnIdle)
    : Board(Board), Upstreams(Upstreams),
      OnUnresponsive(std::move(OnUnresponsive)), OnIdle(std::move(OnIdle)) {}

OwnedUpstream *ConnectionPinger::nextUpstream() {
  if (Upstreams.Current.empty())
    return nullptr;
  auto It = Upstreams.Current.upper_bound(Cursor);
  if (It == Upstreams.Current.end())
    It = Upstreams.Current.begin();
  Cursor = It->first;
  return &It->second;
}

void ConnectionPinger::ping(OwnedUpstream &Upstream, FlowKey Flow,
                            ConnectionTable::Connection &Connection,
                            ActionSink &Sink) {
  const TimePoint Now = Board.now();
  Connection.PingPending = true;
  PendingPings.push_back({Connection.Id, Now});
  PingTargets[Connection.Id] = {Upstream.Id, Flow, Now};
  Sink.send(Upstream.Address, Ping{Connection.Id});
  --PingsLeftInTick;
}

// A pending ping that is not answered within PingInterval is a miss. When the
// budget of the tick is used up, overdue pings stay at the front of the queue.
void ConnectionPinger::checkPendingPings(ActionSink &Sink) {
  const TimePoint Now = Board.now();
  while (!PendingPings.empty() && PingsLeftInTick > 0 &&
         Now - PendingPings.front().SentAt >= PingInterval) {
    const PendingPing Front = PendingPings.front();
    PendingPings.pop_front();
    const auto It = PingTargets.find(Front.Id);
    if (It == PingTargets.end() || It->second.SentAt != Front.SentAt)
      continue;
    const PingTarget Target = It->second;
    PingTargets.erase(It);
    checkMissedPing(Target, Front.Id, Sink);
  }
}

void ConnectionPinger::checkMissedPing(const PingTarget &Target,
                                       ConnectionId Id, ActionSink &Sink) {
  OwnedUpstream *Upstream = Upstreams.find(Target.Upstream);
  if (Upstream == nullptr)
    return;
  ConnectionTable::Connection *Connection =
      Upstream->Connections.find(Target.Flow);
  // The connection was replaced or has answered a request since the ping.
  if (Connection == nullptr || Connection->Id != Id || !Connection->PingPending)
    return;
  if (++Connection->MissedPings >= MissesToReplace)
    OnUnresponsive(*Upstream, Target.Flow, Sink);
  else
    ping(*Upstream, Target.Flow, *Connection, Sink);
}

void ConnectionPinger::onTick(ActionSink &Sink) {
  PingsLeftInTick = PingsPerTick;
  checkPendingPings(Sink);
  size_t VisitsLeft = VisitsPerTick;
  for (size_t UpstreamsLeft = Upstreams.Current.size();
       UpstreamsLeft > 0 && VisitsLeft > 0; --UpstreamsLeft) {
    OwnedUpstream *Upstream = nextUpstream();
    const size_t Count = std::min(VisitsLeft, Upstream->Connections.size());
    VisitsLeft -= Count;
    visitConnections(*Upstream, Count, Sink);
  }
}

void ConnectionPinger::visitConnections(OwnedUpstream &Upstream, size_t Count,
                                        ActionSink &Sink) {
  const ConfigIndex::UpstreamRef Ref = Board.Index.upstream(Upstream.Id);
  if (Ref.Service == nullptr)
    return;
  const TimePoint Now = Board.now();
  std::vector<FlowKey> IdleFlows;
  Upstream.Connections.visitSome(
      Count, [&](FlowKey Flow, ConnectionTable::Connection &Connection) {
        // The flow's first request is still queued; nothing was sent on this
        // connection yet.
        if (Connection.LastUsedAt == TimePoint())
          return;
        if (Connection.InProgress == 0 &&
            Now - Connection.LastUsedAt >
                Ref.Service->IdleTimeout + DeadHomeMargin)
          IdleFlows.push_back(Flow);
        else if (PingsLeftInTick > 0 && !Connection.PingPending &&
                 Now - Connection.LastAnswerAt >= PingInterval)
          ping(Upstream, Flow, Connection, Sink);
      });
  for (FlowKey Flow : IdleFlows)
    OnIdle(Upstream, Flow, Sink);
}

void ConnectionPinger::onPong(Endpoint From, ConnectionId Id) {
  const auto It = PingTargets.find(Id);
  if (It == PingTargets.end())
    return;
  const PingTarget Target = It->second;
  OwnedUpstream *Upstream = Upstreams.find(Target.Upstream);
  if (Upstream == nullptr || Upstream->Address != From)
    return;
  PingTargets.erase(It);
  ConnectionTable::Connection *Connection =
      Upstream->Connections.find(Target.Flow);
  if (Connection == nullptr || Connection->Id != Id)
    return;
  Connection->LastAnswerAt = Board.now();
  Connection->MissedPings = 0;
  Connection->PingPending = false;
}

void ConnectionPinger::reset() {
  PendingPings.clear();
  PingTargets.clear();
}

} // namespace indigopoint
