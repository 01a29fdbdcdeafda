#include "connection_progress.h"

#include <algorithm>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "steady_clock.h"

namespace indigopoint {

ConnectionProgress::ConnectionProgress(bufferevent *Connection)
    : Connection(Connection), LastTransfer(SteadyClock().now()),
      LastOutput(LastTransfer), LastArrival(LastTransfer) {
  evbuffer_add_cb(bufferevent_get_input(Connection), onInput, this);
  evbuffer_add_cb(bufferevent_get_output(Connection), onOutput, this);
}

void ConnectionProgress::onInput(evbuffer *, const evbuffer_cb_info *Change,
                                 void *Context) {
  auto &Progress = *static_cast<ConnectionProgress *>(Context);
  if (Change->n_added == 0)
    return;
  Progress.BytesRead += Change->n_added;
  Progress.LastTransfer = SteadyClock().now();
  // The kernel counts in ticks, but an answer does not arrive before its
  // request was sent.
  Progress.LastArrival = std::max(
      Progress.LastOutput, Progress.LastTransfer - Progress.timeSinceArrival());
}

void ConnectionProgress::onOutput(evbuffer *, const evbuffer_cb_info *,
                                  void *Context) {
  auto &Progress = *static_cast<ConnectionProgress *>(Context);
  Progress.HasOutput = true;
  Progress.LastOutput = SteadyClock().now();
  Progress.LastTransfer = Progress.LastOutput;
}

uint64_t ConnectionProgress::unreadBytes() const {
  int Count = 0;
  const bool IsKnown =
      ioctl(bufferevent_getfd(Connection), FIONREAD, &Count) == 0;
  return IsKnown && Count > 0 ? Count : 0;
}

bool ConnectionProgress::hasUnreportedEnd() const {
  return unreadBytes() == 0 && poll(POLLIN);
}

bool ConnectionProgress::isReady() const {
  const bool IsConnecting = !HasOutput;
  const bool WaitsToWrite =
      IsConnecting ||
      evbuffer_get_length(bufferevent_get_output(Connection)) > 0;
  return poll(WaitsToWrite ? POLLIN | POLLOUT : POLLIN);
}

bool ConnectionProgress::poll(short Events) const {
  pollfd Socket{bufferevent_getfd(Connection), Events, 0};
  return ::poll(&Socket, 1, 0) > 0;
}

Duration ConnectionProgress::timeSinceArrival() const {
  tcp_info Information{};
  socklen_t Size = sizeof(Information);
  getsockopt(bufferevent_getfd(Connection), IPPROTO_TCP, TCP_INFO, &Information,
             &Size);
  return std::chrono::milliseconds(Information.tcpi_last_data_recv);
}

} // namespace indigopoint
