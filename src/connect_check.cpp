#include "connect_check.h"

#include <cerrno>
#include <list>
#include <new>
#include <utility>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "event_loop.h"
#include "socket_address.h"

namespace indigopoint {

namespace {

CheckResult resultOf(int Error) {
  if (Error == 0)
    return CheckResult::Accepted;
  return Error == ECONNREFUSED ? CheckResult::Refused : CheckResult::NoAnswer;
}

// What the system knows of a connection attempt, whether or not its event has
// been processed.
CheckResult currentResult(int Socket) {
  sockaddr_in Peer{};
  socklen_t Size = sizeof(Peer);
  if (getpeername(Socket, reinterpret_cast<sockaddr *>(&Peer), &Size) == 0)
    return CheckResult::Accepted;
  int Error = 0;
  Size = sizeof(Error);
  const bool IsKnown =
      getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 &&
      Error != 0;
  return IsKnown ? resultOf(Error) : CheckResult::NoAnswer;
}

} // namespace

struct ConnectCheck::Impl {
  struct Attempt {
    ~Attempt() {
      if (Connection != nullptr)
        bufferevent_free(Connection);
    }

    Impl *Owner = nullptr;
    std::list<Attempt>::iterator Position;
    bufferevent *Connection = nullptr;
    LoopEvent TimeoutTimer;
    ResultHook OnResult;
  };

  explicit Impl(EventLoop &Loop) : Loop(Loop) {}

  void finish(Attempt &FinishedAttempt, CheckResult Result) {
    const ResultHook OnResult = std::move(FinishedAttempt.OnResult);
    Attempts.erase(FinishedAttempt.Position);
    OnResult(Result);
  }

  // The timer and the connection's event can be due at the same time if the
  // process was paused, and the event's callback is deferred.
  void onTimeout(Attempt &LateAttempt) {
    finish(LateAttempt,
           currentResult(bufferevent_getfd(LateAttempt.Connection)));
  }

  static void onEvent(bufferevent *, short Events, void *Context) {
    auto &FinishedAttempt = *static_cast<Attempt *>(Context);
    FinishedAttempt.Owner->finish(FinishedAttempt,
                                  (Events & BEV_EVENT_CONNECTED) != 0
                                      ? CheckResult::Accepted
                                      : resultOf(EVUTIL_SOCKET_ERROR()));
  }

  EventLoop &Loop;
  std::list<Attempt> Attempts;
};

ConnectCheck::ConnectCheck(EventLoop &Loop)
    : PImpl(std::make_unique<Impl>(Loop)) {}

ConnectCheck::~ConnectCheck() = default;

void ConnectCheck::start(Endpoint Target, Duration Timeout,
                         ResultHook OnResult) {
  Impl::Attempt &NewAttempt = PImpl->Attempts.emplace_back();
  NewAttempt.Owner = PImpl.get();
  NewAttempt.Position = std::prev(PImpl->Attempts.end());
  NewAttempt.OnResult = std::move(OnResult);
  // Callbacks are deferred, because a callback that runs from within connect
  // would destroy the attempt while it is still being set up.
  NewAttempt.Connection = bufferevent_socket_new(
      PImpl->Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (NewAttempt.Connection == nullptr)
    throw std::bad_alloc();
  bufferevent_setcb(NewAttempt.Connection, nullptr, nullptr, Impl::onEvent,
                    &NewAttempt);
  sockaddr_in Address = toSocketAddress(Target);
  // The timer reports an immediate failure, so that the hook never runs from
  // within this call.
  const bool IsConnecting =
      bufferevent_socket_connect(NewAttempt.Connection,
                                 reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) == 0;
  NewAttempt.TimeoutTimer = LoopEvent::after(
      PImpl->Loop, IsConnecting ? Timeout : Duration(),
      [Owner = PImpl.get(), &NewAttempt] { Owner->onTimeout(NewAttempt); });
}

} // namespace indigopoint
