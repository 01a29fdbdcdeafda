#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "types.h"

namespace indigopoint {

/// Generates connection ids that are unique across processes and calls.
class ConnectionIdSource {
public:
  explicit ConnectionIdSource(BootId Boot);
  ConnectionId next();

private:
  uint64_t LastValue;
};

/// The flows of one upstream. Each flow has its own connection.
class ConnectionTable {
public:
  struct Connection {
    ConnectionId Id;
    /// The last answer or pong; until then the time of opening.
    TimePoint LastAnswerAt{};
    /// The last dispatch; zero if there was none yet.
    TimePoint LastUsedAt{};
    /// Number of unanswered dispatches on this connection.
    uint16_t InProgress = 0;
    uint8_t MissedPings = 0;
    bool PingPending = false;
  };

  /// Null if the flow has no connection.
  Connection *find(FlowKey Flow);

  /// Returns the connection of a flow; opens one if there is none.
  Connection &open(FlowKey Flow, ConnectionIdSource &Ids, TimePoint Now);

  /// Counts a dispatch that was sent on the connection of \p Flow.
  void onDispatchStart(FlowKey Flow, TimePoint Now);

  /// Counts the end of a dispatch on \p Id. Returns true if the connection was
  /// replaced or released before and can be closed now.
  bool onDispatchEnd(FlowKey Flow, ConnectionId Id);

  /// Gives the flow a new connection. Returns the old connection if it can be
  /// closed at once; otherwise \c onDispatchEnd returns true when it can be
  /// closed.
  ConnectionId replace(FlowKey Flow, ConnectionIdSource &Ids, TimePoint Now);

  /// Removes the flow. Returns its connection if it can be closed at once;
  /// otherwise \c onDispatchEnd returns true when it can be closed.
  ConnectionId release(FlowKey Flow);

  /// Visits up to \p Count flows. Consecutive calls cycle through all flows.
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

  /// An arbitrary flow of the table, or nothing if the table is empty.
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
