#pragma once

#include <deque>

#include "engine_io.h"

namespace indigopoint {

struct Blackboard;
class MembershipController;

/// Drops datagrams of instances that were declared dead or replaced. After a
/// pause of this process, it also delays or drops most other datagrams until
/// the process has confirmed that it was not declared dead itself.
class DatagramFilter {
public:
  DatagramFilter(Blackboard &Board, const MembershipController &Membership)
      : Board(Board), Membership(Membership) {}

  /// Returns false if \p Datagram must not be handled now. It is then dropped
  /// or moved into the queue of held datagrams.
  bool admit(DatagramReceived &Datagram);

  /// Records that the process was paused from \p Start until now.
  void onPause(TimePoint Start) { PauseStart = Start; }

  /// Pops the next held datagram. Returns false if there is none, or if this
  /// process has not confirmed its membership yet.
  bool popHeldDatagram(DatagramReceived &Out);

  /// Drops all held datagrams, because this process was declared dead.
  void reset();

private:
  bool isFromOutdatedSender(const DatagramReceived &Datagram) const;

  Blackboard &Board;
  const MembershipController &Membership;
  TimePoint PauseStart{};
  std::deque<DatagramReceived> HeldDatagrams;
};

} // namespace indigopoint
