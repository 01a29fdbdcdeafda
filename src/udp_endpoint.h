#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "types.h"

namespace indigopoint {

class EventLoop;

/// A bound UDP socket that receives and sends in batches.
class UdpEndpoint {
public:
  using ReceiveHook = std::function<void(Endpoint, std::string_view)>;

  struct Counters {
    uint64_t Received = 0;
    uint64_t Sent = 0;
    /// Received datagrams that exceeded the maximum size.
    uint64_t Oversized = 0;
    /// Datagrams that the system rejected, mostly because the send buffer was
    /// full.
    uint64_t NotSent = 0;
  };

  /// Receives datagrams of up to \p MaxBytes; larger ones are only counted.
  explicit UdpEndpoint(size_t MaxBytes);
  ~UdpEndpoint();

  /// Binds to \p Address (port 0 lets the system choose) and calls
  /// \p OnReceive for each datagram. Sends queued datagrams after each batch.
  std::error_code open(EventLoop &Loop, Endpoint Address,
                       ReceiveHook OnReceive);

  /// Stops or starts receiving. While stopped, datagrams stay in the socket's
  /// receive buffer until it is full.
  void setReceiving(bool Receiving);

  /// The bound address.
  Endpoint address() const;

  /// The buffer of the next datagram; valid until the next call to this object.
  /// Fill the buffer, then call commit.
  std::string &nextBuffer();

  /// Queues the datagram in nextBuffer.
  void commit(Endpoint To);

  /// Receives all that is in the socket's buffer now, also while receiving is
  /// stopped.
  void receivePending();

  /// Sends the queued datagrams.
  void flush();

  const Counters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
