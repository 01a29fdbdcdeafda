#include "udp_socket.h"

#include <array>
#include <cerrno>
#include <system_error>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "timer_loop.h"

namespace indigopoint::standin {

namespace {

// Other sockets of the loop get their turn after this many datagrams.
constexpr int DatagramsPerRound = 64;
constexpr int BufferBytes = 4 << 20;

sockaddr_in toSockaddr(Endpoint Address) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_addr.s_addr = htonl(Address.Address);
  Out.sin_port = htons(Address.Port);
  return Out;
}

Endpoint fromSockaddr(const sockaddr_in &Address) {
  return {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
}

void check(int Result, const char *ErrorText) {
  if (Result < 0)
    throw std::system_error(errno, std::system_category(), ErrorText);
}

} // namespace

UdpSocket::UdpSocket(TimerLoop &Loop, Handler OnDatagram)
    : Socket(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      OnDatagram(std::move(OnDatagram)) {
  check(Socket, "cannot create a UDP socket");
  for (const int Option : {SO_RCVBUF, SO_SNDBUF})
    setsockopt(Socket, SOL_SOCKET, Option, &BufferBytes, sizeof(BufferBytes));
  sockaddr_in Address = toSockaddr({INADDR_LOOPBACK, 0});
  socklen_t Size = sizeof(Address);
  check(bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size),
        "cannot bind to 127.0.0.1");
  check(getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size),
        "cannot read the bound address");
  BoundAddress = fromSockaddr(Address);
  ReadEvent =
      LoopEvent::onReadable(Loop.eventLoop(), Socket, [this] { receive(); });
}

UdpSocket::~UdpSocket() {
  // The event must be removed before its descriptor is closed.
  ReadEvent = LoopEvent();
  close(Socket);
}

void UdpSocket::send(Endpoint To, std::string_view Bytes) const {
  const sockaddr_in Address = toSockaddr(To);
  // A datagram that cannot be sent counts as lost on the way.
  sendto(Socket, Bytes.data(), Bytes.size(), 0,
         reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
}

void UdpSocket::receive() {
  static std::array<char, 65536> Buffer;
  for (int Index = 0; Index < DatagramsPerRound; ++Index) {
    sockaddr_in From{};
    socklen_t Size = sizeof(From);
    const ssize_t Length = recvfrom(Socket, Buffer.data(), Buffer.size(), 0,
                                    reinterpret_cast<sockaddr *>(&From), &Size);
    if (Length < 0)
      return;
    OnDatagram(fromSockaddr(From),
               {Buffer.data(), static_cast<size_t>(Length)});
  }
}

} // namespace indigopoint::standin
