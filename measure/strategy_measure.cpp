#include "strategy_measure.h"

#include <iomanip>
#include <memory>

#include <nlohmann/json.hpp>

#include "baseline_strategies.h"
#include "engine_strategy.h"
#include "scenarios.h"

namespace indigopoint::measure {

namespace {

using StrategyMaker = std::unique_ptr<Strategy> (*)();

constexpr StrategyMaker Makers[] = {makeLocalHashStrategy, makeHomeStrategy,
                                    makeOwnerStrategy, makeEngineStrategy,
                                    makeOracleStrategy};
constexpr uint64_t Seeds[] = {1, 2, 3};

struct Run {
  std::string Strategy;
  uint64_t Seed = 0;
  const Scenario *Of = nullptr;
  Tally Result;
  double ControlBytesPerSecond = 0;
};

Run runOnce(StrategyMaker Make, const Scenario &Of, uint64_t Seed) {
  const std::unique_ptr<Strategy> Subject = Make();
  const Load Given;
  Simulation Surroundings(*Subject, exampleConfiguration(), ExampleInstances,
                          Given, Seed);
  Run Done{Subject->name(), Seed, &Of, Surroundings.run(Of.Script), 0};
  const double Seconds =
      std::chrono::duration<double>(Given.RunTime).count() + 5;
  Done.ControlBytesPerSecond =
      static_cast<double>(Subject->controlBytes()) / Seconds / ExampleInstances;
  return Done;
}

void writeJson(const Run &Done, std::ostream &Out) {
  const Tally &T = Done.Result;
  const bool Planned = Done.Of->Planned;
  nlohmann::json Line = {{"way", Done.Strategy},
                         {"scenario", Done.Of->Name},
                         {"seed", Done.Seed},
                         {"broken_planned", Planned ? T.BrokenFlows : 0},
                         {"broken_unplanned", Planned ? 0 : T.BrokenFlows},
                         {"moved", T.MovedFlows},
                         {"misdelivered", T.Misdelivered},
                         {"doubled", T.Doubled},
                         {"false_not_run", T.FalseNotRun},
                         {"requests", T.Requests},
                         {"answered", T.Answered},
                         {"refused", T.Refused},
                         {"unknown", T.Unknown},
                         {"shed", T.Shed},
                         {"imbalance", T.Imbalance},
                         {"slot_imbalance", T.SlotImbalance},
                         {"control_bytes_per_s", Done.ControlBytesPerSecond}};
  Out << Line.dump() << "\n";
}

void writeHeader(std::ostream &Out) {
  Out << std::left << std::setw(18) << "scenario" << std::setw(14) << "way"
      << std::right << std::setw(5) << "seed" << std::setw(8) << "broken"
      << std::setw(7) << "moved" << std::setw(7) << "misdl" << std::setw(8)
      << "doubled" << std::setw(7) << "false" << std::setw(9) << "answered"
      << std::setw(8) << "refused" << std::setw(8) << "unknown" << std::setw(7)
      << "shed" << std::setw(8) << "imbal" << std::setw(8) << "slots"
      << std::setw(9) << "ctl B/s"
      << "\n";
}

void writeRow(const Run &Done, std::ostream &Out) {
  const Tally &T = Done.Result;
  Out << std::left << std::setw(18) << Done.Of->Name << std::setw(14)
      << Done.Strategy << std::right << std::setw(5) << Done.Seed
      << std::setw(8) << T.BrokenFlows << std::setw(7) << T.MovedFlows
      << std::setw(7) << T.Misdelivered << std::setw(8) << T.Doubled
      << std::setw(7) << T.FalseNotRun << std::setw(9) << T.Answered
      << std::setw(8) << T.Refused << std::setw(8) << T.Unknown << std::setw(7)
      << T.Shed << std::fixed << std::setprecision(2) << std::setw(8)
      << T.Imbalance << std::setw(8) << T.SlotImbalance << std::setprecision(0)
      << std::setw(9) << Done.ControlBytesPerSecond << std::endl;
}

int brokenPromises(const Run &Done) {
  const Tally &T = Done.Result;
  return static_cast<int>((Done.Of->Planned ? T.BrokenFlows : 0) +
                          T.Misdelivered + T.Doubled + T.FalseNotRun);
}

} // namespace

int measureStrategies(std::ostream &Table, std::ostream &JsonLines) {
  int Broken = 0;
  writeHeader(Table);
  for (const Scenario &Of : allScenarios())
    for (const StrategyMaker Make : Makers)
      for (const uint64_t Seed : Seeds) {
        const Run Done = runOnce(Make, Of, Seed);
        writeRow(Done, Table);
        writeJson(Done, JsonLines);
        if (Make == makeEngineStrategy)
          Broken += brokenPromises(Done);
      }
  return Broken;
}

} // namespace indigopoint::measure
