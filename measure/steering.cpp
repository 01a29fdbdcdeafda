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
constexpr Duration Pause = milliseconds(400);
constexpr double RequestsInFlow = 12;
constexpr Duration RoundTrip = milliseconds(6);
constexpr Duration Warm = seconds(20);
constexpr Duration End = seconds(80);
constexpr Duration SamplePeriod = milliseconds(250);
constexpr size_t SweepPeriod = 4; // samples

struct Layout {
  const char *Name;
  size_t InstancesInZone;
  /// Upstreams of each zone.
  std::vector<size_t> Upstreams;
  /// Share of all slots that are busy on average.
  double Busy;
};

const std::vector<Layout> Layouts = {
    {"small", 2, {4, 4, 3, 3}, 0.11},
    {"small, load x4", 2, {4, 4, 3, 3}, 0.44},
    {"grown", 19, {32, 32, 28, 28}, 0.12},
    {"grown, load x4", 19, {32, 32, 28, 28}, 0.48}};

struct Strategy {
  const char *Name;
  std::function<BalancingPolicy(const std::string &Zone)> Make;
  bool InUse = false;
};

using Score = std::tuple<bool, double, uint64_t>;

// The upstream of the lowest score.
template <typename ScoreOf> BalancingPolicy lowest(ScoreOf Of) {
  return [Of](const std::vector<Upstream *> &Usable, const NewFlow &Given,
              TimePoint Now) {
    Upstream *Best = nullptr;
    Score BestScore;
    for (Upstream *Each : Usable) {
      const uint64_t Hash =
          rendezvousScore(hashOf(Given.Address), Each->Registration.Id.value());
      const Score Next = Of(*Each, Hash, Now);
      if (Best == nullptr || Next < BestScore) {
        Best = Each;
        BestScore = Next;
      }
    }
    return Best;
  };
}

BalancingPolicy hashInZone(const std::string &Zone) {
  return lowest([Zone](const Upstream &Each, uint64_t Hash, TimePoint) {
    return Score(Each.Registration.Zone != Zone, 0, Hash);
  });
}

BalancingPolicy leastFlowsAnywhere(const std::string &) {
  return lowest([](const Upstream &Each, uint64_t Hash, TimePoint Now) {
    return Score(false, flowsPerSlot(Each, Now), Hash);
  });
}

// Another zone has to be this much less loaded to get a flow.
constexpr double SpillFactor = 1.5;

BalancingPolicy leastFlowsWithSpill(const std::string &Zone) {
  return lowest([Zone](const Upstream &Each, uint64_t Hash, TimePoint Now) {
    const double Factor = Each.Registration.Zone == Zone ? 1 : SpillFactor;
    return Score(false, flowsPerSlot(Each, Now) * Factor, Hash);
  });
}

BalancingPolicy twoChoicesInZone(const std::string &Zone) {
  return [Zone](const std::vector<Upstream *> &Usable, const NewFlow &Given,
                TimePoint Now) {
    std::vector<std::pair<uint64_t, Upstream *>> InZone;
    for (Upstream *Each : Usable)
      if (Each->Registration.Zone == Zone)
        InZone.emplace_back(rendezvousScore(hashOf(Given.Address),
                                            Each->Registration.Id.value()),
                            Each);
    const auto Candidates =
        static_cast<ptrdiff_t>(std::min<size_t>(2, InZone.size()));
    std::partial_sort(InZone.begin(), InZone.begin() + Candidates,
                      InZone.end());
    Upstream *First = InZone.front().second;
    Upstream *Second = InZone.at(InZone.size() > 1 ? 1 : 0).second;
    return flowsPerSlot(*Second, Now) < flowsPerSlot(*First, Now) ? Second
                                                                  : First;
  };
}

const std::vector<Strategy> Strategies = {
    {"hash in zone", hashInZone},
    {"two choices in zone", twoChoicesInZone},
    {"least flows, zone first", makeZoneAwareLeastFlowsPolicy, true},
    {"least flows, spill at 1.5", leastFlowsWithSpill},
    {"least flows, any zone", leastFlowsAnywhere}};

struct Result {
  /// Busiest upstream over the mean, by requests and by open flows.
  double Requests = 0;
  double Flows = 0;
  Duration WaitP99{};
  /// Share of the open flows that a cut of one zone silences, on average.
  double SilencedByCut = 0;
};

/// Instances that steer with the product's own code, and upstreams that work
/// on requests in the order in which they come.
class Model {
public:
  Model(const Layout &Of, const Strategy &By, uint64_t Seed);
  Result run();

private:
  struct Instance {
    Instance(const std::string &Zone, const Strategy &By,
             const Clock &TimeSource)
        : Steering({Zone, By.Make(Zone)}, TimeSource, Routes, Upstreams,
                   Metrics,
                   {[](const FlowAddress &, const Upstream &) {},
                    [](const Upstream &) {}}) {}
    RouteTable Routes;
    UpstreamRegistry Upstreams;
    SteeringMetrics Metrics;
    FlowSteering Steering;
  };
  struct Target {
    size_t Zone = 0;
    uint32_t Flows = 0;
    uint64_t Requests = 0;
    /// When each slot is free again.
    std::vector<TimePoint> FreeAt = std::vector<TimePoint>(Slots);
  };
  struct Flow {
    PacketHeader Packet;
    size_t Zone = 0;
    size_t At = 0;
    Instance *Through = nullptr;
    uint32_t Left = 0;
  };
  using Action = std::function<void()>;

  void start(const Layout &Of, const Strategy &By);
  void after(Duration Delay, Action Next) {
    Due.emplace(TimeSource.Now + Delay, std::move(Next));
  }
  Duration exponential(Duration Mean) {
    const double Drawn = -std::log(1 - Random.fraction());
    return Duration(
        static_cast<int64_t>(static_cast<double>(Mean.count()) * Drawn));
  }
  void openFlow();
  void request(const std::shared_ptr<Flow> &Given);
  void close(Flow &Given);
  void sample();

  ManualClock TimeSource;
  RandomSource Random;
  size_t Zones;
  size_t InstancesInZone;
  Duration BetweenFlows{};
  std::vector<std::unique_ptr<Instance>> Instances;
  std::vector<Target> Targets;
  std::multimap<TimePoint, Action> Due;
  std::vector<Duration> Waits;
  uint32_t NextClient = 0x64400000;
  uint64_t Open = 0;
  uint64_t OpenAcross = 0;
  uint64_t Samples = 0;
  Result Sum;
};

Model::Model(const Layout &Of, const Strategy &By, uint64_t Seed)
    : Random(Seed), Zones(Of.Upstreams.size()),
      InstancesInZone(Of.InstancesInZone) {
  start(Of, By);
}

void Model::start(const Layout &Of, const Strategy &By) {
  std::vector<UpstreamRegistration> Registrations;
  for (size_t Zone = 0; Zone < Zones; ++Zone)
    for (size_t Count = 0; Count < Of.Upstreams[Zone]; ++Count) {
      Targets.emplace_back().Zone = Zone;
      UpstreamRegistration Said;
      Said.Id = UpstreamId(Targets.size() * 7919);
      Said.Service = "chat";
      Said.Zone = std::to_string(Zone);
      Said.Address = {static_cast<uint32_t>(Targets.size()), 80};
      Said.Slots = Slots;
      Registrations.push_back(Said);
    }
  for (size_t Index = 0; Index < Zones * InstancesInZone; ++Index) {
    const std::string Zone = std::to_string(Index / InstancesInZone);
    Instances.push_back(std::make_unique<Instance>(Zone, By, TimeSource));
    RouteConfiguration Routes;
    Routes.Version = ConfigVersion(1);
    Routes.Routes = {{"chat", ServiceAddress, {{"chat", 1}}, true}};
    Instances.back()->Routes.apply(Routes);
    uint64_t Revision = 0;
    for (const UpstreamRegistration &Said : Registrations)
      Instances.back()->Upstreams.put(Said, ++Revision, TimeSource.now());
  }
  const double RequestsAtOnce =
      Of.Busy * static_cast<double>(Targets.size()) * Slots;
  BetweenFlows =
      Duration(static_cast<int64_t>(static_cast<double>(ServiceTime.count()) *
                                    RequestsInFlow / RequestsAtOnce));
}

void Model::openFlow() {
  after(exponential(BetweenFlows), [this] { openFlow(); });
  const auto Next = std::make_shared<Flow>();
  Next->Zone = Random.below(Zones);
  Next->Through =
      Instances[Next->Zone * InstancesInZone + Random.below(InstancesInZone)]
          .get();
  Next->Packet.Flow = {{++NextClient, 40000}, ServiceAddress};
  Next->Packet.IsOpening = true;
  const SteeringDecision Decision = Next->Through->Steering.steer(Next->Packet);
  Next->At = Decision.Target->Registration.Address.Address - 1;
  Next->Packet.IsOpening = false;
  Next->Packet.Sequence = 1;
  Next->Packet.Tag = tagOf(Next->Packet.Flow, Decision.Target->Registration.Id);
  // The number of requests of a flow is geometric.
  Next->Left = 1;
  while (Random.fraction() > 1 / RequestsInFlow)
    ++Next->Left;
  ++Targets[Next->At].Flows;
  ++Open;
  OpenAcross += Targets[Next->At].Zone == Next->Zone ? 0 : 1;
  after(RoundTrip, [this, Next] { request(Next); });
}

void Model::request(const std::shared_ptr<Flow> &Given) {
  Given->Packet.DataBytes = 100;
  ++Given->Packet.AckNumber;
  Given->Through->Steering.steer(Given->Packet);
  Given->Packet.Sequence += Given->Packet.DataBytes;
  Target &To = Targets[Given->At];
  TimePoint &Slot = *std::min_element(To.FreeAt.begin(), To.FreeAt.end());
  const TimePoint Start = std::max(Slot, TimeSource.Now);
  Slot = Start + exponential(ServiceTime);
  if (TimeSource.Now.time_since_epoch() >= Warm) {
    ++To.Requests;
    Waits.push_back(Start - TimeSource.Now);
  }
  const Duration Answered = Slot - TimeSource.Now + RoundTrip;
  if (--Given->Left == 0)
    after(Answered, [this, Given] { close(*Given); });
  else
    after(Answered + exponential(Pause), [this, Given] { request(Given); });
}

void Model::close(Flow &Given) {
  Given.Packet.DataBytes = 0;
  Given.Packet.IsFinal = true;
  Given.Through->Steering.steer(Given.Packet);
  --Targets[Given.At].Flows;
  --Open;
  OpenAcross -= Targets[Given.At].Zone == Given.Zone ? 0 : 1;
}

// A flow between two zones is silenced by a cut of either of them.
void Model::sample() {
  after(SamplePeriod, [this] { sample(); });
  if (++Samples % SweepPeriod == 0)
    for (const auto &Each : Instances)
      Each->Steering.sweep();
  uint32_t Most = 0;
  for (const Target &Each : Targets)
    Most = std::max(Most, Each.Flows);
  Sum.Flows += static_cast<double>(Most * Targets.size()) /
               static_cast<double>(std::max<uint64_t>(Open, 1));
  Sum.SilencedByCut += 2.0 / static_cast<double>(Zones) *
                       static_cast<double>(OpenAcross) /
                       static_cast<double>(std::max<uint64_t>(Open, 1));
}

Result Model::run() {
  TimeSource.Now = TimePoint();
  openFlow();
  after(Warm, [this] { sample(); });
  while (Due.begin()->first.time_since_epoch() < End) {
    const auto Next = Due.extract(Due.begin());
    TimeSource.Now = Next.key();
    Next.mapped()();
  }
  uint64_t Most = 0;
  uint64_t All = 0;
  for (const Target &Each : Targets) {
    Most = std::max(Most, Each.Requests);
    All += Each.Requests;
  }
  Result Done;
  const auto Taken = static_cast<double>(Samples);
  Done.Requests =
      static_cast<double>(Most * Targets.size()) / static_cast<double>(All);
  Done.Flows = Sum.Flows / Taken;
  Done.SilencedByCut = Sum.SilencedByCut / Taken;
  const auto P99 =
      Waits.begin() + static_cast<ptrdiff_t>(Waits.size() * 99 / 100);
  std::nth_element(Waits.begin(), P99, Waits.end());
  Done.WaitP99 = *P99;
  return Done;
}

void writeRow(const Layout &Of, const Strategy &By, uint64_t Seed,
              const Result &Done, std::ostream &Table, std::ostream &Json) {
  const double WaitMs = static_cast<double>(Done.WaitP99.count()) / 1000;
  Table << std::left << std::setw(16) << Of.Name << std::setw(27) << By.Name
        << std::right << std::setw(5) << Seed << std::fixed
        << std::setprecision(3) << std::setw(10) << Done.Requests
        << std::setw(8) << Done.Flows << std::setprecision(1) << std::setw(12)
        << WaitMs << std::setprecision(3) << std::setw(10) << Done.SilencedByCut
        << "\n";
  const nlohmann::json Line = {{"measure", "steering"},
                               {"layout", Of.Name},
                               {"way", By.Name},
                               {"seed", Seed},
                               {"requests", Done.Requests},
                               {"flows", Done.Flows},
                               {"waitP99Ms", WaitMs},
                               {"silencedByCut", Done.SilencedByCut}};
  Json << Line.dump() << "\n";
}

} // namespace

int measureSteering(std::ostream &Table, std::ostream &JsonLines) {
  int Missed = 0;
  Table << "Upstreams of new flows (busiest over mean; wait for a slot; share "
           "of flows silenced by a cut of one zone)\n"
        << std::left << std::setw(16) << "layout" << std::setw(27) << "way"
        << std::right << std::setw(5) << "seed" << std::setw(10) << "requests"
        << std::setw(8) << "flows" << std::setw(12) << "p99 wait ms"
        << std::setw(10) << "silenced"
        << "\n";
  for (const Layout &Of : Layouts)
    for (const Strategy &By : Strategies)
      for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
        const Result Done = Model(Of, By, Seed).run();
        writeRow(Of, By, Seed, Done, Table, JsonLines);
        Missed += By.InUse && Done.SilencedByCut > 0 ? 1 : 0;
      }
  return Missed;
}

} // namespace indigopoint::measure
