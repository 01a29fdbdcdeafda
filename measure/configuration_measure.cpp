#include "configuration_measure.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iomanip>
#include <ostream>

#include <nlohmann/json.hpp>

#include "../tests/config_fleet.h"
#include "config_codec.h"

namespace indigopoint::measure {

namespace {

using std::chrono::seconds;

constexpr std::array<const char *, 4> Zones = {"lim-a", "lim-b", "lim-c",
                                               "lim-d"};
constexpr uint64_t Changes = 20;
// A configuration change must be current on all instances within this time.
constexpr seconds ActivationLimit(5);
// A change of one service with this many upstreams takes 2 KB.
constexpr uint32_t Upstreams = 14;

struct Scenario {
  const char *Name;
  std::function<void(ConfigFleet &, RandomSource &)> Prepare;
};

struct Figures {
  size_t Instances = 0;
  Duration TimeToFirstConfig{};
  Duration Median{};
  Duration Slowest{};
  double BytesPerChange = 0;
  double MaxBytesPerChange = 0;
  double ReadsPerChange = 0;
  uint64_t PendingCalls = 0;
  size_t InstancesCallingStore = 0;
};

uint64_t sum(const ConfigFleet &Fleet, uint64_t ConfigFleet::Node::*Counter) {
  uint64_t Total = 0;
  for (const auto &Node : Fleet.Nodes)
    Total += (*Node).*Counter;
  return Total;
}

void putChange(ConfigFleet &Fleet, uint64_t Version) {
  Fleet.Store.put(fleetKey(Version),
                  encodeChange(fleetChange(Version, Upstreams)));
}

Figures measureRun(size_t Instances, const Scenario &TestedScenario) {
  ConfigFleet Fleet(Instances);
  RandomSource Random(7);
  for (size_t Index = 0; Index < Instances; ++Index) {
    const char *Zone = Zones[Index % Zones.size()];
    Fleet.add(std::string(Zone) + "-" + std::to_string(Index), Zone);
  }
  Figures Result;
  Result.Instances = Instances;
  putChange(Fleet, 1);
  Result.TimeToFirstConfig = Fleet.runUntil(1, seconds(30));
  TestedScenario.Prepare(Fleet, Random);
  Fleet.run(seconds(12));
  const uint64_t BytesBefore = sum(Fleet, &ConfigFleet::Node::SentBytes);
  std::vector<uint64_t> NodeBytes;
  for (const auto &Node : Fleet.Nodes)
    NodeBytes.push_back(Node->SentBytes);
  std::vector<Duration> Times;
  uint64_t Reads = 0;
  for (uint64_t Version = 2; Version < 2 + Changes; ++Version) {
    const uint64_t ReadsBefore = Fleet.Store.Reads;
    putChange(Fleet, Version);
    Times.push_back(Fleet.runUntil(Version, seconds(30)));
    Fleet.run(std::chrono::milliseconds(500));
    Reads += Fleet.Store.Reads - ReadsBefore;
  }
  std::sort(Times.begin(), Times.end());
  Result.Median = Times[Times.size() / 2];
  Result.Slowest = Times.back();
  const double Count = static_cast<double>(Changes);
  Result.BytesPerChange =
      static_cast<double>(sum(Fleet, &ConfigFleet::Node::SentBytes) -
                          BytesBefore) /
      Count / static_cast<double>(Instances);
  for (size_t Index = 0; Index < Instances; ++Index)
    Result.MaxBytesPerChange = std::max(
        Result.MaxBytesPerChange,
        static_cast<double>(Fleet.Nodes[Index]->SentBytes - NodeBytes[Index]) /
            Count);
  Result.ReadsPerChange = static_cast<double>(Reads) / Count;
  Result.PendingCalls = sum(Fleet, &ConfigFleet::Node::PendingCalls);
  Result.InstancesCallingStore = static_cast<size_t>(
      std::count_if(Fleet.Nodes.begin(), Fleet.Nodes.end(),
                    [](const auto &Node) { return Node->StoreCalls > 0; }));
  return Result;
}

std::vector<Scenario> scenarios() {
  return {
      {"no fault", [](ConfigFleet &, RandomSource &) {}},
      {"5% of datagrams lost",
       [](ConfigFleet &Fleet, RandomSource &Random) {
         Fleet.DatagramFilter = [&Random](auto &, auto &, auto &) {
           return Random.below(100) >= 5;
         };
       }},
      {"store reachable from one zone",
       [](ConfigFleet &Fleet, RandomSource &) {
         Fleet.StoreReachable = [](const ConfigFleet::Node &Node) {
           return Node.Board.Self.Zone == Zones[0];
         };
       }},
      // An instance that reads the store announces new versions but never
      // answers a ConfigPull.
      {"one instance serves nothing", [](ConfigFleet &Fleet, RandomSource &) {
         const ConfigFleet::Node *NonServingNode = Fleet.Nodes[0].get();
         for (const auto &Node : Fleet.Nodes)
           if (Node->StoreCalls > 0)
             NonServingNode = Node.get();
         Fleet.DatagramFilter = [NonServingNode](auto &From, auto &,
                                                 Message &Body) {
           return &From != NonServingNode ||
                  !std::holds_alternative<ConfigChunk>(Body);
         };
       }}};
}

double millisecondsOf(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

void writeRun(const Scenario &TestedScenario, const Figures &Run,
              std::ostream &Table, std::ostream &JsonLines) {
  Table << std::setw(9) << Run.Instances << "  " << std::left << std::setw(30)
        << TestedScenario.Name << std::right << std::fixed
        << std::setprecision(0) << std::setw(8)
        << millisecondsOf(Run.TimeToFirstConfig) << std::setw(8)
        << millisecondsOf(Run.Median) << std::setw(8)
        << millisecondsOf(Run.Slowest) << std::setw(8) << Run.BytesPerChange
        << std::setw(9) << Run.MaxBytesPerChange << std::setprecision(1)
        << std::setw(7) << Run.ReadsPerChange << std::setw(8)
        << Run.PendingCalls << "\n";
  JsonLines << nlohmann::json(
                   {{"measure", "configuration"},
                    {"scenario", TestedScenario.Name},
                    {"instances", Run.Instances},
                    {"firstInForceMs", millisecondsOf(Run.TimeToFirstConfig)},
                    {"medianMs", millisecondsOf(Run.Median)},
                    {"slowestMs", millisecondsOf(Run.Slowest)},
                    {"bytesPerInstanceAndChange", Run.BytesPerChange},
                    {"mostBytesPerChange", Run.MaxBytesPerChange},
                    {"readsPerChange", Run.ReadsPerChange},
                    {"waitingCalls", Run.PendingCalls},
                    {"callers", Run.InstancesCallingStore}})
            << "\n";
}

} // namespace

int measureConfiguration(std::ostream &Table, std::ostream &JsonLines) {
  Table << "configuration: " << Changes
        << " changes of 2 KB, 4 zones; ms until current on all instances\n"
        << "instances  scenario                         first  median slowest"
           "   B/chg max B/chg  reads waiting\n";
  int MissedRuns = 0;
  for (const size_t Instances : {8, 50, 400})
    for (const Scenario &TestedScenario : scenarios()) {
      const Figures Run = measureRun(Instances, TestedScenario);
      writeRun(TestedScenario, Run, Table, JsonLines);
      if (Run.Slowest > ActivationLimit ||
          Run.TimeToFirstConfig > ActivationLimit)
        ++MissedRuns;
    }
  return MissedRuns;
}

} // namespace indigopoint::measure
