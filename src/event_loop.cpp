#include "event_loop.h"

#include <csignal>
#include <new>
#include <utility>

#include <event2/event.h>
#include <sys/time.h>

namespace indigopoint {

EventLoop::EventLoop() {
  // libevent writes to connections without MSG_NOSIGNAL, so a peer that closes
  // a connection early would otherwise end the process with SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  // Without precise timers, libevent uses a coarse clock, and the 10 ms tick of
  // the decision engine is rounded to the time of the last poll.
  event_config *Config = event_config_new();
  if (Config == nullptr)
    throw std::bad_alloc();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  Base = event_base_new_with_config(Config);
  event_config_free(Config);
  if (Base == nullptr)
    throw std::bad_alloc();
}

EventLoop::~EventLoop() { event_base_free(Base); }

void EventLoop::run() { event_base_loop(Base, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::stop() { event_base_loopbreak(Base); }

struct LoopEvent::Impl {
  ~Impl() {
    if (Handle != nullptr)
      event_free(Handle);
  }

  static void call(evutil_socket_t, short, void *Context) {
    // The action may replace or destroy this event; the copy keeps the action
    // alive.
    const std::shared_ptr<Hook> CurrentAction =
        static_cast<Impl *>(Context)->Action;
    (*CurrentAction)();
  }

  std::shared_ptr<Hook> Action;
  event *Handle = nullptr;
};

LoopEvent::LoopEvent() = default;
LoopEvent::~LoopEvent() = default;
LoopEvent::LoopEvent(LoopEvent &&) noexcept = default;
LoopEvent &LoopEvent::operator=(LoopEvent &&) noexcept = default;

timeval toTimeval(Duration Interval) {
  return {Interval.count() / 1'000'000, Interval.count() % 1'000'000};
}

LoopEvent::LoopEvent(EventLoop &Loop, int Descriptor, short EventFlags,
                     const Duration *Delay, Hook Action)
    : PImpl(std::make_unique<Impl>()) {
  PImpl->Action = std::make_shared<Hook>(std::move(Action));
  PImpl->Handle =
      event_new(Loop.base(), Descriptor, EventFlags, Impl::call, PImpl.get());
  if (PImpl->Handle == nullptr)
    throw std::bad_alloc();
  // Otherwise the delay counts from the begin of the loop's iteration, and the
  // timer of a call that began after slow work fires too early.
  if (Delay != nullptr)
    event_base_update_cache_time(Loop.base());
  const timeval Timeout = toTimeval(Delay == nullptr ? Duration() : *Delay);
  event_add(PImpl->Handle, Delay == nullptr ? nullptr : &Timeout);
}

LoopEvent LoopEvent::every(EventLoop &Loop, Duration Period, Hook Action) {
  return {Loop, -1, EV_PERSIST, &Period, std::move(Action)};
}

LoopEvent LoopEvent::after(EventLoop &Loop, Duration Delay, Hook Action) {
  return {Loop, -1, 0, &Delay, std::move(Action)};
}

LoopEvent LoopEvent::onSignal(EventLoop &Loop, int Signal, Hook Action) {
  return {Loop, Signal, EV_SIGNAL | EV_PERSIST, nullptr, std::move(Action)};
}

LoopEvent LoopEvent::onReadable(EventLoop &Loop, int Socket, Hook Action) {
  return {Loop, Socket, EV_READ | EV_PERSIST, nullptr, std::move(Action)};
}

} // namespace indigopoint
