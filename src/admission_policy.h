#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "policy_options.h"
#include "route_table.h"
#include "types.h"

namespace indigopoint {

/// The load of a service on which an admission is decided.
struct AdmissionLoad {
  /// Requests that wait for an answer.
  double Demand = 0;
  /// Slots of the upstreams that may serve them; 0 if unknown.
  double Capacity = 0;
  /// New requests a second, without retries of refused ones.
  double OpeningsPerSecond = 0;
};

/// Whether a new flow is admitted, and from what that was decided.
struct AdmissionDecision {
  bool IsAdmitted = true;
  uint32_t Priority = 0;
  /// The share of the clients of this priority that are admitted.
  double AdmittedShare = 1;
  AdmissionLoad Load;
};

/// Decides which new flows are refused while the demand of a service exceeds
/// its capacity: those of the least urgent routes first, and of these only the
/// share that does not fit.
///
/// The flows served a second follow from the open exchanges of the zone and
/// their response times (Little's law). At the operating point as many are
/// admitted as are served, below it more and above it less.
class AdmissionPolicy {
public:
  using WallTime = std::chrono::system_clock::time_point;

  explicit AdmissionPolicy(AdmissionOptions Opts) : Opts(Opts) {}

  /// Decides about the first opening packet of a flow and counts it. Equal
  /// loads and times give equal decisions for a client on all instances.
  AdmissionDecision admit(const std::string &Service, const Route &MatchedRoute,
                          uint32_t ClientAddress, const AdmissionLoad &Load,
                          TimePoint Now, WallTime WallNow);

  /// Counts an answer, and whether it is the first one of its flow.
  void recordAnswer(const std::string &Service, Duration ResponseTime,
                    bool IsFirst, TimePoint Now);

  /// Forgets services that have not been used for a while.
  void expire(TimePoint Now);

private:
  struct ServiceState {
    /// Requests by priority, the most urgent one first; counts decay.
    std::map<uint32_t, double> Mix;
    /// Requests of routes without priority.
    double Unranked = 0;
    TimePoint DecayedAt{};
    /// Moving averages over the same answers.
    double Demand = 0;
    double ResponseSeconds = 0;
    /// The share of answers that are the first ones of their flows.
    double FirstAnswerShare = 1;
    uint32_t Answers = 0;
    TimePoint LastAnswerAt{};
    double LoadPerSlot = 0;
    AdmissionLoad Load;
    TimePoint LoadUpdatedAt{};

    void decay(TimePoint Now);
    void updateLoad(const AdmissionLoad &NewLoad, TimePoint Now);
    /// The share of the clients of a priority that fits.
    double admittedShare(uint32_t Priority, Duration Target) const;
    /// The load per slot relative to that at the operating point.
    double relativeLoad(Duration Target) const;
  };

  ServiceState *find(const std::string &Service);

  AdmissionOptions Opts;
  std::map<std::string, ServiceState> Services;
};

/// The number of requests that an opening stands for. Clients retry a refused
/// flow twice and at once, and all three openings are refused alike.
double requestsOf(bool IsAdmitted);

/// The time within which callers of a route want the answer; 0 if the route
/// names none. A target above the time limit means the time limit.
Duration targetOf(const Route &MatchedRoute);

} // namespace indigopoint
