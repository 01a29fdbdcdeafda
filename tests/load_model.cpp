#include "load_model.h"

#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "balancing_policy.h"
#include "manual_clock.h"
#include "random_source.h"
#include "spillover.h"

namespace indigopoint {

namespace {

using namespace std::chrono_literals;

constexpr size_t ZoneCount = 4;
constexpr size_t InstancesPerZone = 16;
constexpr size_t UpstreamsPerZone = 30;
constexpr size_t Slots = 2;
constexpr size_t QueuePlaces = 8;
constexpr double MeanWorkSeconds = 0.033;
// Standard deviation of the logarithm of the work.
constexpr double Spread = 0.5;
constexpr Duration Target = 400ms;
constexpr Duration TimeLimit = 2s;
constexpr Duration RoundTrip = 2ms;
constexpr Duration ZoneDelay = 3ms;
constexpr Duration ShedDelay = 100ms;
constexpr uint32_t MaxRetries = 2;

std::string zoneName(size_t Zone) { return std::string(1, char('a' + Zone)); }

struct Instance {
  Instance(size_t Zone, const PlacementOptions &Placement)
      : Zone(Zone), Spill(zoneName(Zone)),
        Policy(
            makeZoneAwareLeastFlowsPolicy(zoneName(Zone), Placement, &Spill)) {}

  size_t Zone;
  Spillover Spill;
  BalancingPolicy Policy;
  /// The upstreams as this instance sees them.
  std::deque<Upstream> Upstreams;
  std::vector<Upstream *> Candidates;
};

struct Request {
  size_t Zone = 0;
  TimePoint SentAt{};
  Duration Work{};
  uint32_t Attempt = 0;
  TimePoint AttemptAt{};
  Instance *Via = nullptr;
  Upstream *At = nullptr;
  bool IsDone = false;
};

using RequestPtr = std::shared_ptr<Request>;

struct Server {
  size_t Busy = 0;
  std::deque<RequestPtr> Queue;
};

class Model {
public:
  explicit Model(const LoadScenario &Scenario);
  LoadResult run();

private:
  void after(Duration Delay, std::function<void()> Action) {
    Actions.emplace(TimeSource.Now + Delay, std::move(Action));
  }
  double secondsAt(TimePoint Time) const {
    return std::chrono::duration<double>(Time - Start).count();
  }
  bool isCounted(const Request &R) const {
    return secondsAt(R.SentAt) >= Scenario.CountFrom;
  }
  void scheduleArrival(size_t Zone);
  void arrive(size_t Zone);
  void startAttempt(const RequestPtr &R);
  void startWork(size_t ServerIndex, const RequestPtr &R);
  void finish(size_t ServerIndex, const RequestPtr &R);
  void answer(const RequestPtr &R, bool IsServed);
  void end(Request &R, size_t &Outcome);
  static Duration delayTo(const Request &R) {
    return RoundTrip +
           (R.At->Registration.Zone == zoneName(R.Zone) ? 0ms : ZoneDelay);
  }

  const LoadScenario &Scenario;
  ManualClock TimeSource;
  TimePoint Start = TimeSource.Now;
  std::mt19937_64 Random;
  ReachabilityOptions Reachability;
  std::deque<Instance> Instances;
  std::vector<Server> Servers{ZoneCount * UpstreamsPerZone};
  std::multimap<TimePoint, std::function<void()>> Actions;
  std::vector<std::array<size_t, 2>> OpenedByTenth;
  LoadResult Result;
};

Model::Model(const LoadScenario &Scenario)
    : Scenario(Scenario), Random(Scenario.Seed),
      OpenedByTenth(static_cast<size_t>(Scenario.Seconds * 10) + 1) {
  for (size_t Index = 0; Index < ZoneCount * InstancesPerZone; ++Index) {
    Instance &New =
        Instances.emplace_back(Index / InstancesPerZone, Scenario.Placement);
    for (size_t Id = 0; Id < Servers.size(); ++Id) {
      Upstream &Added = New.Upstreams.emplace_back(Reachability);
      Added.Registration.Id = UpstreamId(Id + 1);
      Added.Registration.Service = "model";
      Added.Registration.Zone = zoneName(Id / UpstreamsPerZone);
      Added.Registration.Slots = Slots;
      New.Candidates.push_back(&Added);
    }
  }
}

LoadResult Model::run() {
  for (size_t Zone = 0; Zone < ZoneCount; ++Zone)
    scheduleArrival(Zone);
  while (!Actions.empty()) {
    auto Next = Actions.extract(Actions.begin());
    TimeSource.Now = Next.key();
    Next.mapped()();
  }
  for (const auto &[InZone, Spilled] : OpenedByTenth)
    Result.SpilledByTenth.push_back(
        static_cast<double>(Spilled) /
        std::max(1.0, static_cast<double>(InZone + Spilled)));
  return std::move(Result);
}

void Model::scheduleArrival(size_t Zone) {
  const double Seconds = secondsAt(TimeSource.Now);
  const double Rate = Scenario.LoadOf(Zone, Seconds) *
                      static_cast<double>(UpstreamsPerZone * Slots) /
                      MeanWorkSeconds;
  const double Gap = std::exponential_distribution<double>(Rate)(Random);
  if (Seconds + Gap < Scenario.Seconds)
    after(Duration(static_cast<int64_t>(Gap * 1e6)),
          [this, Zone] { arrive(Zone); });
}

void Model::arrive(size_t Zone) {
  scheduleArrival(Zone);
  const auto R = std::make_shared<Request>();
  R->Zone = Zone;
  R->SentAt = TimeSource.Now;
  const double Normal = std::normal_distribution<double>(0, 1)(Random);
  R->Work = Duration(static_cast<int64_t>(
      1e6 * MeanWorkSeconds * std::exp(Spread * Normal - Spread * Spread / 2)));
  if (isCounted(*R))
    ++Result.Sent;
  after(TimeLimit, [this, R] {
    if (!R->IsDone)
      end(*R, Result.Lost);
  });
  startAttempt(R);
}

void Model::startAttempt(const RequestPtr &R) {
  R->Via = &Instances[R->Zone * InstancesPerZone + Random() % InstancesPerZone];
  R->AttemptAt = TimeSource.Now;
  const NewFlow Flow{
      {{static_cast<uint32_t>(Random()), static_cast<uint16_t>(Random())},
       {1, 443}},
      {}};
  R->At = R->Via->Policy(R->Via->Candidates, Flow, TimeSource.Now);
  ++R->At->OpenFlows;
  const bool IsSpilled = R->At->Registration.Zone != zoneName(R->Zone);
  if (R->Zone == 0)
    ++OpenedByTenth[static_cast<size_t>(secondsAt(R->SentAt) * 10)][IsSpilled];
  const size_t ServerIndex = R->At->Registration.Id.value() - 1;
  Server &S = Servers[ServerIndex];
  if (S.Busy < Slots)
    startWork(ServerIndex, R);
  else if (S.Queue.size() < QueuePlaces)
    S.Queue.push_back(R);
  else
    after(ShedDelay + delayTo(*R), [this, R] { answer(R, false); });
}

void Model::startWork(size_t ServerIndex, const RequestPtr &R) {
  ++Servers[ServerIndex].Busy;
  after(R->Work, [this, ServerIndex, R] { finish(ServerIndex, R); });
}

// The upstream also works for clients that have given up.
void Model::finish(size_t ServerIndex, const RequestPtr &R) {
  Server &S = Servers[ServerIndex];
  --S.Busy;
  if (!S.Queue.empty()) {
    startWork(ServerIndex, S.Queue.front());
    S.Queue.pop_front();
  }
  after(delayTo(*R), [this, R] { answer(R, true); });
}

// The instance does not see whether an answer is a refusal.
void Model::answer(const RequestPtr &R, bool IsServed) {
  if (R->IsDone)
    return;
  const Duration ResponseTime = TimeSource.Now - R->AttemptAt;
  R->At->Reachability.recordAnswer(TimeSource.Now);
  R->At->ResponseTimes.record(ResponseTime, TimeSource.Now);
  R->Via->Spill.recordResponse(R->At->Registration, ResponseTime,
                               TimeSource.Now);
  if (IsServed)
    return end(*R, TimeSource.Now - R->SentAt <= Target ? Result.InTarget
                                                        : Result.Late);
  if (R->Attempt == MaxRetries)
    return end(*R, Result.Refused);
  ++R->Attempt;
  --R->At->OpenFlows;
  startAttempt(R);
}

void Model::end(Request &R, size_t &Outcome) {
  R.IsDone = true;
  --R.At->OpenFlows;
  if (isCounted(R))
    ++Outcome;
}

} // namespace

LoadResult runLoadModel(const LoadScenario &Scenario) {
  return Model(Scenario).run();
}

} // namespace indigopoint
