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

constexpr StrategyMaker Makers[] = {
    makeLocalHashStrategy, makeHomeInstanceStrategy, makeOwnerInstanceStrategy,
    makeEngineStrategy, makeIdealStrategy};
constexpr uint64_t Seeds[] = {1, 2, 3};

struct Run {
  std::string Strategy;
  uint64_t Seed = 0;
  const Scenario *TestedScenario = nullptr;
  Tally Result;
  double ControlBytesPerSecond = 0;
};

Run runOnce(StrategyMaker MakeStrategy, const Scenario &TestedScenario,
            uint64_t Seed) {
  const std::unique_ptr<Strategy> TestedStrategy = MakeStrategy();
  const Load LoadOpts;
  Simulation Sim(*TestedStrategy, exampleConfiguration(), ExampleInstances,
                 LoadOpts, Seed);
  Run CurrentRun{TestedStrategy->name(), Seed, &TestedScenario,
                 Sim.run(TestedScenario.Script), 0};
  const double Seconds =
      std::chrono::duration<double>(LoadOpts.RunTime).count() + 5;
  CurrentRun.ControlBytesPerSecond =
      static_cast<double>(TestedStrategy->controlBytes()) / Seconds /
      ExampleInstances;
  return CurrentRun;
}

void writeJson(const Run &CurrentRun, std::ostream &Out) {
  const Tally &T = CurrentRun.Result;
  const bool Planned = CurrentRun.TestedScenario->Planned;
  nlohmann::json Line = {
      {"way", CurrentRun.Strategy},
      {"scenario", CurrentRun.TestedScenario->Name},
      {"seed", CurrentRun.Seed},
      {"broken_planned", Planned ? T.BrokenFlows : 0},
      {"broken_unplanned", Planned ? 0 : T.BrokenFlows},
      {"moved", T.MovedFlows},
      {"misdelivered", T.Misdelivered},
      {"doubled", T.RanTwice},
      {"false_not_run", T.RefusedButRan},
      {"requests", T.Requests},
      {"answered", T.Answered},
      {"refused", T.Refused},
      {"unknown", T.Unknown},
      {"shed", T.Shed},
      {"imbalance", T.Imbalance},
      {"slot_imbalance", T.SlotImbalance},
      {"control_bytes_per_s", CurrentRun.ControlBytesPerSecond}};
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

void writeRow(const Run &CurrentRun, std::ostream &Out) {
  const Tally &T = CurrentRun.Result;
  Out << std::left << std::setw(18) << CurrentRun.TestedScenario->Name
      << std::setw(14) << CurrentRun.Strategy << std::right << std::setw(5)
      << CurrentRun.Seed << std::setw(8) << T.BrokenFlows << std::setw(7)
      << T.MovedFlows << std::setw(7) << T.Misdelivered << std::setw(8)
      << T.RanTwice << std::setw(7) << T.RefusedButRan << std::setw(9)
      << T.Answered << std::setw(8) << T.Refused << std::setw(8) << T.Unknown
      << std::setw(7) << T.Shed << std::fixed << std::setprecision(2)
      << std::setw(8) << T.Imbalance << std::setw(8) << T.SlotImbalance
      << std::setprecision(0) << std::setw(9)
      << CurrentRun.ControlBytesPerSecond << std::endl;
}

int countViolations(const Run &CurrentRun) {
  const Tally &T = CurrentRun.Result;
  return static_cast<int>(
      (CurrentRun.TestedScenario->Planned ? T.BrokenFlows : 0) +
      T.Misdelivered + T.RanTwice + T.RefusedButRan);
}

} // namespace

int measureStrategies(std::ostream &Table, std::ostream &JsonLines) {
  int Violations = 0;
  writeHeader(Table);
  for (const Scenario &TestedScenario : allScenarios())
    for (const StrategyMaker MakeStrategy : Makers)
      for (const uint64_t Seed : Seeds) {
        const Run CurrentRun = runOnce(MakeStrategy, TestedScenario, Seed);
        writeRow(CurrentRun, Table);
        writeJson(CurrentRun, JsonLines);
        if (MakeStrategy == makeEngineStrategy)
          Violations += countViolations(CurrentRun);
      }
  return Violations;
}

} // namespace indigopoint::measure
