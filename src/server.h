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

/// Numbers of datagrams dropped before they reached the engine, by reason.
struct DropCounters {
  uint64_t Truncated = 0;
  uint64_t Oversized = 0;
  uint64_t WrongVersion = 0;
  uint64_t UnknownKind = 0;
  uint64_t Malformed = 0;
  /// Messages between instances without a sender id.
  uint64_t MissingSender = 0;
};

/// Runs one decision engine on an event loop. Provides sockets, HTTP and
/// timers; the engine makes all decisions.
class Server {
public:
  struct StopResult {
    /// The shutdown was not complete at its time limit.
    bool LimitReached = false;
    /// Requests still in progress.
    uint32_t UnfinishedRequests = 0;
  };
  using StopHook = std::function<void(const StopResult &)>;

  /// Calls \p OnStop when a graceful shutdown is complete or its time limit has
  /// passed.
  Server(EventLoop &Loop, const ProcessSettings &Settings, StopHook OnStop);
  ~Server();

  /// Binds the sockets and starts the engine. Returns an error message, empty
  /// on success.
  std::string start();

  Endpoint address() const;
  Endpoint adminAddress() const;

  DropCounters drops() const;

  /// Starts a graceful shutdown.
  void drain(Duration Limit);

  /// Requests in progress on this instance, as the home instance of their flows
  /// or as the owner instance of an upstream.
  uint32_t unfinishedRequests() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
