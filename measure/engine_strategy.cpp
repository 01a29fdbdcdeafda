#include "engine_strategy.h"

#include <tuple>

#include "../tests/engine_fixture.h"
#include "../tests/example_service.h"
#include "scenarios.h"
#include "wire_codec.h"

namespace indigopoint::measure {

namespace {

// The engines' clock follows the world's in steps of this length.
constexpr Duration Step = std::chrono::milliseconds(1);

std::string nameOfInstance(size_t Index) {
  return exampleZone(Index) + "-" + std::to_string(Index);
}

bool isControl(const Message &Body) {
  return std::holds_alternative<LoadReport>(Body) ||
         std::holds_alternative<PinReplica>(Body) ||
         std::holds_alternative<Probe>(Body) ||
         std::holds_alternative<ProbeAck>(Body) ||
         std::holds_alternative<IndirectProbe>(Body) ||
         std::holds_alternative<HandoverBatch>(Body) ||
         std::holds_alternative<HandoverAck>(Body) ||
         std::holds_alternative<ConfigPull>(Body) ||
         std::holds_alternative<ConfigChunk>(Body);
}

class EngineStrategy : public Strategy {
public:
  std::string name() const override { return "indigopoint"; }

  void start(Simulation &Given, const Configuration &Config,
             size_t Count) override {
    Surroundings = &Given;
    Network.OnExternalDatagram = [this](EngineNetwork::Node &From, Endpoint To,
                                        const Message &Body) {
      leaveFleet(From.Settings.Name, To, Body);
    };
    Network.OnDatagram = [this](EngineNetwork::Node &, EngineNetwork::Node &,
                                const Message &Body) {
      countControl(Body);
      return true;
    };
    for (size_t Index = 0; Index < Count; ++Index)
      Network.start(nameOfInstance(Index), exampleZone(Index));
    accept(Config);
    advance();
  }

  void onRequest(size_t Instance, Endpoint Caller,
                 const Request &Given) override {
    Network.inject(Caller, nameOfInstance(Instance), Given);
  }

  // An upstream answers the instance that dispatched to it.
  void onDispatchResult(Endpoint Upstream,
                        const DispatchResult &Result) override {
    const auto It = Dispatched.find({Upstream, Result.Connection, Result.Id});
    if (It == Dispatched.end())
      return;
    Network.inject(Upstream, It->second, Result);
    Dispatched.erase(It);
  }

  void configure(const Configuration &Config) override { accept(Config); }
  void kill(size_t Instance) override {
    Network.kill(nameOfInstance(Instance));
  }

  void leave(size_t Instance) override {
    Network.handle(Network.node(nameOfInstance(Instance)), DrainRequested{});
  }

  void join(size_t Instance) override {
    Network.restart(nameOfInstance(Instance));
  }

  bool isReachable(size_t Instance) const override {
    const EngineNetwork::Node &At = Network.Nodes.at(nameOfInstance(Instance));
    return At.Engine != nullptr && !At.Stopped;
  }

  uint64_t controlBytes() const override { return Control; }

private:
  void accept(const Configuration &Config) {
    ConfigChange Change;
    Change.Version = Config.Version;
    Change.ChangeId = "change-" + std::to_string(Config.Version.value());
    Change.Zones = Config.Zones;
    for (const auto &[Id, Service] : Config.Services)
      Change.ChangedServices.push_back(Service);
    Network.publishChange(Change);
  }

  void advance() {
    Network.run(Step);
    for (auto &[Name, At] : Network.Nodes)
      if (At.Stopped)
        At.Engine.reset();
    Surroundings->Time.after(Step, [this] { advance(); });
  }

  void leaveFleet(const std::string &From, Endpoint To, const Message &Body) {
    if (const auto *Answer = std::get_if<Reply>(&Body)) {
      Surroundings->toCaller(*Answer);
    } else if (const auto *Work = std::get_if<Dispatch>(&Body)) {
      Dispatched[{To, Work->Connection, Work->Id}] = From;
      Surroundings->toUpstream(To, *Work);
    } else if (const auto *Asked = std::get_if<Ping>(&Body)) {
      Network.inject(To, From, Pong{Asked->Connection});
    }
  }

  void countControl(const Message &Body) {
    if (!isControl(Body))
      return;
    encodeDatagram({}, Body, Buffer);
    Control += Buffer.size();
  }

  Simulation *Surroundings = nullptr;
  EngineNetwork Network;
  std::map<std::tuple<Endpoint, ConnectionId, DispatchId>, std::string>
      Dispatched;
  std::string Buffer;
  uint64_t Control = 0;
};

} // namespace

std::unique_ptr<Strategy> makeEngineStrategy() {
  return std::make_unique<EngineStrategy>();
}

} // namespace indigopoint::measure
