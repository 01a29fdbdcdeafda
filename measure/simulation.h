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
  /// Runs everything due up to \p End.
  void runUntil(TimePoint End);

private:
  struct Entry {
    TimePoint At;
    uint64_t Order = 0;
    std::function<void()> Run;
    bool operator<(const Entry &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  TimePoint Now{std::chrono::seconds(1000)};
  uint64_t NextOrder = 0;
  std::priority_queue<Entry> Queue;
};

class Simulation;

/// One way of spreading flows over upstreams, for all instances together.
class Strategy {
public:
  virtual ~Strategy() = default;
  virtual std::string name() const = 0;
  virtual void start(Simulation &Surroundings, const Configuration &Config,
                     size_t Instances) = 0;
  /// A caller's packet arrives at \p Instance.
  virtual void onRequest(size_t Instance, Endpoint Caller,
                         const Request &Given) = 0;
  virtual void onDispatchResult(Endpoint Upstream,
                                const DispatchResult &Result) = 0;
  virtual void configure(const Configuration &Config) = 0;
  virtual void kill(size_t Instance) = 0;
  virtual void leave(size_t Instance) = 0;
  virtual void join(size_t Instance) = 0;
  /// Whether the fabric may hand packets to \p Instance.
  virtual bool isReachable(size_t Instance) const = 0;
  virtual uint64_t controlBytes() const { return 0; }
};

/// What one run showed.
struct Tally {
  uint64_t Requests = 0;
  uint64_t Answered = 0;
  uint64_t Refused = 0;
  uint64_t Unknown = 0;
  uint64_t FalseNotRun = 0;
  uint64_t Misdelivered = 0;
  uint64_t Doubled = 0;
  uint64_t BrokenFlows = 0;
  uint64_t MovedFlows = 0;
  uint64_t Shed = 0;
  /// Busiest upstream over the mean, of delivered messages.
  double Imbalance = 0;
  /// Busiest upstream over the mean, of slot time.
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

/// Callers and upstreams around a way: callers repeat after 200 ms, upstreams
/// run two requests at a time and queue six more before they shed.
class Simulation {
public:
  Simulation(Strategy &Subject, Configuration Config, size_t Instances,
             Load Given, uint64_t Seed);

  /// Runs the load; \p Script schedules the changes of the scenario.
  Tally run(const std::function<void(Simulation &)> &Script);

  // For ways.
  VirtualTime Time;
  RandomSource Random;
  void toUpstream(Endpoint To, const Dispatch &Work);
  void toCaller(const Reply &Answer);

  // For scenario scripts.
  Strategy &subject() { return Subject; }
  Configuration Config;
  void crashUpstream(size_t Index);
  /// Flows may move off this upstream from now on.
  void noteLeaving(UpstreamId Id) { Departing.insert(Id); }

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
    UpstreamId Seen;
    bool Broken = false;
  };
  struct Pending {
    Request Content;
    bool Ran = false;
  };

  void sendNext(size_t Index);
  void transmit(FlowKey Key, RequestId Id);
  void startWork(Endpoint At, const Dispatch &Work);
  void finishWork(Endpoint At, const Dispatch &Work);
  void noteServed(const Upstream &By, FlowKey Key);
  void measureImbalance(Tally &Result) const;
  Duration jittered(Duration Mean);

  Strategy &Subject;
  size_t Instances;
  Load Given;
  std::map<Endpoint, Upstream> Upstreams;
  std::set<UpstreamId> Departing;
  std::vector<Flow> Flows;
  std::map<FlowKey, size_t> FlowIndex;
  std::map<std::pair<FlowKey, RequestId>, Pending> Open;
  std::map<std::pair<FlowKey, RequestId>, uint32_t> Runs;
  Tally Counted;
};

} // namespace indigopoint::measure
