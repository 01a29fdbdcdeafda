#pragma once

#include <functional>
#include <unordered_map>

#include "blackboard.h"
#include "engine_io.h"
#include "event_loop.h"
#include "http_client.h"

namespace indigopoint {

/// Polls the health endpoints of the upstreams that this instance owns.
class HealthPoller {
public:
  using HealthResultHook = std::function<void(const HealthObserved &)>;

  HealthPoller(EventLoop &Loop, const Blackboard &Board, Duration Period,
               uint64_t Seed, HealthResultHook OnHealthResult);

private:
  void refresh();
  void pollDue();
  void poll(UpstreamId Upstream, Endpoint Admin);

  const Blackboard &Board;
  Duration Period;
  RandomSource Random;
  HealthResultHook OnHealthResult;
  HttpClient Http;
  /// The time of the next poll of each owned upstream.
  std::unordered_map<UpstreamId, TimePoint> NextPollTimes;
  LoopEvent RefreshTimer;
  LoopEvent PollTimer;
};

/// Parses the response of a health endpoint; NoAnswer also if the body is
/// malformed.
HealthStatus parseHealthStatus(const HttpResult &Result);

} // namespace indigopoint
