#include "work_placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "work_placement_model.h"

namespace indigopoint::measure {

namespace {

using std::chrono::milliseconds;

constexpr uint64_t SeedCount = 3;
constexpr double TargetShare = 0.5;

struct NamedWay {
  PlacementWay Way;
  const char *Name;
  bool UsesReports;
};

const std::vector<NamedWay> Ways = {
    {PlacementWay::LeastFlows, "least flows", false},
    {PlacementWay::LeastFlowsWithoutTimes, "flows, times ignored", false},
    {PlacementWay::ProductionWork, "countRemainingWork", true},
    {PlacementWay::LeastWork, "least work", true},
    {PlacementWay::TwoChoices, "two random choices", true},
    {PlacementWay::JoinIdle, "join idle", true},
    {PlacementWay::Perfect, "perfect knowledge", false}};

const std::vector<std::optional<Duration>> ReportAges = {
    std::nullopt,     milliseconds(0),   milliseconds(10),
    milliseconds(50), milliseconds(250), milliseconds(1000)};

/// The mean results of all seeds of a case.
struct Row {
  PlacementCase Case;
  std::string Name;
  PlacementResult Mean;
  double MinP99Ms = 0;
  double MaxP99Ms = 0;
  /// The part of the difference in p99 between least flows and perfect
  /// knowledge that the way closes. Nothing if the difference is smaller than
  /// that between the seeds.
  std::optional<double> Closed;
};

std::string ageLabel(const std::optional<Duration> &Age) {
  return Age ? std::to_string(Age->count() / 1000) : "none";
}

std::string workLabel(const PlacementCase &Case) {
  return Case.HasLongRequests ? "3% long" : "log-normal";
}

std::string flowLabel(const PlacementCase &Case) {
  return Case.HasLongFlows ? "long" : "one request";
}

void writeJson(const Row &Written, uint64_t Seed, const PlacementResult &Run,
               std::ostream &JsonLines) {
  const nlohmann::json Line = {{"measure", "work-placement"},
                               {"way", Written.Name},
                               {"work", workLabel(Written.Case)},
                               {"flows", flowLabel(Written.Case)},
                               {"load", Written.Case.Load},
                               {"age_ms", ageLabel(Written.Case.ReportAge)},
                               {"seed", Seed},
                               {"p50_ms", Run.P50Ms},
                               {"p99_ms", Run.P99Ms},
                               {"in_time", Run.InTime},
                               {"lost", Run.Lost},
                               {"busiest_over_mean", Run.BusiestOverMean}};
  JsonLines << Line.dump() << "\n";
}

Row runCase(const PlacementCase &Case, const std::string &Name,
            std::ostream &JsonLines) {
  Row Result;
  Result.Case = Case;
  Result.Name = Name;
  for (uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    PlacementResult Run = PlacementModel(Case, Seed).run();
    writeJson(Result, Seed, Run, JsonLines);
    Result.Mean.P50Ms += Run.P50Ms / SeedCount;
    Result.Mean.P99Ms += Run.P99Ms / SeedCount;
    Result.Mean.InTime += Run.InTime / SeedCount;
    Result.Mean.Lost += Run.Lost / SeedCount;
    Result.Mean.BusiestOverMean += Run.BusiestOverMean / SeedCount;
    Result.MinP99Ms =
        Seed == 1 ? Run.P99Ms : std::min(Result.MinP99Ms, Run.P99Ms);
    Result.MaxP99Ms = std::max(Result.MaxP99Ms, Run.P99Ms);
    std::move(Run.Costs.begin(), Run.Costs.end(),
              std::back_inserter(Result.Mean.Costs));
    std::move(Run.Residuals.begin(), Run.Residuals.end(),
              std::back_inserter(Result.Mean.Residuals));
  }
  return Result;
}

void writeRow(const Row &Written, std::ostream &Table) {
  Table << std::left << std::setw(20) << Written.Name << std::right
        << std::setw(8) << ageLabel(Written.Case.ReportAge) << std::fixed
        << std::setprecision(1) << std::setw(9) << Written.Mean.P50Ms
        << std::setw(9) << Written.Mean.P99Ms << std::setw(9)
        << Written.MinP99Ms << std::setw(9) << Written.MaxP99Ms
        << std::setprecision(4) << std::setw(10) << Written.Mean.InTime
        << std::setw(9) << Written.Mean.Lost << std::setprecision(3)
        << std::setw(10) << Written.Mean.BusiestOverMean;
  if (Written.Closed)
    Table << std::setprecision(2) << std::setw(9) << *Written.Closed << "\n";
  else
    Table << std::setw(9) << "-"
          << "\n";
}

/// The share of the variance of \p ValueOf that the means of 20 equal groups by
/// \p PredictorOf explain.
template <typename Sample>
double
explainedVariance(std::vector<Sample> Samples,
                  const std::function<double(const Sample &)> &PredictorOf,
                  const std::function<double(const Sample &)> &ValueOf) {
  constexpr size_t Groups = 20;
  if (Samples.size() < Groups)
    return 0;
  std::stable_sort(Samples.begin(), Samples.end(),
                   [&](const Sample &A, const Sample &B) {
                     return PredictorOf(A) < PredictorOf(B);
                   });
  double Sum = 0;
  double SquareSum = 0;
  double GroupSquares = 0;
  double GroupSum = 0;
  double GroupSize = 0;
  const size_t Limit = Samples.size() / Groups;
  for (size_t Index = 0; Index < Samples.size(); ++Index) {
    const double Value = ValueOf(Samples[Index]);
    Sum += Value;
    SquareSum += Value * Value;
    GroupSum += Value;
    GroupSize += 1;
    // Equal predictors stay in one group.
    const bool IsLast = Index + 1 == Samples.size();
    if (IsLast ||
        (GroupSize >= static_cast<double>(Limit) &&
         PredictorOf(Samples[Index]) < PredictorOf(Samples[Index + 1]))) {
      GroupSquares += GroupSum * GroupSum / GroupSize;
      GroupSum = GroupSize = 0;
    }
  }
  const auto Count = static_cast<double>(Samples.size());
  const double Variance = SquareSum - Sum * Sum / Count;
  return (GroupSquares - Sum * Sum / Count) / Variance;
}

void writeVariance(const Row &LeastFlows, std::ostream &Table) {
  using Costs = std::function<double(const CostSample &)>;
  using Residuals = std::function<double(const ResidualSample &)>;
  const std::vector<CostSample> &All = LeastFlows.Mean.Costs;
  std::vector<CostSample> Later;
  std::copy_if(All.begin(), All.end(), std::back_inserter(Later),
               [](const CostSample &S) { return S.Previous >= 0; });
  const Costs Route = [](const CostSample &S) { return S.Route; };
  const Costs Bytes = [](const CostSample &S) { return S.Bytes; };
  const Costs Previous = [](const CostSample &S) { return S.Previous; };
  const Costs Work = [](const CostSample &S) { return S.Work; };
  const Costs Response = [](const CostSample &S) { return S.ResponseTime; };
  const Residuals Age = [](const ResidualSample &S) { return S.Age; };
  const Residuals Remaining = [](const ResidualSample &S) {
    return S.Remaining;
  };
  Table << std::fixed << std::setprecision(4)
        << "explained variance of work / response time: route "
        << explainedVariance(All, Route, Work) << " / "
        << explainedVariance(All, Route, Response) << ", bytes "
        << explainedVariance(All, Bytes, Work) << " / "
        << explainedVariance(All, Bytes, Response) << ", earlier response time "
        << explainedVariance(Later, Previous, Work) << " / "
        << explainedVariance(Later, Previous, Response)
        << "; of the remaining time: age of the exchange "
        << explainedVariance(LeastFlows.Mean.Residuals, Age, Remaining) << "\n";
}

std::vector<Row> runGroup(const PlacementCase &Group, std::ostream &JsonLines) {
  std::vector<Row> Rows;
  for (const NamedWay &Tested : Ways)
    for (const std::optional<Duration> &Age : ReportAges) {
      if (Age && !Tested.UsesReports)
        continue;
      PlacementCase Case = Group;
      Case.Way = Tested.Way;
      Case.ReportAge = Age;
      Rows.push_back(runCase(Case, Tested.Name, JsonLines));
    }
  const double Baseline = Rows.front().Mean.P99Ms;
  const double Gap = Baseline - Rows.back().Mean.P99Ms;
  if (Gap > Rows.front().MaxP99Ms - Rows.front().MinP99Ms)
    for (Row &Current : Rows)
      Current.Closed = (Baseline - Current.Mean.P99Ms) / Gap;
  return Rows;
}

} // namespace

int measureWorkPlacement(std::ostream &Table, std::ostream &JsonLines) {
  int MissedTargets = 0;
  for (const bool HasLongFlows : {false, true})
    for (const bool HasLongRequests : {false, true})
      for (const double Load : {0.25, 0.5, 0.8}) {
        PlacementCase Group;
        Group.Load = Load;
        Group.HasLongRequests = HasLongRequests;
        Group.HasLongFlows = HasLongFlows;
        Table << "work " << workLabel(Group) << ", flows " << flowLabel(Group)
              << ", load " << std::fixed << std::setprecision(2) << Load
              << ", mean of " << SeedCount << " seeds\n"
              << "way                   age ms   p50 ms   p99 ms      min"
                 "      max   in time     lost   busiest   closed\n";
        const std::vector<Row> Rows = runGroup(Group, JsonLines);
        for (const Row &Current : Rows) {
          writeRow(Current, Table);
          const bool IsTarget =
              Current.Case.Way == PlacementWay::ProductionWork &&
              !Current.Case.ReportAge && Load >= 0.5;
          MissedTargets +=
              IsTarget && Current.Closed && *Current.Closed < TargetShare ? 1
                                                                          : 0;
        }
        writeVariance(Rows.front(), Table);
        Table << std::flush;
      }
  return MissedTargets;
}

} // namespace indigopoint::measure
