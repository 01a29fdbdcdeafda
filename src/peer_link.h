#pragma once

#include <deque>
#include <utility>

#include "engine_io.h"
#include "messages.h"

namespace indigopoint {

struct Blackboard;

/// Sends messages to instances by id. A message to this instance itself is
/// queued and handled in the same call of the engine.
class PeerLink {
public:
  explicit PeerLink(const Blackboard &Board) : Board(Board) {}

  /// Returns false if \p To is not a known member.
  bool send(InstanceId To, Message Body, ActionSink &Sink);

  /// Sends a message of one member on to the member that it is addressed to.
  void forward(const Forward &ForwardMessage, ActionSink &Sink) const;

  /// Pops the next message to this instance itself. Returns false if there is
  /// none.
  bool popLocalMessage(Message &Out);

private:
  const Blackboard &Board;
  std::deque<Message> LocalMessages;
};

} // namespace indigopoint
