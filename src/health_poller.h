#pragma once

#include <functional>
#include <unordered_map>

#include "blackboard.h"
#include "engine_io.h"
#include "event_loop.h"
#include "http_client.h"

namespace indigopoint {

/// Asks the health endpoints of the owned upstreams.
class HealthPoller {
public:
  using ObservedHook = std::function<void(const HealthObserved &)>;

  HealthPoller(EventLoop &Loop, const Blackboard &Board, Duration Period,
               uint64_t Seed, ObservedHook OnObserved);

private:
  void refresh();
  void pollDue();
  void poll(UpstreamId Upstream, Endpoint Admin);

  const Blackboard &Board;
  Duration Period;
  RandomSource Random;
  ObservedHook OnObserved;
  HttpClient Http;
  /// When each owned upstream is asked next.
  std::unordered_map<UpstreamId, TimePoint> Due;
  LoopEvent RefreshTimer;
  LoopEvent PollTimer;
};

/// Reads the answer of a health endpoint; NoAnswer if it is malformed.
HealthStatus toHealthHint(const HttpResult &Result);

} // namespace indigopoint
