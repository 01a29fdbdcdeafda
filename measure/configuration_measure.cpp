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
// P8.
constexpr seconds InForceLimit(5);
// A change of one service with this many upstreams has 2 KB.
constexpr uint32_t Upstreams = 14;

struct Scenario {
  const char *Name;
  std::function<void(ConfigFleet &, RandomSource &)> Prepare;
};

struct Figures {
  size_t Instances = 0;
  Duration FirstInForce{};
  Duration Median{};
  Duration Slowest{};
  double BytesPerChange = 0;
  double MostBytesPerChange = 0;
  double ReadsPerChange = 0;
  uint64_t WaitingCalls = 0;
  size_t Callers = 0;
};

uint64_t sum(const ConfigFleet &Fleet, uint64_t ConfigFleet::Node::*Counter) {
  uint64_t Total = 0;
  for (const auto &Each : Fleet.Nodes)
    Total += (*Each).*Counter;
  return Total;
}

void putChange(ConfigFleet &Fleet, uint64_t Version) {
  Fleet.Store.put(fleetKey(Version),
                  encodeChange(fleetChange(Version, Upstreams)));
}

Figures measureRun(size_t Instances, const Scenario &Given) {
  ConfigFleet Fleet(Instances);
  RandomSource Random(7);
  for (size_t Index = 0; Index < Instances; ++Index) {
    const char *Zone = Zones[Index % Zones.size()];
    Fleet.add(std::string(Zone) + "-" + std::to_string(Index), Zone);
  }
  Figures Out;
  Out.Instances = Instances;
  putChange(Fleet, 1);
  Out.FirstInForce = Fleet.runUntil(1, seconds(30));
  Given.Prepare(Fleet, Random);
  Fleet.run(seconds(12));
  const uint64_t BytesBefore = sum(Fleet, &ConfigFleet::Node::SentBytes);
  std::vector<uint64_t> NodeBytes;
  for (const auto &Each : Fleet.Nodes)
    NodeBytes.push_back(Each->SentBytes);
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
  Out.Median = Times[Times.size() / 2];
  Out.Slowest = Times.back();
  const double Count = static_cast<double>(Changes);
  Out.BytesPerChange =
      static_cast<double>(sum(Fleet, &ConfigFleet::Node::SentBytes) -
                          BytesBefore) /
      Count / static_cast<double>(Instances);
  for (size_t Index = 0; Index < Instances; ++Index)
    Out.MostBytesPerChange = std::max(
        Out.MostBytesPerChange,
        static_cast<double>(Fleet.Nodes[Index]->SentBytes - NodeBytes[Index]) /
            Count);
  Out.ReadsPerChange = static_cast<double>(Reads) / Count;
  Out.WaitingCalls = sum(Fleet, &ConfigFleet::Node::PendingCalls);
  Out.Callers = static_cast<size_t>(
      std::count_if(Fleet.Nodes.begin(), Fleet.Nodes.end(),
                    [](const auto &Each) { return Each->StoreCalls > 0; }));
  return Out;
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
         Fleet.StoreReachable = [](const ConfigFleet::Node &Who) {
           return Who.Board.Self.Zone == Zones[0];
         };
       }},
      // A reader that announces versions and never answers a pull.
      {"one instance serves nothing", [](ConfigFleet &Fleet, RandomSource &) {
         const ConfigFleet::Node *Silent = Fleet.Nodes[0].get();
         for (const auto &Each : Fleet.Nodes)
           if (Each->StoreCalls > 0)
             Silent = Each.get();
         Fleet.DatagramFilter = [Silent](auto &From, auto &, Message &Body) {
           return &From != Silent || !std::holds_alternative<ConfigChunk>(Body);
         };
       }}};
}

double millisecondsOf(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

void writeRun(const Scenario &Given, const Figures &Run, std::ostream &Table,
              std::ostream &JsonLines) {
  Table << std::setw(9) << Run.Instances << "  " << std::left << std::setw(30)
        << Given.Name << std::right << std::fixed << std::setprecision(0)
        << std::setw(8) << millisecondsOf(Run.FirstInForce) << std::setw(8)
        << millisecondsOf(Run.Median) << std::setw(8)
        << millisecondsOf(Run.Slowest) << std::setw(8) << Run.BytesPerChange
        << std::setw(9) << Run.MostBytesPerChange << std::setprecision(1)
        << std::setw(7) << Run.ReadsPerChange << std::setw(8)
        << Run.WaitingCalls << "\n";
  JsonLines << nlohmann::json(
                   {{"measure", "configuration"},
                    {"scenario", Given.Name},
                    {"instances", Run.Instances},
                    {"firstInForceMs", millisecondsOf(Run.FirstInForce)},
                    {"medianMs", millisecondsOf(Run.Median)},
                    {"slowestMs", millisecondsOf(Run.Slowest)},
                    {"bytesPerInstanceAndChange", Run.BytesPerChange},
                    {"mostBytesPerChange", Run.MostBytesPerChange},
                    {"readsPerChange", Run.ReadsPerChange},
                    {"waitingCalls", Run.WaitingCalls},
                    {"callers", Run.Callers}})
            << "\n";
}

} // namespace

int measureConfiguration(std::ostream &Table, std::ostream &JsonLines) {
  Table << "configuration: " << Changes
        << " changes of 2 KB, 4 zones; ms until in force on all instances\n"
        << "instances  scenario                         first  median slowest"
           "   B/chg max B/chg  reads waiting\n";
  int Missed = 0;
  for (const size_t Instances : {8, 50, 400})
    for (const Scenario &Given : scenarios()) {
      const Figures Run = measureRun(Instances, Given);
      writeRun(Given, Run, Table, JsonLines);
      if (Run.Slowest > InForceLimit || Run.FirstInForce > InForceLimit)
        ++Missed;
    }
  return Missed;
}

} // namespace indigopoint::measure
