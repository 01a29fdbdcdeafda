#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "decision_engine.h"
#include "process_settings.h"
#include "wire_codec.h"

namespace indigopoint {

class EventLoop;
class HttpServer;

/// Why datagrams were dropped before they reached the engine.
struct DropCounters {
  uint64_t Truncated = 0;
  uint64_t Oversized = 0;
  uint64_t WrongVersion = 0;
  uint64_t UnknownKind = 0;
  uint64_t Malformed = 0;
  /// Messages between instances without the id of their sender.
  uint64_t UnknownPeer = 0;
};

/// Runs one decision engine on an event loop: sockets, HTTP and timers around
/// it, and nothing of its decisions.
class Server {
public:
  struct StopResult {
    /// The stop was not done by its limit.
    bool LimitReached = false;
    /// Requests still in progress.
    uint32_t Unfinished = 0;
  };
  using StopHook = std::function<void(const StopResult &)>;

  /// \p OnStop is called once a planned stop is done or its limit passed.
  Server(EventLoop &Loop, const ProcessSettings &Settings, StopHook OnStop);
  ~Server();

  /// Binds the sockets and starts the engine. Returns what failed; empty if
  /// nothing did.
  std::string start();

  Endpoint address() const;
  Endpoint adminAddress() const;

  DropCounters drops() const;

  /// Starts a planned stop.
  void drain(Duration Limit);

  /// Requests in progress here, as the home of their flows or for others.
  uint32_t unfinished() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
