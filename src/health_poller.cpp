#include "health_poller.h"

#include <nlohmann/json.hpp>

namespace indigopoint {

namespace {

using Json = nlohmann::json;

// Owned upstreams change rarely; scanning all of a region costs time.
constexpr std::chrono::seconds RefreshPeriod(1);

constexpr std::chrono::milliseconds PollPeriod(20);

} // namespace

HealthStatus toHealthHint(const HttpResult &Result) {
  const Json Body = Json::parse(Result.Body, nullptr, false);
  if (Result.Status != 200 || !Body.is_object() || !Body.contains("status"))
    return HealthStatus::NoAnswer;
  const Json &Status = Body.at("status");
  if (Status == "healthy")
    return HealthStatus::Healthy;
  if (Status == "unhealthy")
    return HealthStatus::Unhealthy;
  return Status == "draining" ? HealthStatus::Draining : HealthStatus::NoAnswer;
}

HealthPoller::HealthPoller(EventLoop &Loop, const Blackboard &Board,
                           Duration Period, uint64_t Seed,
                           ObservedHook OnObserved)
    : Board(Board), Period(Period), Random(Seed),
      OnObserved(std::move(OnObserved)), Http(Loop),
      RefreshTimer(
          LoopEvent::every(Loop, RefreshPeriod, [this] { refresh(); })),
      PollTimer(LoopEvent::every(Loop, PollPeriod, [this] { pollDue(); })) {}

void HealthPoller::refresh() {
  std::unordered_map<UpstreamId, TimePoint> Owned;
  for (const auto &[Upstream, Owner] : Board.CurrentOwnership.owners()) {
    if (Owner != Board.Self.Id)
      continue;
    // A random first delay spreads the polls of instances that start together.
    const auto Known = Due.find(Upstream);
    Owned[Upstream] =
        Known != Due.end()
            ? Known->second
            : Board.now() + Duration(Random.below(Period.count()));
  }
  Due = std::move(Owned);
}

void HealthPoller::pollDue() {
  const TimePoint Now = Board.now();
  for (auto &[Upstream, Time] : Due) {
    const UpstreamConfig *Known = Board.Index.upstream(Upstream).Upstream;
    if (Time > Now || Known == nullptr || Known->Admin.Port == 0)
      continue;
    Time = Now + Period * 9 / 10 + Duration(Random.below(Period.count() / 5));
    poll(Upstream, Known->Admin);
  }
}

void HealthPoller::poll(UpstreamId Upstream, Endpoint Admin) {
  HttpCall Request;
  Request.To = Admin;
  Request.Target = "/health";
  Request.Timeout = Period;
  Http.call(Request, [this, Upstream](const HttpResult &Result) {
    OnObserved({Upstream, toHealthHint(Result)});
  });
}

} // namespace indigopoint
