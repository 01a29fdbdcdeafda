#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission_policy.h"
#include "service_load_table.h"
#include "steered_flow_table.h"
#include "steering_decision.h"
#include "steering_metrics.h"

namespace indigopoint {

/// Admission control of one instance: counts the load of its flows and decides
/// on new ones.
class FlowAdmission {
public:
  /// Returns the time of day, which instances of a zone share.
  using WallTimeHook = std::function<AdmissionPolicy::WallTime()>;

  struct Options {
    std::string Zone;
    AdmissionOptions Admission;
    PlacementOptions Placement;
  };

  /// Without \p WallTime, the time of \p TimeSource counts.
  FlowAdmission(Options Opts, const Clock &TimeSource,
                UpstreamRegistry &Upstreams, SteeringMetrics &Metrics,
                WallTimeHook WallTime);

  /// Counts the first opening packet of a flow. Returns the reason if it is
  /// refused because of overload.
  std::optional<Overload> refusalOf(const Route &MatchedRoute,
                                    const FlowAddress &Flow);

  /// Counts a request that waits for an answer until recordAnswer or
  /// endExchange is called, or until \p TimeLimit if that is not 0.
  void startExchange(const FlowAddress &Address, SteeredFlow &Flow,
                     const std::string &Service, Duration TimeLimit);
  void recordAnswer(SteeredFlow &Flow, const std::string &Service);
  void endExchange(SteeredFlow &Flow, const std::string &Service);

  /// Removes what is out of date and updates the metrics. Called about once a
  /// second.
  void sweep(const std::function<SteeredFlow *(const FlowAddress &)> &FindFlow);

  /// The loads to report to other instances, and those that they reported.
  ServiceLoadTable &loads() { return Loads; }

private:
  struct CachedLoad {
    AdmissionLoad Load;
    TimePoint ComputedAt{};
  };

  struct Deadline {
    FlowAddress Flow;
    TimePoint SentAt{};
    Duration TimeLimit{};
  };

  const AdmissionLoad &loadOf(const std::string &Service);
  AdmissionPolicy::WallTime wallTime() const;

  Options Opts;
  const Clock &TimeSource;
  UpstreamRegistry &Upstreams;
  SteeringMetrics &Metrics;
  WallTimeHook WallTime;
  ServiceLoadTable Loads;
  AdmissionPolicy Policy;
  std::map<std::string, CachedLoad> CachedLoads;
  std::vector<Deadline> Deadlines;
};

} // namespace indigopoint
