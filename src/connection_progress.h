#pragma once

#include <cstddef>
#include <cstdint>

#include "types.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace indigopoint {

/// Observes the transfer over a bufferevent, which must outlive this object's
/// last use. Tells what has arrived but was not handled yet, because the
/// process got no processor time or other sockets were first.
class ConnectionProgress {
public:
  explicit ConnectionProgress(bufferevent *Connection);
  ConnectionProgress(const ConnectionProgress &) = delete;
  ConnectionProgress &operator=(const ConnectionProgress &) = delete;

  /// Returns when bytes were last read or written.
  TimePoint lastTransfer() const { return LastTransfer; }

  /// Returns when the last of the read bytes arrived, which may be long before
  /// they were read.
  TimePoint lastArrival() const { return LastArrival; }

  uint64_t bytesRead() const { return BytesRead; }

  /// Returns the number of bytes that arrived and were not read.
  uint64_t unreadBytes() const;

  /// Whether the peer ended the connection, or it failed, after bytes that were
  /// all read, and the owner was not told yet.
  bool hasUnreportedEnd() const;

  /// Whether the loop has something to do for the connection.
  bool isReady() const;

private:
  static void onInput(evbuffer *, const evbuffer_cb_info *Change,
                      void *Context);
  static void onOutput(evbuffer *, const evbuffer_cb_info *, void *Context);
  /// Returns whether poll reports one of \p Events, or an error.
  bool poll(short Events) const;
  /// Returns how long ago the last bytes arrived.
  Duration timeSinceArrival() const;

  bufferevent *Connection;
  TimePoint LastTransfer;
  TimePoint LastOutput;
  TimePoint LastArrival;
  uint64_t BytesRead = 0;
  /// Nothing is written to a connection before it is established.
  bool HasOutput = false;
};

} // namespace indigopoint
