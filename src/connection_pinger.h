#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "engine_io.h"
#include "owned_upstream.h"

namespace indigopoint {

struct Blackboard;

/// Pings idle connections and finds those that went silent.
class ConnectionPinger {
public:
  using FlowHook = std::function<void(OwnedUpstream &, FlowKey, ActionSink &)>;

  /// \p OnSilent is called for a flow whose connection missed too many pings,
  /// \p OnUnused for one that was idle for longer than its home keeps it.
  ConnectionPinger(const Blackboard &Board, OwnedUpstreams &Owned,
                   FlowHook OnSilent, FlowHook OnUnused);

  /// Sends the pings that are due.
  void onTick(ActionSink &Sink);

  void onPong(Endpoint From, ConnectionId Id);

  void reset();

private:
  struct OpenPing {
    ConnectionId Id;
    TimePoint SentAt{};
  };
  struct Place {
    UpstreamId Upstream;
    FlowKey Flow;
    TimePoint SentAt{};
  };

  void ping(OwnedUpstream &Given, FlowKey Flow,
            ConnectionTable::Connection &Used, ActionSink &Sink);
  void checkOpen(ActionSink &Sink);
  void checkMissed(const Place &At, ConnectionId Id, ActionSink &Sink);
  void visit(OwnedUpstream &Given, size_t Count, ActionSink &Sink);
  OwnedUpstream *nextUpstream();

  const Blackboard &Board;
  OwnedUpstreams &Owned;
  FlowHook OnSilent;
  FlowHook OnUnused;
  UpstreamId Cursor;
  uint32_t Budget = 0;
  std::deque<OpenPing> InOrder;
  std::unordered_map<ConnectionId, Place> Places;
};

} // namespace indigopoint
