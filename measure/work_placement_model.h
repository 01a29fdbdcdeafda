#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "balancing_policy.h"
#include "simulation.h"

namespace indigopoint::measure {

enum class PlacementWay : uint8_t {
  /// The production policy by default.
  LeastFlows,
  /// The same without CountResponseTime.
  LeastFlowsWithoutTimes,
  /// The production policy with CountRemainingWork.
  ProductionWork,
  /// Least work of all upstreams, own and reported.
  LeastWork,
  /// Least work of two random upstreams.
  TwoChoices,
  /// An upstream without known exchanges; a random one if there is none.
  JoinIdle,
  /// The upstream on which the request starts first.
  Perfect
};

struct PlacementCase {
  PlacementWay Way = PlacementWay::LeastFlows;
  /// Share of the slots that are busy on average.
  double Load = 0.5;
  /// Whether 3% of the requests take 7 times as long.
  bool HasLongRequests = false;
  /// Whether flows carry 12 requests on average instead of one.
  bool HasLongFlows = false;
  /// Age of the knowledge of other instances' exchanges; none without a value.
  std::optional<Duration> ReportAge;
};

/// What a predictor could know of a request, and what came of it.
struct CostSample {
  double Route = 0;
  double Bytes = 0;
  /// Response time of the flow's previous request; negative if there is none.
  double Previous = -1;
  double Work = 0;
  double ResponseTime = 0;
};

/// An open exchange at a random time.
struct ResidualSample {
  double Age = 0;
  double Remaining = 0;
};

struct PlacementResult {
  double P50Ms = 0;
  double P99Ms = 0;
  /// Share of the requests answered within 400 ms.
  double InTime = 0;
  /// Share of the requests that got no answer.
  double Lost = 0;
  /// Ratio of the busiest upstream to the mean, by work done.
  double BusiestOverMean = 0;
  std::vector<CostSample> Costs;
  std::vector<ResidualSample> Residuals;
};

/// Simulates 16 instances and 30 upstreams with 2 slots and 8 queue places
/// that serve requests in order of arrival. A request to a full upstream is not
/// answered; clients repeat it after 200 and 600 ms and give up after 1.4 s. An
/// opening is placed again then, a later request stays on its upstream.
class PlacementModel {
public:
  PlacementModel(const PlacementCase &Case, uint64_t Seed);
  PlacementResult run();

private:
  static constexpr size_t InstanceCount = 16;
  static constexpr size_t UpstreamCount = 30;

  struct Instance {
    CostModel Costs;
    RemainingWork Work{Costs};
    BalancingPolicy Policy;
    std::vector<std::unique_ptr<Upstream>> Upstreams;
    std::vector<Upstream *> Candidates;
  };
  struct Exchange {
    uint64_t Id = 0;
    size_t Instance = 0;
    TimePoint SentAt{};
    TimePoint EndsAt{};
  };
  struct Server {
    std::vector<TimePoint> FreeAt;
    /// The accepted requests that have not ended.
    std::vector<Exchange> Open;
    /// The open exchanges as they were ReportAge ago.
    std::vector<Exchange> Reported;
    Duration WorkDone{};
  };
  struct Flow {
    FlowAddress Address;
    size_t Instance = 0;
    size_t Upstream = 0;
    uint32_t RemainingRequests = 1;
    double Route = 0;
    double Previous = -1;
  };
  struct Request {
    TimePoint FirstSentAt{};
    Duration Work{};
    uint32_t Copies = 0;
    bool IsFirstOfFlow = false;
  };
  using FlowPtr = std::shared_ptr<Flow>;

  Duration exponential(Duration Mean);
  Duration drawWork();
  double normal();
  void openFlow();
  void place(Flow &Target, uint32_t Copies);
  void send(const FlowPtr &Target, Request Sent);
  void accept(const FlowPtr &Target, const Request &Sent);
  void repeat(const FlowPtr &Target, Request Sent);
  void finish(const FlowPtr &Target, const Request &Sent);
  void recordOutcome(const Request &Sent, std::optional<Duration> Elapsed);
  void continueFlow(const FlowPtr &Target);
  void applyReported(size_t Upstream, const Exchange &Reported, bool IsOpen);
  void passReports(Instance &Chooser, size_t Self);
  size_t choose(const NewFlow &Opened, size_t Self);
  size_t chooseByReports(Instance &Chooser, size_t Self);
  double knownWork(const Instance &Chooser, size_t Upstream) const;
  bool isBelievedIdle(size_t Self, size_t Upstream) const;
  void sampleResiduals();
  bool isCounted(TimePoint Time) const;

  PlacementCase Case;
  VirtualTime Time;
  TimePoint Start;
  RandomSource Random;
  /// The random choices of a policy are separate, so that all policies get the
  /// same requests.
  RandomSource ChoiceRandom;
  Duration MeanFlowGap{};
  ReachabilityOptions Reachability;
  std::vector<Instance> Instances;
  std::vector<Server> Servers;
  uint64_t LastExchange = 0;
  uint32_t LastClient = 0x64400000;
  std::vector<double> ResponseTimes;
  uint64_t Lost = 0;
  PlacementResult Result;
};

} // namespace indigopoint::measure
