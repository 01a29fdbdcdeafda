#include "baseline_strategies.h"

#include <algorithm>
#include <map>
#include <set>

#include "placement.h"

namespace indigopoint::measure {

namespace {

// The time until an instance that died or left is removed from all views.
constexpr Duration DeathDetection = std::chrono::seconds(1);
// Maximum delay until a configuration change reaches an instance.
constexpr Duration ConfigSpread = std::chrono::seconds(2);

using RequestKey = std::pair<FlowKey, RequestId>;

// Common part of all baselines: the state of each instance, the records of
// requests for deduplication, and the path to upstreams and back.
class BaselineStrategy : public Strategy {
public:
  void start(Simulation &Sim, const Configuration &Config,
             size_t Count) override {
    CurrentSimulation = &Sim;
    Nodes.resize(Count);
    for (Node &CurrentNode : Nodes)
      CurrentNode.Config = Config;
    for (size_t Index = 0; Index < Count; ++Index)
      View.push_back(instanceIdOf("instance-" + std::to_string(Index)));
  }

  void onRequest(size_t Instance, Endpoint, const Request &Body) override {
    const size_t DecidingInstance = decidingInstanceOf(Instance, Body);
    if (!Nodes[DecidingInstance].Up)
      return;
    Node &LocalNode = Nodes[DecidingInstance];
    const RequestKey Key{Body.Flow, Body.Id};
    const auto It = LocalNode.FinishedReplies.find(Key);
    if (It != LocalNode.FinishedReplies.end()) {
      CurrentSimulation->toCaller(It->second);
      return;
    }
    if (!LocalNode.InProgress.insert(Key).second)
      return;
    const UpstreamConfig *Upstream = upstreamOf(LocalNode, Body);
    if (Upstream == nullptr) {
      finish(DecidingInstance,
             {Body.Flow, Body.Id, Outcome::RefusedNotRun, {}, ""});
      return;
    }
    const DispatchId Id(NextDispatch++);
    PendingDispatches[Id] = {DecidingInstance, Key};
    CurrentSimulation->toUpstream(
        Upstream->Address,
        {ConnectionId(Body.Flow.value()), Id, Body.Service, Body.Flow, Body.Id,
         Body.Idempotent, Body.Deadline, Body.Payload});
  }

  void onDispatchResult(Endpoint, const DispatchResult &Result) override {
    const auto It = PendingDispatches.find(Result.Id);
    if (It == PendingDispatches.end())
      return;
    const auto [DecidingInstance, Key] = It->second;
    PendingDispatches.erase(It);
    const Outcome ReplyOutcome = Result.Status == DispatchStatus::Done
                                     ? Outcome::Answered
                                     : Outcome::RefusedNotRun;
    if (Nodes[DecidingInstance].Up)
      finish(DecidingInstance,
             {Key.first, Key.second, ReplyOutcome, {}, Result.Payload});
  }

  void configure(const Configuration &Config) override {
    for (Node &CurrentNode : Nodes) {
      const Duration Delay(static_cast<int64_t>(
          CurrentSimulation->Random.fraction() * ConfigSpread.count()));
      CurrentSimulation->Time.after(
          Delay, [&CurrentNode, Config] { CurrentNode.Config = Config; });
    }
  }

  void kill(size_t Instance) override {
    resetNode(Instance);
    Nodes[Instance].Up = false;
    CurrentSimulation->Time.after(
        DeathDetection, [this, Instance] { removeFromView(Instance); });
  }

  // A graceful shutdown finishes requests in progress but transfers no state.
  void leave(size_t Instance) override {
    removeFromView(Instance);
    Nodes[Instance].Reachable = false;
  }

  void join(size_t Instance) override {
    resetNode(Instance);
    const InstanceId Id = instanceIdOf("instance-" + std::to_string(Instance));
    if (std::find(View.begin(), View.end(), Id) == View.end())
      View.push_back(Id);
  }

  bool isReachable(size_t Instance) const override {
    return Nodes[Instance].Up && Nodes[Instance].Reachable;
  }

protected:
  struct Node {
    Configuration Config;
    bool Up = true;
    bool Reachable = true;
    std::map<FlowKey, UpstreamId> PinnedUpstreams;
    std::map<UpstreamId, uint64_t> FlowCounts;
    std::set<RequestKey> InProgress;
    std::map<RequestKey, Reply> FinishedReplies;
  };

  virtual size_t decidingInstanceOf(size_t ReceivingInstance,
                                    const Request &Body) = 0;
  virtual const UpstreamConfig *upstreamOf(Node &LocalNode,
                                           const Request &Body) = 0;

  size_t indexOf(InstanceId Id) const {
    for (size_t Index = 0; Index < Nodes.size(); ++Index)
      if (instanceIdOf("instance-" + std::to_string(Index)) == Id)
        return Index;
    return 0;
  }

  const UpstreamConfig *upstreamByHash(const Node &LocalNode,
                                       const Request &Body) const {
    const UpstreamConfig *Best = nullptr;
    uint64_t BestScore = 0;
    for (const UpstreamConfig &Candidate :
         LocalNode.Config.Services.at(Body.Service).Upstreams) {
      const uint64_t Score =
          rendezvousScore(Body.Flow.value(), Candidate.Id.value());
      if (!Candidate.Draining && (Best == nullptr || Score > BestScore)) {
        Best = &Candidate;
        BestScore = Score;
      }
    }
    return Best;
  }

  // Returns the pinned upstream if it is still configured and not draining.
  static const UpstreamConfig *pinnedUpstream(const Node &LocalNode,
                                              const Request &Body) {
    const auto It = LocalNode.PinnedUpstreams.find(Body.Flow);
    if (It == LocalNode.PinnedUpstreams.end())
      return nullptr;
    for (const UpstreamConfig &Candidate :
         LocalNode.Config.Services.at(Body.Service).Upstreams)
      if (Candidate.Id == It->second && !Candidate.Draining)
        return &Candidate;
    return nullptr;
  }

  static const UpstreamConfig *leastLoadedUpstream(Node &LocalNode,
                                                   const Request &Body) {
    const UpstreamConfig *Best = nullptr;
    for (const UpstreamConfig &Candidate :
         LocalNode.Config.Services.at(Body.Service).Upstreams)
      if (!Candidate.Draining &&
          (Best == nullptr ||
           LocalNode.FlowCounts[Candidate.Id] < LocalNode.FlowCounts[Best->Id]))
        Best = &Candidate;
    return Best;
  }

  static void pinFlow(Node &LocalNode, const Request &Body,
                      const UpstreamConfig &Upstream) {
    const auto PreviousPin = LocalNode.PinnedUpstreams.find(Body.Flow);
    if (PreviousPin != LocalNode.PinnedUpstreams.end())
      --LocalNode.FlowCounts[PreviousPin->second];
    LocalNode.PinnedUpstreams[Body.Flow] = Upstream.Id;
    ++LocalNode.FlowCounts[Upstream.Id];
  }

  Simulation *CurrentSimulation = nullptr;
  std::vector<Node> Nodes;
  std::vector<InstanceId> View;

private:
  // A restarted process keeps nothing but the configuration.
  void resetNode(size_t Instance) {
    Node NewNode;
    NewNode.Config = Nodes[Instance].Config;
    Nodes[Instance] = std::move(NewNode);
  }

  void finish(size_t DecidingInstance, const Reply &Answer) {
    Node &LocalNode = Nodes[DecidingInstance];
    LocalNode.InProgress.erase({Answer.Flow, Answer.Id});
    LocalNode.FinishedReplies[{Answer.Flow, Answer.Id}] = Answer;
    CurrentSimulation->toCaller(Answer);
  }

  void removeFromView(size_t Instance) {
    View.erase(
        std::remove(View.begin(), View.end(),
                    instanceIdOf("instance-" + std::to_string(Instance))),
        View.end());
  }

  std::map<DispatchId, std::pair<size_t, RequestKey>> PendingDispatches;
  uint64_t NextDispatch = 1;
};

class LocalHashStrategy : public BaselineStrategy {
public:
  std::string name() const override { return "a-local-hash"; }

protected:
  size_t decidingInstanceOf(size_t ReceivingInstance,
                            const Request &) override {
    return ReceivingInstance;
  }

  const UpstreamConfig *upstreamOf(Node &LocalNode,
                                   const Request &Body) override {
    const UpstreamConfig *Upstream = pinnedUpstream(LocalNode, Body);
    if (Upstream == nullptr) {
      Upstream = upstreamByHash(LocalNode, Body);
      if (Upstream != nullptr)
        pinFlow(LocalNode, Body, *Upstream);
    }
    return Upstream;
  }
};

class HomeInstanceStrategy : public BaselineStrategy {
public:
  std::string name() const override { return "b-home"; }

protected:
  size_t decidingInstanceOf(size_t, const Request &Body) override {
    return indexOf(rendezvousChoice(Body.Flow.value(), View));
  }

  const UpstreamConfig *upstreamOf(Node &LocalNode,
                                   const Request &Body) override {
    const UpstreamConfig *Upstream = pinnedUpstream(LocalNode, Body);
    if (Upstream == nullptr) {
      Upstream = leastLoadedUpstream(LocalNode, Body);
      if (Upstream != nullptr)
        pinFlow(LocalNode, Body, *Upstream);
    }
    return Upstream;
  }
};

class OwnerInstanceStrategy : public BaselineStrategy {
public:
  std::string name() const override { return "c-owner"; }

protected:
  size_t decidingInstanceOf(size_t ReceivingInstance,
                            const Request &Body) override {
    const UpstreamConfig *Upstream =
        upstreamByHash(Nodes[ReceivingInstance], Body);
    return Upstream == nullptr
               ? ReceivingInstance
               : indexOf(rendezvousChoice(Upstream->Id.value(), View));
  }

  const UpstreamConfig *upstreamOf(Node &LocalNode,
                                   const Request &Body) override {
    return upstreamByHash(LocalNode, Body);
  }
};

class IdealStrategy : public HomeInstanceStrategy {
public:
  std::string name() const override { return "oracle"; }
  void kill(size_t) override {}
  void leave(size_t) override {}
  void join(size_t) override {}

protected:
  size_t decidingInstanceOf(size_t, const Request &) override { return 0; }
};

} // namespace

std::unique_ptr<Strategy> makeLocalHashStrategy() {
  return std::make_unique<LocalHashStrategy>();
}
std::unique_ptr<Strategy> makeHomeInstanceStrategy() {
  return std::make_unique<HomeInstanceStrategy>();
}
std::unique_ptr<Strategy> makeOwnerInstanceStrategy() {
  return std::make_unique<OwnerInstanceStrategy>();
}
std::unique_ptr<Strategy> makeIdealStrategy() {
  return std::make_unique<IdealStrategy>();
}

} // namespace indigopoint::measure
