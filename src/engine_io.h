#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "messages.h"
#include "store_sync.h"
#include "types.h"

namespace indigopoint {

// Events: the input of a decision engine.

struct DatagramReceived {
  Endpoint From;
  Sender Origin;
  Message Body;
};

/// Lets the engine check its timers. Sent every TickInterval.
struct Tick {};

struct StoreAnswer {
  StoreCallId Call;
  StoreResult Result;
};

enum class HealthStatus : uint8_t { Healthy, Unhealthy, Draining, NoAnswer };

/// The result of a health check of an upstream.
struct HealthObserved {
  UpstreamId Upstream;
  HealthStatus Status = HealthStatus::NoAnswer;
};

struct ListedInstance {
  std::string Name;
  std::string Zone;
  Endpoint Address;
  bool Leaving = false;
};

/// The platform's list of instances, which lags behind the actual state.
struct InstanceListObserved {
  std::vector<ListedInstance> Instances;
};

/// Requests a graceful shutdown that ends within \c Limit.
struct DrainRequested {
  Duration Limit = std::chrono::seconds(30);
};

using Event = std::variant<DatagramReceived, Tick, StoreAnswer, HealthObserved,
                           InstanceListObserved, DrainRequested>;

constexpr Duration TickInterval = std::chrono::milliseconds(10);

// Actions: the output of a decision engine.

struct SendDatagram {
  Endpoint To;
  Message Body;
};

/// Reads the keys of the configuration in the platform's store.
struct StoreCall {
  StoreCallId Id;
  StoreQuery Query;
};

struct LogLine {
  LogLevel Level = LogLevel::Info;
  /// Name of the component that logs, for example "membership".
  std::string_view Component;
  std::string Text;
};

/// The graceful shutdown is complete; the process may exit.
struct StopProcess {
  /// Number of requests that were still in progress.
  uint32_t Unfinished = 0;
};

using Action = std::variant<SendDatagram, StoreCall, LogLine, StopProcess>;

/// Collects the actions that result from one event.
class ActionSink {
public:
  void send(Endpoint To, Message Body) {
    Actions.emplace_back(SendDatagram{To, std::move(Body)});
  }
  void log(LogLevel Level, std::string_view Component, std::string Text) {
    Actions.emplace_back(LogLine{Level, Component, std::move(Text)});
  }
  void call(StoreCall Call) { Actions.emplace_back(std::move(Call)); }
  void stop(uint32_t Unfinished) {
    Actions.emplace_back(StopProcess{Unfinished});
  }

  std::vector<Action> Actions;
};

} // namespace indigopoint
