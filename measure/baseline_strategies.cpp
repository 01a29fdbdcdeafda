#include "baseline_strategies.h"

#include <algorithm>
#include <map>
#include <set>

#include "placement.h"

namespace indigopoint::measure {

namespace {

// The time until an instance that died or left is out of everybody's view.
constexpr Duration DeathDetection = std::chrono::seconds(1);
// Configuration changes reach instances at different times up to this one.
constexpr Duration ConfigSpread = std::chrono::seconds(2);

using RequestKey = std::pair<FlowKey, RequestId>;

// What all baselines share: instances with a view of their own, a record of
// requests for removing duplicates, and the path to upstreams and back.
class BaselineStrategy : public Strategy {
public:
  void start(Simulation &Given, const Configuration &Config,
             size_t Count) override {
    Surroundings = &Given;
    Nodes.resize(Count);
    for (Node &Each : Nodes)
      Each.Config = Config;
    for (size_t Index = 0; Index < Count; ++Index)
      View.push_back(instanceIdOf("instance-" + std::to_string(Index)));
  }

  void onRequest(size_t Instance, Endpoint, const Request &Given) override {
    const size_t Server = serverOf(Instance, Given);
    if (!Nodes[Server].Up)
      return;
    Node &At = Nodes[Server];
    const RequestKey Key{Given.Flow, Given.Id};
    const auto Finished = At.Finished.find(Key);
    if (Finished != At.Finished.end()) {
      Surroundings->toCaller(Finished->second);
      return;
    }
    if (!At.InProgress.insert(Key).second)
      return;
    const UpstreamConfig *Target = upstreamOf(At, Given);
    if (Target == nullptr) {
      finish(Server, {Given.Flow, Given.Id, Outcome::RefusedNotRun, {}, ""});
      return;
    }
    const DispatchId Id(NextDispatch++);
    Open[Id] = {Server, Key};
    Surroundings->toUpstream(Target->Address,
                             {ConnectionId(Given.Flow.value()), Id,
                              Given.Service, Given.Flow, Given.Id,
                              Given.Idempotent, Given.Deadline, Given.Payload});
  }

  void onDispatchResult(Endpoint, const DispatchResult &Result) override {
    const auto It = Open.find(Result.Id);
    if (It == Open.end())
      return;
    const auto [Server, Key] = It->second;
    Open.erase(It);
    const Outcome Final = Result.Status == DispatchStatus::Done
                              ? Outcome::Answered
                              : Outcome::RefusedNotRun;
    if (Nodes[Server].Up)
      finish(Server, {Key.first, Key.second, Final, {}, Result.Payload});
  }

  void configure(const Configuration &Config) override {
    for (Node &Each : Nodes) {
      const Duration Delay(static_cast<int64_t>(
          Surroundings->Random.fraction() * ConfigSpread.count()));
      Surroundings->Time.after(Delay,
                               [&Each, Config] { Each.Config = Config; });
    }
  }

  void kill(size_t Instance) override {
    forgetAll(Instance);
    Nodes[Instance].Up = false;
    Surroundings->Time.after(DeathDetection,
                             [this, Instance] { dropFromView(Instance); });
  }

  // A planned stop finishes what is in progress but hands nothing over.
  void leave(size_t Instance) override {
    dropFromView(Instance);
    Nodes[Instance].Reachable = false;
  }

  void join(size_t Instance) override {
    forgetAll(Instance);
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
    std::map<FlowKey, UpstreamId> Pins;
    std::map<UpstreamId, uint64_t> FlowCounts;
    std::set<RequestKey> InProgress;
    std::map<RequestKey, Reply> Finished;
  };

  virtual size_t serverOf(size_t Ingress, const Request &Given) = 0;
  virtual const UpstreamConfig *upstreamOf(Node &At, const Request &Given) = 0;

  size_t indexOf(InstanceId Id) const {
    for (size_t Index = 0; Index < Nodes.size(); ++Index)
      if (instanceIdOf("instance-" + std::to_string(Index)) == Id)
        return Index;
    return 0;
  }

  const UpstreamConfig *hashed(const Node &At, const Request &Given) const {
    const UpstreamConfig *Best = nullptr;
    uint64_t BestScore = 0;
    for (const UpstreamConfig &Each :
         At.Config.Services.at(Given.Service).Upstreams) {
      const uint64_t Score =
          rendezvousScore(Given.Flow.value(), Each.Id.value());
      if (!Each.Draining && (Best == nullptr || Score > BestScore)) {
        Best = &Each;
        BestScore = Score;
      }
    }
    return Best;
  }

  // The pinned upstream, if it is still configured and not draining.
  static const UpstreamConfig *pinned(const Node &At, const Request &Given) {
    const auto It = At.Pins.find(Given.Flow);
    if (It == At.Pins.end())
      return nullptr;
    for (const UpstreamConfig &Each :
         At.Config.Services.at(Given.Service).Upstreams)
      if (Each.Id == It->second && !Each.Draining)
        return &Each;
    return nullptr;
  }

  static const UpstreamConfig *leastLoaded(Node &At, const Request &Given) {
    const UpstreamConfig *Best = nullptr;
    for (const UpstreamConfig &Each :
         At.Config.Services.at(Given.Service).Upstreams)
      if (!Each.Draining &&
          (Best == nullptr || At.FlowCounts[Each.Id] < At.FlowCounts[Best->Id]))
        Best = &Each;
    return Best;
  }

  static void pin(Node &At, const Request &Given, const UpstreamConfig &To) {
    const auto Old = At.Pins.find(Given.Flow);
    if (Old != At.Pins.end())
      --At.FlowCounts[Old->second];
    At.Pins[Given.Flow] = To.Id;
    ++At.FlowCounts[To.Id];
  }

  Simulation *Surroundings = nullptr;
  std::vector<Node> Nodes;
  std::vector<InstanceId> View;

private:
  // A new process knows the configuration and nothing else.
  void forgetAll(size_t Instance) {
    Node Fresh;
    Fresh.Config = Nodes[Instance].Config;
    Nodes[Instance] = std::move(Fresh);
  }

  void finish(size_t Server, const Reply &Answer) {
    Node &At = Nodes[Server];
    At.InProgress.erase({Answer.Flow, Answer.Id});
    At.Finished[{Answer.Flow, Answer.Id}] = Answer;
    Surroundings->toCaller(Answer);
  }

  void dropFromView(size_t Instance) {
    View.erase(
        std::remove(View.begin(), View.end(),
                    instanceIdOf("instance-" + std::to_string(Instance))),
        View.end());
  }

  std::map<DispatchId, std::pair<size_t, RequestKey>> Open;
  uint64_t NextDispatch = 1;
};

class LocalHashStrategy : public BaselineStrategy {
public:
  std::string name() const override { return "a-local-hash"; }

protected:
  size_t serverOf(size_t Ingress, const Request &) override { return Ingress; }

  const UpstreamConfig *upstreamOf(Node &At, const Request &Given) override {
    const UpstreamConfig *Target = pinned(At, Given);
    if (Target == nullptr) {
      Target = hashed(At, Given);
      if (Target != nullptr)
        pin(At, Given, *Target);
    }
    return Target;
  }
};

class HomeStrategy : public BaselineStrategy {
public:
  std::string name() const override { return "b-home"; }

protected:
  size_t serverOf(size_t, const Request &Given) override {
    return indexOf(rendezvousChoice(Given.Flow.value(), View));
  }

  const UpstreamConfig *upstreamOf(Node &At, const Request &Given) override {
    const UpstreamConfig *Target = pinned(At, Given);
    if (Target == nullptr) {
      Target = leastLoaded(At, Given);
      if (Target != nullptr)
        pin(At, Given, *Target);
    }
    return Target;
  }
};

class OwnerStrategy : public BaselineStrategy {
public:
  std::string name() const override { return "c-owner"; }

protected:
  size_t serverOf(size_t Ingress, const Request &Given) override {
    const UpstreamConfig *Target = hashed(Nodes[Ingress], Given);
    return Target == nullptr
               ? Ingress
               : indexOf(rendezvousChoice(Target->Id.value(), View));
  }

  const UpstreamConfig *upstreamOf(Node &At, const Request &Given) override {
    return hashed(At, Given);
  }
};

class OracleStrategy : public HomeStrategy {
public:
  std::string name() const override { return "oracle"; }
  void kill(size_t) override {}
  void leave(size_t) override {}
  void join(size_t) override {}

protected:
  size_t serverOf(size_t, const Request &) override { return 0; }
};

} // namespace

std::unique_ptr<Strategy> makeLocalHashStrategy() {
  return std::make_unique<LocalHashStrategy>();
}
std::unique_ptr<Strategy> makeHomeStrategy() {
  return std::make_unique<HomeStrategy>();
}
std::unique_ptr<Strategy> makeOwnerStrategy() {
  return std::make_unique<OwnerStrategy>();
}
std::unique_ptr<Strategy> makeOracleStrategy() {
  return std::make_unique<OracleStrategy>();
}

} // namespace indigopoint::measure
