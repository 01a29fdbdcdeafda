#include "health_poller.h"

#include "document_reader.h"

namespace indigopoint {

namespace {

using Json = nlohmann::json;

// The set of owned upstreams changes rarely, and a scan of all upstreams of a
// region is expensive.
constexpr std::chrono::seconds RefreshPeriod(1);

constexpr std::chrono::milliseconds PollPeriod(20);

// Many upstreams are polled at once.
constexpr size_t MaxHealthBytes = size_t{64} * 1024;

} // namespace

HealthStatus parseHealthStatus(const HttpResult &Result) {
  if (Result.Status != 200)
    return HealthStatus::NoAnswer;
  Json Status;
  try {
    Status = readDocument(Result.Body, DocumentFormat::Json).at("status");
  } catch (const std::exception &) {
    return HealthStatus::NoAnswer;
  }
  if (Status == "healthy")
    return HealthStatus::Healthy;
  if (Status == "unhealthy")
    return HealthStatus::Unhealthy;
  return Status == "draining" ? HealthStatus::Draining : HealthStatus::NoAnswer;
}

HealthPoller::HealthPoller(EventLoop &Loop, const Blackboard &Board,
                           Duration Period, uint64_t Seed,
                           HealthResultHook OnHealthResult)
    : Board(Board), Period(Period), Random(Seed),
      OnHealthResult(std::move(OnHealthResult)), Http(Loop),
      RefreshTimer(
          LoopEvent::every(Loop, RefreshPeriod, [this] { refresh(); })),
      PollTimer(LoopEvent::every(Loop, PollPeriod, [this] { pollDue(); })) {}

void HealthPoller::refresh() {
  std::unordered_map<UpstreamId, TimePoint> NewPollTimes;
  for (const auto &[Upstream, Owner] : Board.CurrentOwnership.owners()) {
    if (Owner != Board.Self.Id)
      continue;
    // A random first delay spreads the polls of instances that start at the
    // same time.
    const auto It = NextPollTimes.find(Upstream);
    NewPollTimes[Upstream] =
        It != NextPollTimes.end()
            ? It->second
            : Board.now() + Duration(Random.below(Period.count()));
  }
  NextPollTimes = std::move(NewPollTimes);
}

void HealthPoller::pollDue() {
  const TimePoint Now = Board.now();
  for (auto &[Upstream, NextPollTime] : NextPollTimes) {
    const UpstreamConfig *Config = Board.Index.upstream(Upstream).Upstream;
    if (NextPollTime > Now || Config == nullptr || Config->Admin.Port == 0)
      continue;
    NextPollTime =
        Now + Period * 9 / 10 + Duration(Random.below(Period.count() / 5));
    poll(Upstream, Config->Admin);
  }
}

void HealthPoller::poll(UpstreamId Upstream, Endpoint Admin) {
  HttpCall Request;
  Request.To = Admin;
  Request.Target = "/health";
  Request.Timeout = Period;
  Request.MaxBodyBytes = MaxHealthBytes;
  Http.call(Request, [this, Upstream](const HttpResult &Result) {
    OnHealthResult({Upstream, parseHealthStatus(Result)});
  });
}

} // namespace indigopoint
