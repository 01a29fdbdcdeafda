#include "imbalance.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <limits>
#include <queue>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "admission.h"
#include "random_source.h"

namespace indigopoint::measure {

namespace {

// Highest allowed ratio of the busiest upstream to the mean.
constexpr double MaxImbalance = 1.15;

constexpr double ReportInterval = 0.5;
constexpr double MeanLifetime = 600;
constexpr double WarmUpEnd = 1800;
constexpr double End = 5400;
constexpr double SampleInterval = 10;

// Owner instances measure message rates over RateWindow seconds. In that time
// a flow of mean rate sends MessagesInWindow messages (one in 10 s).
constexpr double RateWindow = 30;
constexpr double MessagesInWindow = 3;

struct Size {
  const char *Name;
  size_t Upstreams;
  double FlowsPerUpstream;
};

// Present deployments and the size expected in two years.
constexpr Size Sizes[] = {
    {"today-small", 4, 30}, {"today", 14, 100}, {"two-years", 10, 860}};

enum class Choice : uint8_t { Hash, Redirect, Perfect };

struct Policy {
  std::string Name;
  Choice Method = Choice::Hash;
  /// Relative excess over the mean load above which new flows are redirected.
  double AllowedExcess = 0;
  /// Weight of the message rate in the load of an upstream. The number of flows
  /// has the remaining weight.
  double RateShare = 0;
  bool IsProductPolicy = false;
};

const std::vector<Policy> Policies = {
    {"hash only", Choice::Hash},
    {"redirect 0.05", Choice::Redirect, 0.05},
    {"redirect 0.10", Choice::Redirect, 0.1},
    {"redirect 0.25", Choice::Redirect, 0.25},
    {"0.05, half by rate", Choice::Redirect, 0.05, 0.5, true},
    {"0.10, half by rate", Choice::Redirect, 0.1, 0.5},
    {"0.05, 0.75 by rate", Choice::Redirect, 0.05, 0.75},
    {"perfect", Choice::Perfect}};

struct Result {
  double FlowImbalance = 0;
  double MessageImbalance = 0;
  double SlotImbalance = 0;
  double RedirectedShare = 0;
};

/// Simulates flows whose lifetimes and message rates are exponentially
/// distributed, upstreams with one owner instance each, and load reports
/// between owner instances.
class Model {
public:
  Model(const Size &Deployment, const Policy &TestedPolicy, uint64_t Seed)
      : TestedPolicy(TestedPolicy), Random(Seed), Noise(Seed + 1000),
        UpstreamCount(Deployment.Upstreams),
        ArrivalRate(Deployment.FlowsPerUpstream *
                    static_cast<double>(Deployment.Upstreams) / MeanLifetime),
        Flows(UpstreamCount), Rates(UpstreamCount),
        MeasuredRates(UpstreamCount), Messages(UpstreamCount),
        ReportedLoads(UpstreamCount, std::vector<double>(UpstreamCount)),
        NextReports(UpstreamCount) {}

  Result run();

private:
  struct FlowEnd {
    double Time = 0;
    size_t Upstream = 0;
    double Rate = 0;
    bool operator<(const FlowEnd &Other) const { return Time > Other.Time; }
  };

  double exponential(double Mean) {
    return -Mean * std::log(1 - Random.fraction());
  }
  double load(size_t Index) const;
  void advance(double EndTime);
  void arrive();
  size_t choose(size_t HashedUpstream, double RandomFraction);
  size_t redirect(size_t Owner, double RandomFraction);
  void report(size_t Owner);
  void measureRates();
  void sample();

  const Policy &TestedPolicy;
  RandomSource Random;
  RandomSource Noise;
  const size_t UpstreamCount;
  const double ArrivalRate;
  double Now = 0;
  std::vector<double> Flows;
  std::vector<double> Rates;
  std::vector<double> MeasuredRates;
  std::vector<double> Messages;
  /// ReportedLoads[A][B] is the load of upstream B as last reported to the
  /// owner instance of upstream A.
  std::vector<std::vector<double>> ReportedLoads;
  std::vector<double> NextReports;
  std::priority_queue<FlowEnd> FlowEnds;
  uint64_t ArrivedFlows = 0;
  uint64_t RedirectedFlows = 0;
  uint64_t Samples = 0;
  Result Sum;
};

double ratioOfMaxToMean(const std::vector<double> &Values) {
  double Sum = 0;
  for (double Value : Values)
    Sum += Value;
  const double Max = *std::max_element(Values.begin(), Values.end());
  return Sum > 0 ? Max * static_cast<double>(Values.size()) / Sum : 0;
}

// Message rates have a mean of 1, so that rates and flow counts have the same
// scale.
double Model::load(size_t Index) const {
  return (1 - TestedPolicy.RateShare) * Flows[Index] +
         TestedPolicy.RateShare * MeasuredRates[Index];
}

void Model::advance(double EndTime) {
  while (!FlowEnds.empty() && FlowEnds.top().Time <= EndTime) {
    const FlowEnd NextEnd = FlowEnds.top();
    FlowEnds.pop();
    Messages[NextEnd.Upstream] -=
        NextEnd.Time < WarmUpEnd ? 0 : NextEnd.Rate * (End - NextEnd.Time);
    Flows[NextEnd.Upstream] -= 1;
    Rates[NextEnd.Upstream] -= NextEnd.Rate;
  }
  Now = EndTime;
}

// Draws the message count in the window from a normal approximation of the
// Poisson distribution.
void Model::measureRates() {
  for (size_t Index = 0; Index < UpstreamCount; ++Index) {
    double Normal = -6;
    for (int Draw = 0; Draw < 12; ++Draw)
      Normal += Noise.fraction();
    const double Expected = MessagesInWindow * std::max(0.0, Rates[Index]);
    MeasuredRates[Index] =
        std::max(0.0, Expected + Normal * std::sqrt(Expected)) /
        MessagesInWindow;
  }
}

void Model::report(size_t Owner) {
  for (size_t Other = 0; Other < UpstreamCount; ++Other)
    ReportedLoads[Other][Owner] = load(Owner);
}

size_t Model::redirect(size_t Owner, double RandomFraction) {
  std::vector<SiblingLoad> Loads;
  for (size_t Index = 0; Index < UpstreamCount; ++Index)
    Loads.push_back({UpstreamId(Index + 1),
                     Index == Owner ? load(Owner) : ReportedLoads[Owner][Index],
                     0, 1, std::numeric_limits<double>::max()});
  if (isWithinShare(Loads[Owner], Loads, TestedPolicy.AllowedExcess))
    return Owner;
  const SiblingLoad *Best =
      redirectTarget(UpstreamId(Owner + 1), Loads, RandomFraction);
  const size_t Destination = Best->Upstream.value() - 1;
  ReportedLoads[Owner][Destination] += 1;
  ++RedirectedFlows;
  return Destination;
}

size_t Model::choose(size_t HashedUpstream, double RandomFraction) {
  if (TestedPolicy.Method == Choice::Hash)
    return HashedUpstream;
  if (TestedPolicy.Method == Choice::Perfect)
    return static_cast<size_t>(std::min_element(Flows.begin(), Flows.end()) -
                               Flows.begin());
  return redirect(HashedUpstream, RandomFraction);
}

// Draws the same random numbers for each policy, so that all policies get the
// same flows.
void Model::arrive() {
  const size_t HashedUpstream = Random.below(UpstreamCount);
  const double RandomFraction = Random.fraction();
  const double Rate = exponential(1);
  const double Lifetime = exponential(MeanLifetime);
  const size_t Upstream = choose(HashedUpstream, RandomFraction);
  ++ArrivedFlows;
  Flows[Upstream] += 1;
  Rates[Upstream] += Rate;
  Messages[Upstream] += Rate * (End - std::max(Now, WarmUpEnd));
  FlowEnds.push({Now + Lifetime, Upstream, Rate});
}

// With equal service times, the expected number of busy slots is proportional
// to the message rate of the flows, so the rates stand for busy slots.
void Model::sample() {
  Sum.FlowImbalance += ratioOfMaxToMean(Flows);
  Sum.SlotImbalance += ratioOfMaxToMean(Rates);
  ++Samples;
}

Result Model::run() {
  for (size_t Index = 0; Index < UpstreamCount; ++Index)
    NextReports[Index] = ReportInterval * static_cast<double>(Index) /
                         static_cast<double>(UpstreamCount);
  double NextArrival = exponential(1 / ArrivalRate);
  double NextSample = WarmUpEnd;
  double NextRateMeasurement = RateWindow;
  while (Now < End) {
    const auto Reporter =
        std::min_element(NextReports.begin(), NextReports.end());
    const double NextTime = std::min(
        {NextArrival, NextSample, NextRateMeasurement, *Reporter, End});
    advance(NextTime);
    if (NextTime == NextArrival) {
      arrive();
      NextArrival += exponential(1 / ArrivalRate);
    } else if (NextTime == NextSample) {
      sample();
      NextSample += SampleInterval;
    } else if (NextTime == NextRateMeasurement) {
      measureRates();
      NextRateMeasurement += RateWindow;
    } else if (NextTime == *Reporter) {
      report(static_cast<size_t>(Reporter - NextReports.begin()));
      *Reporter += ReportInterval;
    }
  }
  const auto Total = static_cast<double>(Samples);
  return {Sum.FlowImbalance / Total, ratioOfMaxToMean(Messages),
          Sum.SlotImbalance / Total,
          static_cast<double>(RedirectedFlows) /
              static_cast<double>(ArrivedFlows)};
}

void writeRow(const Size &Deployment, const Policy &TestedPolicy, uint64_t Seed,
              const Result &RunResult, std::ostream &Table,
              std::ostream &Json) {
  Table << std::left << std::setw(13) << Deployment.Name << std::setw(20)
        << TestedPolicy.Name << std::right << std::setw(5) << Seed << std::fixed
        << std::setprecision(3) << std::setw(8) << RunResult.FlowImbalance
        << std::setw(10) << RunResult.MessageImbalance << std::setw(8)
        << RunResult.SlotImbalance << std::setw(12) << RunResult.RedirectedShare
        << "\n";
  const nlohmann::json Line = {{"measure", "imbalance"},
                               {"size", Deployment.Name},
                               {"policy", TestedPolicy.Name},
                               {"seed", Seed},
                               {"flows", RunResult.FlowImbalance},
                               {"messages", RunResult.MessageImbalance},
                               {"slots", RunResult.SlotImbalance},
                               {"redirected", RunResult.RedirectedShare}};
  Json << Line.dump() << "\n";
}

} // namespace

int measureImbalance(std::ostream &Table, std::ostream &JsonLines) {
  int MissedRuns = 0;
  Table << "Imbalance of new-flow admission (ratio of busiest to mean)\n"
        << std::left << std::setw(13) << "size" << std::setw(20) << "policy"
        << std::right << std::setw(5) << "seed" << std::setw(8) << "flows"
        << std::setw(10) << "messages" << std::setw(8) << "slots"
        << std::setw(12) << "redirected"
        << "\n";
  for (const Size &Deployment : Sizes)
    for (const Policy &TestedPolicy : Policies)
      for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
        const Result RunResult = Model(Deployment, TestedPolicy, Seed).run();
        writeRow(Deployment, TestedPolicy, Seed, RunResult, Table, JsonLines);
        MissedRuns += TestedPolicy.IsProductPolicy &&
                              std::max(RunResult.FlowImbalance,
                                       RunResult.SlotImbalance) > MaxImbalance
                          ? 1
                          : 0;
      }
  return MissedRuns;
}

} // namespace indigopoint::measure
