#include "connect_check.h"

#include <list>
#include <new>
#include <utility>

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "event_loop.h"
#include "socket_address.h"

namespace indigopoint {

struct ConnectCheck::Impl {
  struct Attempt {
    ~Attempt() {
      if (Connection != nullptr)
        bufferevent_free(Connection);
    }

    Impl *Owner = nullptr;
    std::list<Attempt>::iterator Self;
    bufferevent *Connection = nullptr;
    LoopEvent Limit;
    ResultHook OnResult;
  };

  explicit Impl(EventLoop &Loop) : Loop(Loop) {}

  void finish(Attempt &Done, bool IsAccepting) {
    const ResultHook OnResult = std::move(Done.OnResult);
    Attempts.erase(Done.Self);
    OnResult(IsAccepting);
  }

  static void onEvent(bufferevent *, short What, void *Context) {
    auto &Done = *static_cast<Attempt *>(Context);
    Done.Owner->finish(Done, (What & BEV_EVENT_CONNECTED) != 0);
  }

  EventLoop &Loop;
  std::list<Attempt> Attempts;
};

ConnectCheck::ConnectCheck(EventLoop &Loop)
    : PImpl(std::make_unique<Impl>(Loop)) {}

ConnectCheck::~ConnectCheck() = default;

void ConnectCheck::start(Endpoint Target, Duration Timeout,
                         ResultHook OnResult) {
  Impl::Attempt &Started = PImpl->Attempts.emplace_back();
  Started.Owner = PImpl.get();
  Started.Self = std::prev(PImpl->Attempts.end());
  Started.OnResult = std::move(OnResult);
  // Deferred callbacks never run from within connect, which would end the
  // attempt while it is being set up.
  Started.Connection = bufferevent_socket_new(
      PImpl->Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (Started.Connection == nullptr)
    throw std::bad_alloc();
  bufferevent_setcb(Started.Connection, nullptr, nullptr, Impl::onEvent,
                    &Started);
  sockaddr_in Address = toSocketAddress(Target);
  // A failure at once is reported by the timer, so that the hook never runs
  // from within this call.
  const bool Connecting =
      bufferevent_socket_connect(Started.Connection,
                                 reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) == 0;
  Started.Limit = LoopEvent::after(
      PImpl->Loop, Connecting ? Timeout : Duration(),
      [Owner = PImpl.get(), &Started] { Owner->finish(Started, false); });
}

} // namespace indigopoint
