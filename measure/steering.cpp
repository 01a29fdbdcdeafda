#include "steering.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <iomanip>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "flow_steering.h"
#include "placement.h"
#include "random_source.h"
#include "tests/manual_clock.h"

namespace indigopoint::measure {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint ServiceAddress{0xc6120001, 443};
constexpr uint32_t Slots = 2;
constexpr Duration ServiceTime = milliseconds(15);
constexpr Duration PauseBetweenRequests = milliseconds(400);
constexpr double MeanRequestsPerFlow = 12;
constexpr Duration RoundTrip = milliseconds(6);
constexpr Duration WarmUpEnd = seconds(20);
constexpr Duration End = seconds(80);
constexpr Duration SamplePeriod = milliseconds(250);
constexpr size_t SweepPeriod = 4; // samples

struct Layout {
  const char *Name;
  size_t InstancesInZone;
  /// Upstreams of each zone.
  std::vector<size_t> Upstreams;
  /// Share of all slots that are busy on average.
  double BusyShare;
};

const std::vector<Layout> Layouts = {
    {"small", 2, {4, 4, 3, 3}, 0.11},
    {"small, load x4", 2, {4, 4, 3, 3}, 0.44},
    {"grown", 19, {32, 32, 28, 28}, 0.12},
    {"grown, load x4", 19, {32, 32, 28, 28}, 0.48}};

struct Policy {
  const char *Name;
  std::function<BalancingPolicy(const std::string &Zone)> Make;
  bool IsProductPolicy = false;
};

using Score = std::tuple<bool, double, uint64_t>;

// A policy that picks the upstream with the lowest score.
template <typename ScoreFunction>
BalancingPolicy makeLowestScorePolicy(ScoreFunction ComputeScore) {
  return [ComputeScore](const std::vector<Upstream *> &Candidates,
                        const NewFlow &Flow, TimePoint Now) {
    Upstream *Best = nullptr;
    Score BestScore;
    for (Upstream *Candidate : Candidates) {
      const uint64_t Hash = rendezvousScore(hashOf(Flow.Address),
                                            Candidate->Registration.Id.value());
      const Score CandidateScore = ComputeScore(*Candidate, Hash, Now);
      if (Best == nullptr || CandidateScore < BestScore) {
        Best = Candidate;
        BestScore = CandidateScore;
      }
    }
    return Best;
  };
}

BalancingPolicy hashInZone(const std::string &Zone) {
  return makeLowestScorePolicy(
      [Zone](const Upstream &Candidate, uint64_t Hash, TimePoint) {
        return Score(Candidate.Registration.Zone != Zone, 0, Hash);
      });
}

BalancingPolicy leastFlowsAnywhere(const std::string &) {
  return makeLowestScorePolicy(
      [](const Upstream &Candidate, uint64_t Hash, TimePoint Now) {
        return Score(false, flowsPerSlot(Candidate, Now), Hash);
      });
}

// An upstream of another zone gets a flow only if its load per slot is lower
// by this factor.
constexpr double SpillFactor = 1.5;

BalancingPolicy leastFlowsWithSpill(const std::string &Zone) {
  return makeLowestScorePolicy([Zone](const Upstream &Candidate, uint64_t Hash,
                                      TimePoint Now) {
    const double Factor = Candidate.Registration.Zone == Zone ? 1 : SpillFactor;
    return Score(false, flowsPerSlot(Candidate, Now) * Factor, Hash);
  });
}

BalancingPolicy twoChoicesInZone(const std::string &Zone) {
  return [Zone](const std::vector<Upstream *> &Candidates, const NewFlow &Flow,
                TimePoint Now) {
    std::vector<std::pair<uint64_t, Upstream *>> InZone;
    for (Upstream *Candidate : Candidates)
      if (Candidate->Registration.Zone == Zone)
        InZone.emplace_back(rendezvousScore(hashOf(Flow.Address),
                                            Candidate->Registration.Id.value()),
                            Candidate);
    const auto ChoiceCount =
        static_cast<ptrdiff_t>(std::min<size_t>(2, InZone.size()));
    std::partial_sort(InZone.begin(), InZone.begin() + ChoiceCount,
                      InZone.end());
    Upstream *First = InZone.front().second;
    Upstream *Second = InZone.at(InZone.size() > 1 ? 1 : 0).second;
    return flowsPerSlot(*Second, Now) < flowsPerSlot(*First, Now) ? Second
                                                                  : First;
  };
}

const std::vector<Policy> Policies = {
    {"hash in zone", hashInZone},
    {"two choices in zone", twoChoicesInZone},
    {"least flows, zone first",
     [](const std::string &Zone) {
       return makeZoneAwareLeastFlowsPolicy(Zone);
     },
     true},
    {"least flows, spill at 1.5", leastFlowsWithSpill},
    {"least flows, any zone", leastFlowsAnywhere}};

struct Result {
  /// Ratio of the busiest upstream to the mean, by requests and by open flows.
  double Requests = 0;
  double Flows = 0;
  Duration WaitP99{};
  /// Mean share of open flows that are lost when one zone is cut off.
  double ShareLostInZoneOutage = 0;
};

/// Simulates instances that run the production FlowSteering, and upstreams
/// that serve requests in order of arrival.
class Model {
public:
  Model(const Layout &TestedLayout, const Policy &TestedPolicy, uint64_t Seed);
  Result run();

private:
  struct Instance {
    Instance(const std::string &Zone, const Policy &TestedPolicy,
             const Clock &TimeSource)
        : Steering({Zone, TestedPolicy.Make(Zone)}, TimeSource, Routes,
                   Upstreams, Metrics,
                   {[](const FlowAddress &, const Upstream &) {},
                    [](const Upstream &) {},
                    [](const PacketHeader &, const SteeringDecision &) {}}) {}
    RouteTable Routes;
    UpstreamRegistry Upstreams;
    SteeringMetrics Metrics;
    FlowSteering Steering;
  };
  struct UpstreamLoad {
    size_t Zone = 0;
    uint32_t Flows = 0;
    uint64_t Requests = 0;
    /// The time at which each slot becomes free.
    std::vector<TimePoint> FreeAt = std::vector<TimePoint>(Slots);
  };
  struct Flow {
    PacketHeader Packet;
    size_t Zone = 0;
    size_t UpstreamIndex = 0;
    Instance *SteeringInstance = nullptr;
    uint32_t RemainingRequests = 0;
  };
  using Action = std::function<void()>;

  void start(const Layout &TestedLayout, const Policy &TestedPolicy);
  void after(Duration Delay, Action Callback) {
    Timers.emplace(TimeSource.Now + Delay, std::move(Callback));
  }
  Duration exponential(Duration Mean) {
    const double Drawn = -std::log(1 - Random.fraction());
    return Duration(
        static_cast<int64_t>(static_cast<double>(Mean.count()) * Drawn));
  }
  void openFlow();
  void request(const std::shared_ptr<Flow> &ActiveFlow);
  void close(Flow &ActiveFlow);
  void sample();

  ManualClock TimeSource;
  RandomSource Random;
  size_t Zones;
  size_t InstancesInZone;
  Duration MeanFlowGap{};
  std::vector<std::unique_ptr<Instance>> Instances;
  std::vector<UpstreamLoad> UpstreamLoads;
  std::multimap<TimePoint, Action> Timers;
  std::vector<Duration> Waits;
  uint32_t NextClient = 0x64400000;
  uint64_t OpenFlows = 0;
  uint64_t CrossZoneFlows = 0;
  uint64_t Samples = 0;
  Result Sum;
};

Model::Model(const Layout &TestedLayout, const Policy &TestedPolicy,
             uint64_t Seed)
    : Random(Seed), Zones(TestedLayout.Upstreams.size()),
      InstancesInZone(TestedLayout.InstancesInZone) {
  start(TestedLayout, TestedPolicy);
}

void Model::start(const Layout &TestedLayout, const Policy &TestedPolicy) {
  std::vector<UpstreamRegistration> Registrations;
  for (size_t Zone = 0; Zone < Zones; ++Zone)
    for (size_t Count = 0; Count < TestedLayout.Upstreams[Zone]; ++Count) {
      UpstreamLoads.emplace_back().Zone = Zone;
      UpstreamRegistration Registration;
      Registration.Id = UpstreamId(UpstreamLoads.size() * 7919);
      Registration.Service = "chat";
      Registration.Zone = std::to_string(Zone);
      Registration.Address = {static_cast<uint32_t>(UpstreamLoads.size()), 80};
      Registration.Slots = Slots;
      Registrations.push_back(Registration);
    }
  for (size_t Index = 0; Index < Zones * InstancesInZone; ++Index) {
    const std::string Zone = std::to_string(Index / InstancesInZone);
    Instances.push_back(
        std::make_unique<Instance>(Zone, TestedPolicy, TimeSource));
    RouteConfiguration Routes;
    Routes.Version = ConfigVersion(1);
    Routes.Routes = {{"chat", ServiceAddress, {{"chat", 1}}, true}};
    Instances.back()->Routes.apply(Routes);
    uint64_t Revision = 0;
    for (const UpstreamRegistration &Registration : Registrations)
      Instances.back()->Upstreams.put(Registration, ++Revision,
                                      TimeSource.now());
  }
  const double RequestsAtOnce = TestedLayout.BusyShare *
                                static_cast<double>(UpstreamLoads.size()) *
                                Slots;
  MeanFlowGap =
      Duration(static_cast<int64_t>(static_cast<double>(ServiceTime.count()) *
                                    MeanRequestsPerFlow / RequestsAtOnce));
}

void Model::openFlow() {
  after(exponential(MeanFlowGap), [this] { openFlow(); });
  const auto OpenedFlow = std::make_shared<Flow>();
  OpenedFlow->Zone = Random.below(Zones);
  OpenedFlow->SteeringInstance = Instances[OpenedFlow->Zone * InstancesInZone +
                                           Random.below(InstancesInZone)]
                                     .get();
  OpenedFlow->Packet.Flow = {{++NextClient, 40000}, ServiceAddress};
  OpenedFlow->Packet.IsOpening = true;
  const SteeringDecision Decision =
      OpenedFlow->SteeringInstance->Steering.steer(OpenedFlow->Packet);
  OpenedFlow->UpstreamIndex = Decision.Target->Registration.Address.Address - 1;
  OpenedFlow->Packet.IsOpening = false;
  OpenedFlow->Packet.Sequence = 1;
  OpenedFlow->Packet.Tag =
      tagOf(OpenedFlow->Packet.Flow, Decision.Target->Registration.Id);
  // The number of requests per flow has a geometric distribution.
  OpenedFlow->RemainingRequests = 1;
  while (Random.fraction() > 1 / MeanRequestsPerFlow)
    ++OpenedFlow->RemainingRequests;
  ++UpstreamLoads[OpenedFlow->UpstreamIndex].Flows;
  ++OpenFlows;
  CrossZoneFlows +=
      UpstreamLoads[OpenedFlow->UpstreamIndex].Zone == OpenedFlow->Zone ? 0 : 1;
  after(RoundTrip, [this, OpenedFlow] { request(OpenedFlow); });
}

void Model::request(const std::shared_ptr<Flow> &ActiveFlow) {
  ActiveFlow->Packet.DataBytes = 100;
  ++ActiveFlow->Packet.AckNumber;
  ActiveFlow->SteeringInstance->Steering.steer(ActiveFlow->Packet);
  ActiveFlow->Packet.Sequence += ActiveFlow->Packet.DataBytes;
  UpstreamLoad &Load = UpstreamLoads[ActiveFlow->UpstreamIndex];
  TimePoint &Slot = *std::min_element(Load.FreeAt.begin(), Load.FreeAt.end());
  const TimePoint Start = std::max(Slot, TimeSource.Now);
  Slot = Start + exponential(ServiceTime);
  if (TimeSource.Now.time_since_epoch() >= WarmUpEnd) {
    ++Load.Requests;
    Waits.push_back(Start - TimeSource.Now);
  }
  const Duration ResponseTime = Slot - TimeSource.Now + RoundTrip;
  if (--ActiveFlow->RemainingRequests == 0)
    after(ResponseTime, [this, ActiveFlow] { close(*ActiveFlow); });
  else
    after(ResponseTime + exponential(PauseBetweenRequests),
          [this, ActiveFlow] { request(ActiveFlow); });
}

void Model::close(Flow &ActiveFlow) {
  ActiveFlow.Packet.DataBytes = 0;
  ActiveFlow.Packet.IsFinal = true;
  ActiveFlow.SteeringInstance->Steering.steer(ActiveFlow.Packet);
  --UpstreamLoads[ActiveFlow.UpstreamIndex].Flows;
  --OpenFlows;
  CrossZoneFlows -=
      UpstreamLoads[ActiveFlow.UpstreamIndex].Zone == ActiveFlow.Zone ? 0 : 1;
}

// A flow between two zones is lost when either zone is cut off.
void Model::sample() {
  after(SamplePeriod, [this] { sample(); });
  if (++Samples % SweepPeriod == 0)
    for (const auto &CurrentInstance : Instances)
      CurrentInstance->Steering.sweep();
  uint32_t Max = 0;
  for (const UpstreamLoad &Load : UpstreamLoads)
    Max = std::max(Max, Load.Flows);
  Sum.Flows += static_cast<double>(Max * UpstreamLoads.size()) /
               static_cast<double>(std::max<uint64_t>(OpenFlows, 1));
  Sum.ShareLostInZoneOutage +=
      2.0 / static_cast<double>(Zones) * static_cast<double>(CrossZoneFlows) /
      static_cast<double>(std::max<uint64_t>(OpenFlows, 1));
}

Result Model::run() {
  TimeSource.Now = TimePoint();
  openFlow();
  after(WarmUpEnd, [this] { sample(); });
  while (Timers.begin()->first.time_since_epoch() < End) {
    const auto Timer = Timers.extract(Timers.begin());
    TimeSource.Now = Timer.key();
    Timer.mapped()();
  }
  uint64_t Max = 0;
  uint64_t Total = 0;
  for (const UpstreamLoad &Load : UpstreamLoads) {
    Max = std::max(Max, Load.Requests);
    Total += Load.Requests;
  }
  Result RunResult;
  const auto SampleCount = static_cast<double>(Samples);
  RunResult.Requests = static_cast<double>(Max * UpstreamLoads.size()) /
                       static_cast<double>(Total);
  RunResult.Flows = Sum.Flows / SampleCount;
  RunResult.ShareLostInZoneOutage = Sum.ShareLostInZoneOutage / SampleCount;
  const auto P99 =
      Waits.begin() + static_cast<ptrdiff_t>(Waits.size() * 99 / 100);
  std::nth_element(Waits.begin(), P99, Waits.end());
  RunResult.WaitP99 = *P99;
  return RunResult;
}

void writeRow(const Layout &TestedLayout, const Policy &TestedPolicy,
              uint64_t Seed, const Result &RunResult, std::ostream &Table,
              std::ostream &Json) {
  const double WaitMs = static_cast<double>(RunResult.WaitP99.count()) / 1000;
  Table << std::left << std::setw(16) << TestedLayout.Name << std::setw(27)
        << TestedPolicy.Name << std::right << std::setw(5) << Seed << std::fixed
        << std::setprecision(3) << std::setw(10) << RunResult.Requests
        << std::setw(8) << RunResult.Flows << std::setprecision(1)
        << std::setw(12) << WaitMs << std::setprecision(3) << std::setw(10)
        << RunResult.ShareLostInZoneOutage << "\n";
  const nlohmann::json Line = {
      {"measure", "steering"},
      {"layout", TestedLayout.Name},
      {"way", TestedPolicy.Name},
      {"seed", Seed},
      {"requests", RunResult.Requests},
      {"flows", RunResult.Flows},
      {"waitP99Ms", WaitMs},
      {"silencedByCut", RunResult.ShareLostInZoneOutage}};
  Json << Line.dump() << "\n";
}

} // namespace

int measureSteering(std::ostream &Table, std::ostream &JsonLines) {
  int MissedRuns = 0;
  Table << "Upstreams of new flows (ratio of busiest to mean; wait for a slot; "
           "share of flows lost when one zone is cut off)\n"
        << std::left << std::setw(16) << "layout" << std::setw(27) << "way"
        << std::right << std::setw(5) << "seed" << std::setw(10) << "requests"
        << std::setw(8) << "flows" << std::setw(12) << "p99 wait ms"
        << std::setw(10) << "silenced"
        << "\n";
  for (const Layout &TestedLayout : Layouts)
    for (const Policy &TestedPolicy : Policies)
      for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
        const Result RunResult = Model(TestedLayout, TestedPolicy, Seed).run();
        writeRow(TestedLayout, TestedPolicy, Seed, RunResult, Table, JsonLines);
        MissedRuns +=
            TestedPolicy.IsProductPolicy && RunResult.ShareLostInZoneOutage > 0
                ? 1
                : 0;
      }
  return MissedRuns;
}

} // namespace indigopoint::measure
