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

// Maximum number of datagrams that one system call receives or sends.
constexpr size_t BatchSize = 64;

// Maximum number of batches per loop iteration, so that timers are not delayed
// under load.
constexpr int BatchesPerWakeUp = 4;

// Absorbs bursts while the loop is busy. The system may grant less.
constexpr int SocketBufferBytes = 4 * 1024 * 1024;

// The socket buffer holds fewer datagrams: the system charges each of them with
// more than 512 bytes.
constexpr int MaxPendingBatches = SocketBufferBytes / 512 / BatchSize;

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
  // The buffer is one byte larger than allowed to detect oversized datagrams.
  explicit Impl(size_t MaxBytes)
      : ReceiveBufferSize(MaxBytes + 1), Bytes(BatchSize * ReceiveBufferSize) {
    for (size_t Index = 0; Index < BatchSize; ++Index)
      Incoming.Parts[Index] = {Bytes.data() + Index * ReceiveBufferSize,
                               ReceiveBufferSize};
  }
  ~Impl() {
    ReadEvent = LoopEvent();
    if (Socket >= 0)
      close(Socket);
  }

  std::error_code bindTo(Endpoint LocalAddress);
  void receive(int MaxBatches);
  size_t receiveBatch();
  void flush();

  const size_t ReceiveBufferSize;
  int Socket = -1;
  Endpoint BoundAddress;
  EventLoop *Loop = nullptr;
  LoopEvent ReadEvent;
  ReceiveHook OnReceive;
  Counters Statistics;
  std::vector<char> Bytes;
  Batch Incoming;
  Batch Outgoing;
  std::array<std::string, BatchSize> Queue;
  size_t QueuedCount = 0;
};

std::error_code UdpEndpoint::Impl::bindTo(Endpoint LocalAddress) {
  Socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return lastError();
  for (const int Option : {SO_RCVBUF, SO_SNDBUF})
    setsockopt(Socket, SOL_SOCKET, Option, &SocketBufferBytes,
               sizeof(SocketBufferBytes));
  sockaddr_in Address = toSocketAddress(LocalAddress);
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (bind(Socket, Generic, Size) != 0 ||
      getsockname(Socket, Generic, &Size) != 0)
    return lastError();
  BoundAddress = toEndpoint(Address);
  return {};
}

void UdpEndpoint::Impl::receive(int MaxBatches) {
  for (int Round = 0; Round < MaxBatches; ++Round)
    if (receiveBatch() < BatchSize)
      return;
}

size_t UdpEndpoint::Impl::receiveBatch() {
  const int ReceivedCount = recvmmsg(Socket, Incoming.Headers.data(), BatchSize,
                                     MSG_DONTWAIT, nullptr);
  // recvmmsg reports ICMP errors of datagrams sent earlier; such an error ends
  // only this batch.
  if (ReceivedCount <= 0)
    return 0;
  Statistics.Received += ReceivedCount;
  for (int Index = 0; Index < ReceivedCount; ++Index) {
    const unsigned Size = Incoming.Headers[Index].msg_len;
    if (Size >= ReceiveBufferSize)
      ++Statistics.Oversized;
    else
      OnReceive(toEndpoint(Incoming.Addresses[Index]),
                {Bytes.data() + Index * ReceiveBufferSize, Size});
    Incoming.Headers[Index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
  flush();
  return ReceivedCount;
}

void UdpEndpoint::Impl::flush() {
  size_t Processed = 0;
  while (Processed < QueuedCount) {
    const int Sent = sendmmsg(Socket, Outgoing.Headers.data() + Processed,
                              QueuedCount - Processed, MSG_DONTWAIT);
    if (Sent > 0) {
      Statistics.Sent += Sent;
      Processed += Sent;
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      // Waiting would delay all other work; callers and peers retransmit.
      Statistics.NotSent += QueuedCount - Processed;
      break;
    } else if (errno != EINTR) {
      ++Statistics.NotSent;
      ++Processed;
    }
  }
  QueuedCount = 0;
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
  PImpl->ReadEvent =
      Receiving ? LoopEvent::onReadable(*PImpl->Loop, PImpl->Socket,
                                        [Receiver = PImpl.get()] {
                                          Receiver->receive(BatchesPerWakeUp);
                                        })
                : LoopEvent();
}

Endpoint UdpEndpoint::address() const { return PImpl->BoundAddress; }

std::string &UdpEndpoint::nextBuffer() {
  if (PImpl->QueuedCount == BatchSize)
    PImpl->flush();
  return PImpl->Queue[PImpl->QueuedCount];
}

void UdpEndpoint::commit(Endpoint To) {
  std::string &Datagram = PImpl->Queue[PImpl->QueuedCount];
  PImpl->Outgoing.Parts[PImpl->QueuedCount] = {Datagram.data(),
                                               Datagram.size()};
  PImpl->Outgoing.Addresses[PImpl->QueuedCount] = toSocketAddress(To);
  ++PImpl->QueuedCount;
}

void UdpEndpoint::receivePending() { PImpl->receive(MaxPendingBatches); }

void UdpEndpoint::flush() { PImpl->flush(); }

const UdpEndpoint::Counters &UdpEndpoint::counters() const {
  return PImpl->Statistics;
}

} // namespace indigopoint
