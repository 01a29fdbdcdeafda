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
    /// Larger than a datagram may be.
    uint64_t Oversized = 0;
    /// Refused by the system, mostly because its send buffer was full.
    uint64_t NotSent = 0;
  };

  /// Receives datagrams of up to \p MaxBytes; larger ones are only counted.
  explicit UdpEndpoint(size_t MaxBytes);
  ~UdpEndpoint();

  /// Binds to \p Address (port 0 lets the system choose) and calls
  /// \p OnReceive for each datagram. Sends what is queued after each batch.
  std::error_code open(EventLoop &Loop, Endpoint Address,
                       ReceiveHook OnReceive);

  /// Stops or starts receiving. Meanwhile the system keeps what arrives, as
  /// far as its buffer goes.
  void setReceiving(bool Receiving);

  /// The bound address.
  Endpoint address() const;

  /// The buffer of the next datagram; valid until the next call of this
  /// object. Call commit once it is filled.
  std::string &nextBuffer();

  /// Queues the datagram in nextBuffer.
  void commit(Endpoint To);

  /// Sends what is queued.
  void flush();

  const Counters &counters() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
