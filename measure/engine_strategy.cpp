#include "engine_strategy.h"

#include <tuple>

#include "../tests/engine_fixture.h"
#include "../tests/example_service.h"
#include "scenarios.h"
#include "wire_codec.h"

namespace indigopoint::measure {

namespace {

// The clock of the engines follows the simulation clock in steps of this
// length.
constexpr Duration Step = std::chrono::milliseconds(1);

std::string nameOfInstance(size_t Index) {
  return exampleZone(Index) + "-" + std::to_string(Index);
}

bool isControlMessage(const Message &Body) {
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

  void start(Simulation &Sim, const Configuration &Config,
             size_t Count) override {
    CurrentSimulation = &Sim;
    Network.OnExternalDatagram = [this](EngineNetwork::Node &From,
                                        Endpoint Destination,
                                        const Message &Body) {
      handleExternalDatagram(From.Settings.Name, Destination, Body);
    };
    Network.OnDatagram = [this](EngineNetwork::Node &, EngineNetwork::Node &,
                                const Message &Body) {
      countControlBytes(Body);
      return true;
    };
    for (size_t Index = 0; Index < Count; ++Index)
      Network.start(nameOfInstance(Index), exampleZone(Index));
    publishConfiguration(Config);
    advance();
  }

  void onRequest(size_t Instance, Endpoint Caller,
                 const Request &Body) override {
    Network.inject(Caller, nameOfInstance(Instance), Body);
  }

  // Forwards the result to the instance that sent the dispatch.
  void onDispatchResult(Endpoint Upstream,
                        const DispatchResult &Result) override {
    const auto It =
        SenderOfDispatch.find({Upstream, Result.Connection, Result.Id});
    if (It == SenderOfDispatch.end())
      return;
    Network.inject(Upstream, It->second, Result);
    SenderOfDispatch.erase(It);
  }

  void configure(const Configuration &Config) override {
    publishConfiguration(Config);
  }
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
    const EngineNetwork::Node &InstanceNode =
        Network.Nodes.at(nameOfInstance(Instance));
    return InstanceNode.Engine != nullptr && !InstanceNode.Stopped;
  }

  uint64_t controlBytes() const override { return ControlByteCount; }

private:
  void publishConfiguration(const Configuration &Config) {
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
    for (auto &[Name, InstanceNode] : Network.Nodes)
      if (InstanceNode.Stopped)
        InstanceNode.Engine.reset();
    CurrentSimulation->Time.after(Step, [this] { advance(); });
  }

  void handleExternalDatagram(const std::string &From, Endpoint Destination,
                              const Message &Body) {
    if (const auto *Answer = std::get_if<Reply>(&Body)) {
      CurrentSimulation->toCaller(*Answer);
    } else if (const auto *DispatchBody = std::get_if<Dispatch>(&Body)) {
      SenderOfDispatch[{Destination, DispatchBody->Connection,
                        DispatchBody->Id}] = From;
      CurrentSimulation->toUpstream(Destination, *DispatchBody);
    } else if (const auto *PingBody = std::get_if<Ping>(&Body)) {
      Network.inject(Destination, From, Pong{PingBody->Connection});
    }
  }

  void countControlBytes(const Message &Body) {
    if (!isControlMessage(Body))
      return;
    encodeDatagram({}, Body, Buffer);
    ControlByteCount += Buffer.size();
  }

  Simulation *CurrentSimulation = nullptr;
  EngineNetwork Network;
  std::map<std::tuple<Endpoint, ConnectionId, DispatchId>, std::string>
      SenderOfDispatch;
  std::string Buffer;
  uint64_t ControlByteCount = 0;
};

} // namespace

std::unique_ptr<Strategy> makeEngineStrategy() {
  return std::make_unique<EngineStrategy>();
}

} // namespace indigopoint::measure
