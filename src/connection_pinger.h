#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "engine_io.h"
#include "owned_upstream.h"

namespace indigopoint {

struct Blackboard;

/// Pings idle connections and detects unresponsive ones.
class ConnectionPinger {
public:
  using FlowHook = std::function<void(OwnedUpstream &, FlowKey, ActionSink &)>;

  /// \p OnUnresponsive is called for a flow whose connection left too many
  /// pings unanswered, \p OnIdle for a flow that was idle for longer than the
  /// idle timeout at its home instance (which decides the outcome of the
  /// flow's requests).
  ConnectionPinger(const Blackboard &Board, OwnedUpstreams &Upstreams,
                   FlowHook OnUnresponsive, FlowHook OnIdle);

  /// Sends the pings that are due.
  void onTick(ActionSink &Sink);

  void onPong(Endpoint From, ConnectionId Id);

  void reset();

private:
  struct PendingPing {
    ConnectionId Id;
    TimePoint SentAt{};
  };
  struct PingTarget {
    UpstreamId Upstream;
    FlowKey Flow;
    TimePoint SentAt{};
  };

  void ping(OwnedUpstream &Upstream, FlowKey Flow,
            ConnectionTable::Connection &Connection, ActionSink &Sink);
  void checkPendingPings(ActionSink &Sink);
  void checkMissedPing(const PingTarget &Target, ConnectionId Id,
                       ActionSink &Sink);
  void visitConnections(OwnedUpstream &Upstream, size_t Count,
                        ActionSink &Sink);
  OwnedUpstream *nextUpstream();

  const Blackboard &Board;
  OwnedUpstreams &Upstreams;
  FlowHook OnUnresponsive;
  FlowHook OnIdle;
  UpstreamId Cursor;
  /// Number of pings that may still be sent in this tick.
  uint32_t PingsLeftInTick = 0;
  std::deque<PendingPing> PendingPings;
  std::unordered_map<ConnectionId, PingTarget> PingTargets;
};

} // namespace indigopoint
