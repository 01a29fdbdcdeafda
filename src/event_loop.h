#pragma once

#include <functional>
#include <memory>

#include "types.h"

struct event;
struct event_base;
struct timeval;

namespace indigopoint {

/// A libevent loop. Runs the hooks of one thread's sockets, timers and signals.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs until stop is called.
  void run();
  void stop();

  event_base *base() const { return Base; }

private:
  event_base *Base;
};

/// Converts a duration to the form that libevent uses.
timeval toTimeval(Duration Interval);

/// Calls a hook when a timer expires, a signal arrives or a socket becomes
/// readable. The destructor cancels the event.
class LoopEvent {
public:
  using Hook = std::function<void()>;

  /// Calls \p Action every \p Period.
  static LoopEvent every(EventLoop &Loop, Duration Period, Hook Action);

  /// Calls \p Action once after \p Delay.
  static LoopEvent after(EventLoop &Loop, Duration Delay, Hook Action);

  static LoopEvent onSignal(EventLoop &Loop, int Signal, Hook Action);

  /// Calls \p Action whenever \p Socket is readable.
  static LoopEvent onReadable(EventLoop &Loop, int Socket, Hook Action);

  LoopEvent();
  ~LoopEvent();
  LoopEvent(LoopEvent &&) noexcept;
  LoopEvent &operator=(LoopEvent &&) noexcept;

private:
  struct Impl;
  LoopEvent(EventLoop &Loop, int Descriptor, short EventFlags,
            const Duration *Delay, Hook Action);
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
