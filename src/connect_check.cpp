#include "connect_check.h"

#include <array>
#include <list>
#include <new>
#include <utility>

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "event_loop.h"
#include "socket_address.h"

namespace indigopoint {

namespace {

constexpr std::array<std::string_view, 3> ResultNames = {"accepted", "refused",
                                                         "timed-out"};

} // namespace

std::string_view nameOf(ConnectResult Value) {
  return ResultNames.at(static_cast<size_t>(Value));
}

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

  void finish(Attempt &FinishedAttempt, ConnectResult Result) {
    const ResultHook OnResult = std::move(FinishedAttempt.OnResult);
    Attempts.erase(FinishedAttempt.Position);
    OnResult(Result);
  }

  static void onEvent(bufferevent *, short Events, void *Context) {
    auto &FinishedAttempt = *static_cast<Attempt *>(Context);
    FinishedAttempt.Owner->finish(FinishedAttempt,
                                  (Events & BEV_EVENT_CONNECTED) != 0
                                      ? ConnectResult::Accepted
                                      : ConnectResult::Refused);
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
      [Owner = PImpl.get(), &NewAttempt, IsConnecting] {
        Owner->finish(NewAttempt, IsConnecting ? ConnectResult::TimedOut
                                               : ConnectResult::Refused);
      });
}

} // namespace indigopoint
