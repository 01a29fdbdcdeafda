#pragma once

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "configuration.h"
#include "messages.h"
#include "random_source.h"

namespace indigopoint::measure {

/// Runs functions in the order of virtual time.
class VirtualTime : public Clock {
public:
  TimePoint now() const override { return Now; }
  void after(Duration Delay, std::function<void()> Run);
  /// Runs all functions that are due by \p End.
  void runUntil(TimePoint End);

private:
  struct Entry {
    TimePoint DueTime;
    uint64_t Order = 0;
    std::function<void()> Run;
    bool operator<(const Entry &Other) const {
      return DueTime != Other.DueTime ? DueTime > Other.DueTime
                                      : Order > Other.Order;
    }
  };

  TimePoint Now{std::chrono::seconds(1000)};
  uint64_t NextOrder = 0;
  std::priority_queue<Entry> Queue;
};

class Simulation;

/// A strategy that distributes flows over upstreams, simulated for all
/// instances.
class Strategy {
public:
  virtual ~Strategy() = default;
  virtual std::string name() const = 0;
  virtual void start(Simulation &Sim, const Configuration &Config,
                     size_t Instances) = 0;
  /// Called when a caller's packet arrives at \p Instance.
  virtual void onRequest(size_t Instance, Endpoint Caller,
                         const Request &Body) = 0;
  virtual void onDispatchResult(Endpoint Upstream,
                                const DispatchResult &Result) = 0;
  virtual void configure(const Configuration &Config) = 0;
  virtual void kill(size_t Instance) = 0;
  virtual void leave(size_t Instance) = 0;
  virtual void join(size_t Instance) = 0;
  /// Whether the fabric, the network in front of the instances, may deliver
  /// packets to \p Instance.
  virtual bool isReachable(size_t Instance) const = 0;
  virtual uint64_t controlBytes() const { return 0; }
};

/// Results of one run.
struct Tally {
  uint64_t Requests = 0;
  uint64_t Answered = 0;
  uint64_t Refused = 0;
  uint64_t Unknown = 0;
  /// Requests refused with RefusedNotRun although an upstream ran them.
  uint64_t RefusedButRan = 0;
  uint64_t Misdelivered = 0;
  /// Non-idempotent requests that ran more than once.
  uint64_t RanTwice = 0;
  /// Flows that changed upstream although their upstream stayed in service.
  uint64_t BrokenFlows = 0;
  /// Changes of upstream that allowFlowMoves() had announced.
  uint64_t MovedFlows = 0;
  uint64_t Shed = 0;
  /// Ratio of the busiest upstream to the mean, by delivered messages.
  double Imbalance = 0;
  /// Ratio of the busiest upstream to the mean, by slot time.
  double SlotImbalance = 0;
};

struct Load {
  size_t Flows = 1400;
  Duration RequestGap = std::chrono::seconds(2);
  Duration ServiceTime = std::chrono::milliseconds(20);
  Duration RunTime = std::chrono::seconds(30);
  double LossRate = 0.002;
  double NonIdempotentShare = 0.5;
};

/// Simulates the callers and upstreams of a strategy. Callers retransmit after
/// 200 ms. Upstreams run two requests at a time and queue six more before they
/// shed load.
class Simulation {
public:
  Simulation(Strategy &StrategyToTest, Configuration InitialConfig,
             size_t Count, Load Opts, uint64_t Seed);

  /// Runs the load; \p Script schedules the changes of the scenario.
  Tally run(const std::function<void(Simulation &)> &Script);

  // For strategies.
  VirtualTime Time;
  RandomSource Random;
  void toUpstream(Endpoint Destination, const Dispatch &Body);
  void toCaller(const Reply &Answer);

  // For scenario scripts.
  Strategy &strategy() { return TestedStrategy; }
  Configuration Config;
  void crashUpstream(size_t Index);
  /// Counts flows that change from this upstream to another one as moved, not
  /// as broken, from now on.
  void allowFlowMoves(UpstreamId Id) { MovableUpstreams.insert(Id); }

private:
  struct Upstream {
    UpstreamId Id;
    ServiceId Service;
    bool Up = true;
    uint32_t Running = 0;
    std::queue<Dispatch> Waiting;
    uint64_t Delivered = 0;
    Duration Busy{};
    TimePoint FirstUse{};
  };
  struct Flow {
    FlowKey Key;
    ServiceId Service;
    uint64_t NextRequest = 1;
    UpstreamId LastUpstream;
    bool Broken = false;
  };
  struct PendingRequest {
    Request Body;
    bool Ran = false;
  };

  void sendNext(size_t Index);
  void transmit(FlowKey Key, RequestId Id);
  void startRun(Endpoint Address, const Dispatch &Body);
  void finishRun(Endpoint Address, const Dispatch &Body);
  void recordServingUpstream(const Upstream &Server, FlowKey Key);
  void measureImbalance(Tally &Result) const;
  Duration drawExponential(Duration Mean);

  Strategy &TestedStrategy;
  size_t InstanceCount;
  Load LoadOpts;
  std::map<Endpoint, Upstream> Upstreams;
  std::set<UpstreamId> MovableUpstreams;
  std::vector<Flow> Flows;
  std::map<FlowKey, size_t> FlowIndex;
  std::map<std::pair<FlowKey, RequestId>, PendingRequest> PendingRequests;
  std::map<std::pair<FlowKey, RequestId>, uint32_t> RunCounts;
  Tally CurrentTally;
};

} // namespace indigopoint::measure
