#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "types.h"

namespace indigopoint {

/// Makes connection ids that no other process and no earlier call has made.
class ConnectionIdSource {
public:
  explicit ConnectionIdSource(BootId Boot);
  ConnectionId next();

private:
  uint64_t LastValue;
};

/// The flows of one upstream, each with a connection of its own.
class ConnectionTable {
public:
  struct Connection {
    ConnectionId Id;
    TimePoint LastAnswerAt{};
    TimePoint LastUsedAt{};
    uint16_t InProgress = 0;
    uint8_t MissedPings = 0;
    bool PingPending = false;
  };

  /// Null if the flow has no connection.
  Connection *find(FlowKey Flow);

  /// The connection of a flow, opened if it has none.
  Connection &open(FlowKey Flow, ConnectionIdSource &Ids, TimePoint Now);

  /// Counts a dispatch that was sent on the connection of \p Flow.
  void onDispatchStart(FlowKey Flow, TimePoint Now);

  /// Counts the end of a dispatch on \p Id. Returns true if the connection was
  /// replaced or released before and can be closed now.
  bool onDispatchEnd(FlowKey Flow, ConnectionId Id);

  /// Gives the flow a new connection. Returns the old one if it can be closed
  /// at once; otherwise \c onDispatchEnd says when.
  ConnectionId replace(FlowKey Flow, ConnectionIdSource &Ids, TimePoint Now);

  /// Forgets the flow. Returns its connection if it can be closed at once.
  ConnectionId release(FlowKey Flow);

  /// Looks at up to \p Count flows, going round all of them over the calls.
  /// The visitor must not add or remove flows.
  template <typename Visitor> void visitSome(size_t Count, Visitor Visit) {
    for (size_t Visited = 0; Visited < Count && Visited < Flows.size();
         ++Visited) {
      if (Cursor >= Flows.size())
        Cursor = 0;
      Entry &Item = Flows[Cursor++];
      Visit(Item.Flow, Item.FlowConnection);
    }
  }

  /// A flow of the table, if it has any.
  std::optional<FlowKey> anyFlow() const;

  size_t size() const { return Flows.size(); }

private:
  struct Entry {
    FlowKey Flow;
    Connection FlowConnection;
  };

  ConnectionId retire(const Connection &OldConnection);

  size_t Cursor = 0;
  std::vector<Entry> Flows;
  std::unordered_map<FlowKey, uint32_t> IndexByFlow;
  /// Replaced connections that still have dispatches in progress.
  std::unordered_map<ConnectionId, uint32_t> RetiredConnections;
};

} // namespace indigopoint
