#pragma once

#include <deque>

#include "engine_io.h"

namespace indigopoint {

struct Blackboard;
class MembershipController;

/// Decides whether a received datagram may be acted on: not if it comes from
/// an instance known to be dead, and only later while this process does not
/// know its own standing after a pause.
class DatagramFilter {
public:
  DatagramFilter(Blackboard &Board, const MembershipController &Members)
      : Board(Board), Members(Members) {}

  /// Returns false if \p Given must not be handled now. It was then dropped, or
  /// moved into the queue of held datagrams.
  bool admit(DatagramReceived &Given);

  /// A pause ended that began at \p Since.
  void onPause(TimePoint Since) { PausedSince = Since; }

  /// The next held datagram, once the own standing is known again. Returns
  /// false if there is none.
  bool popHeld(DatagramReceived &Out);

  /// Drops what is held; this process was declared dead.
  void reset();

private:
  bool isFromOutdatedSender(const DatagramReceived &Given) const;

  Blackboard &Board;
  const MembershipController &Members;
  TimePoint PausedSince{};
  std::deque<DatagramReceived> HeldDatagrams;
};

} // namespace indigopoint
