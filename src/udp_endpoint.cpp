#include "udp_endpoint.h"

#include <array>
#include <cerrno>
#include <utility>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include "event_loop.h"
#include "socket_address.h"

namespace indigopoint {

namespace {

// One system call moves up to this many datagrams.
constexpr size_t BatchSize = 64;

// Receiving stops after this many batches, so that timers are not late under
// load.
constexpr int BatchesPerWakeUp = 4;

// Absorbs bursts while the loop is busy. The system may grant less.
constexpr int SocketBufferBytes = 4 * 1024 * 1024;

std::error_code lastError() { return {errno, std::generic_category()}; }

// The headers, buffers and addresses of one recvmmsg or sendmmsg call.
struct Batch {
  Batch() {
    for (size_t Index = 0; Index < BatchSize; ++Index) {
      msghdr &Header = Headers[Index].msg_hdr;
      Header = {};
      Header.msg_name = &Addresses[Index];
      Header.msg_namelen = sizeof(sockaddr_in);
      Header.msg_iov = &Parts[Index];
      Header.msg_iovlen = 1;
    }
  }

  std::array<mmsghdr, BatchSize> Headers{};
  std::array<iovec, BatchSize> Parts{};
  std::array<sockaddr_in, BatchSize> Addresses{};
};

} // namespace

struct UdpEndpoint::State {
  // One byte more than allowed tells that a datagram is oversized.
  explicit State(size_t MaxBytes)
      : ReceiveBytes(MaxBytes + 1), Bytes(BatchSize * ReceiveBytes) {
    for (size_t Index = 0; Index < BatchSize; ++Index)
      Incoming.Parts[Index] = {Bytes.data() + Index * ReceiveBytes,
                               ReceiveBytes};
  }
  ~State() {
    Readable = LoopEvent();
    if (Socket >= 0)
      close(Socket);
  }

  std::error_code bindTo(Endpoint Wanted);
  void receive();
  size_t receiveBatch();
  void flush();

  const size_t ReceiveBytes;
  int Socket = -1;
  Endpoint Bound;
  EventLoop *Loop = nullptr;
  LoopEvent Readable;
  ReceiveHook OnReceive;
  Counters Count;
  std::vector<char> Bytes;
  Batch Incoming;
  Batch Outgoing;
  std::array<std::string, BatchSize> Queue;
  size_t Queued = 0;
};

std::error_code UdpEndpoint::State::bindTo(Endpoint Wanted) {
  Socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return lastError();
  for (const int Option : {SO_RCVBUF, SO_SNDBUF})
    setsockopt(Socket, SOL_SOCKET, Option, &SocketBufferBytes,
               sizeof(SocketBufferBytes));
  sockaddr_in Address = toSocketAddress(Wanted);
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (bind(Socket, Generic, Size) != 0 ||
      getsockname(Socket, Generic, &Size) != 0)
    return lastError();
  Bound = toEndpoint(Address);
  return {};
}

void UdpEndpoint::State::receive() {
  for (int Round = 0; Round < BatchesPerWakeUp; ++Round)
    if (receiveBatch() < BatchSize)
      return;
}

size_t UdpEndpoint::State::receiveBatch() {
  const int Got = recvmmsg(Socket, Incoming.Headers.data(), BatchSize,
                           MSG_DONTWAIT, nullptr);
  // An error belongs to a datagram sent earlier (ICMP) and ends this batch
  // only.
  if (Got <= 0)
    return 0;
  Count.Received += Got;
  for (int Index = 0; Index < Got; ++Index) {
    const unsigned Size = Incoming.Headers[Index].msg_len;
    if (Size >= ReceiveBytes)
      ++Count.Oversized;
    else
      OnReceive(toEndpoint(Incoming.Addresses[Index]),
                {Bytes.data() + Index * ReceiveBytes, Size});
    Incoming.Headers[Index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
  flush();
  return Got;
}

void UdpEndpoint::State::flush() {
  size_t Done = 0;
  while (Done < Queued) {
    const int Sent = sendmmsg(Socket, Outgoing.Headers.data() + Done,
                              Queued - Done, MSG_DONTWAIT);
    if (Sent > 0) {
      Count.Sent += Sent;
      Done += Sent;
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      // Waiting would delay everything else; callers and peers repeat.
      Count.NotSent += Queued - Done;
      break;
    } else if (errno != EINTR) {
      ++Count.NotSent;
      ++Done;
    }
  }
  Queued = 0;
}

UdpEndpoint::UdpEndpoint(size_t MaxBytes)
    : S(std::make_unique<State>(MaxBytes)) {}
UdpEndpoint::~UdpEndpoint() = default;

std::error_code UdpEndpoint::open(EventLoop &Loop, Endpoint Address,
                                  ReceiveHook OnReceive) {
  if (const std::error_code Error = S->bindTo(Address))
    return Error;
  S->OnReceive = std::move(OnReceive);
  S->Loop = &Loop;
  setReceiving(true);
  return {};
}

void UdpEndpoint::setReceiving(bool Receiving) {
  S->Readable =
      Receiving ? LoopEvent::onReadable(*S->Loop, S->Socket,
                                        [State = S.get()] { State->receive(); })
                : LoopEvent();
}

Endpoint UdpEndpoint::address() const { return S->Bound; }

std::string &UdpEndpoint::nextBuffer() {
  if (S->Queued == BatchSize)
    S->flush();
  return S->Queue[S->Queued];
}

void UdpEndpoint::commit(Endpoint To) {
  std::string &Datagram = S->Queue[S->Queued];
  S->Outgoing.Parts[S->Queued] = {Datagram.data(), Datagram.size()};
  S->Outgoing.Addresses[S->Queued] = toSocketAddress(To);
  ++S->Queued;
}

void UdpEndpoint::flush() { S->flush(); }

const UdpEndpoint::Counters &UdpEndpoint::counters() const { return S->Count; }

} // namespace indigopoint
