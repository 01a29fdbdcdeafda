#pragma once

#include <functional>
#include <string_view>

#include "event_loop.h"
#include "types.h"

namespace indigopoint::standin {

class TimerLoop;

/// A UDP socket on 127.0.0.1 with a port chosen by the kernel.
class UdpSocket {
public:
  using Handler = std::function<void(Endpoint From, std::string_view Bytes)>;

  UdpSocket(TimerLoop &Loop, Handler OnDatagram);
  ~UdpSocket();
  UdpSocket(const UdpSocket &) = delete;
  UdpSocket &operator=(const UdpSocket &) = delete;

  Endpoint address() const { return BoundAddress; }
  void send(Endpoint To, std::string_view Bytes) const;

private:
  void receive();

  int Socket;
  Endpoint BoundAddress;
  Handler OnDatagram;
  LoopEvent ReadEvent;
};

} // namespace indigopoint::standin
