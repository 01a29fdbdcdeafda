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

struct UdpEndpoint::Impl {
  // One byte more than allowed tells that a datagram is oversized.
  explicit Impl(size_t MaxBytes)
      : ReceiveBytes(MaxBytes + 1), Bytes(BatchSize * ReceiveBytes) {
    for (size_t Index = 0; Index < BatchSize; ++Index)
      Incoming.Parts[Index] = {Bytes.data() + Index * ReceiveBytes,
                               ReceiveBytes};
  }
  ~Impl() {
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

std::error_code UdpEndpoint::Impl::bindTo(Endpoint Wanted) {
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

void UdpEndpoint::Impl::receive() {
  for (int Round = 0; Round < BatchesPerWakeUp; ++Round)
    if (receiveBatch() < BatchSize)
      return;
}

size_t UdpEndpoint::Impl::receiveBatch() {
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

void UdpEndpoint::Impl::flush() {
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
    : PImpl(std::make_unique<Impl>(MaxBytes)) {}
UdpEndpoint::~UdpEndpoint() = default;

std::error_code UdpEndpoint::open(EventLoop &Loop, Endpoint Address,
                                  ReceiveHook OnReceive) {
  if (const std::error_code Error = PImpl->bindTo(Address))
    return Error;
  PImpl->OnReceive = std::move(OnReceive);
  PImpl->Loop = &Loop;
  setReceiving(true);
  return {};
}

void UdpEndpoint::setReceiving(bool Receiving) {
  PImpl->Readable =
      Receiving
          ? LoopEvent::onReadable(*PImpl->Loop, PImpl->Socket,
                                  [State = PImpl.get()] { State->receive(); })
          : LoopEvent();
}

Endpoint UdpEndpoint::address() const { return PImpl->Bound; }

std::string &UdpEndpoint::nextBuffer() {
  if (PImpl->Queued == BatchSize)
    PImpl->flush();
  return PImpl->Queue[PImpl->Queued];
}

void UdpEndpoint::commit(Endpoint To) {
  std::string &Datagram = PImpl->Queue[PImpl->Queued];
  PImpl->Outgoing.Parts[PImpl->Queued] = {Datagram.data(), Datagram.size()};
  PImpl->Outgoing.Addresses[PImpl->Queued] = toSocketAddress(To);
  ++PImpl->Queued;
}

void UdpEndpoint::flush() { PImpl->flush(); }

const UdpEndpoint::Counters &UdpEndpoint::counters() const {
  return PImpl->Count;
}

} // namespace indigopoint
