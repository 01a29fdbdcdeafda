#include "scenarios.h"

#include "../tests/example_service.h"

namespace indigopoint::measure {

namespace {

using std::chrono::seconds;

constexpr size_t AffectedInstance = 2;

void changeFirstService(Simulation &Sim,
                        const std::function<void(ServiceConfig &)> &Edit) {
  Edit(Sim.Config.Services.begin()->second);
  Sim.Config.Version = ConfigVersion(Sim.Config.Version.value() + 1);
  Sim.strategy().configure(Sim.Config);
}

// Removes one upstream from the configuration and adds it after 10 s.
void addUpstream(Simulation &Sim) {
  const UpstreamConfig NewUpstream =
      Sim.Config.Services.begin()->second.Upstreams.back();
  changeFirstService(
      Sim, [](ServiceConfig &Service) { Service.Upstreams.pop_back(); });
  Sim.allowFlowMoves(NewUpstream.Id);
  Sim.Time.after(seconds(10), [&Sim, NewUpstream] {
    changeFirstService(Sim, [&NewUpstream](ServiceConfig &Service) {
      Service.Upstreams.push_back(NewUpstream);
    });
  });
}

void drainUpstream(Simulation &Sim) {
  Sim.Time.after(seconds(10), [&Sim] {
    Sim.allowFlowMoves(Sim.Config.Services.begin()->second.Upstreams[3].Id);
    changeFirstService(Sim, [](ServiceConfig &Service) {
      Service.Upstreams[3].Draining = true;
    });
  });
}

void replaceInstance(Simulation &Sim) {
  Sim.Time.after(seconds(8),
                 [&Sim] { Sim.strategy().leave(AffectedInstance); });
  Sim.Time.after(seconds(16),
                 [&Sim] { Sim.strategy().join(AffectedInstance); });
}

void killInstance(Simulation &Sim) {
  Sim.Time.after(seconds(10),
                 [&Sim] { Sim.strategy().kill(AffectedInstance); });
}

void crashUpstream(Simulation &Sim) {
  Sim.Time.after(seconds(10), [&Sim] { Sim.crashUpstream(5); });
}

void leaveWhileAdding(Simulation &Sim) {
  addUpstream(Sim);
  Sim.Time.after(seconds(10),
                 [&Sim] { Sim.strategy().leave(AffectedInstance); });
}

void killWhileDraining(Simulation &Sim) {
  drainUpstream(Sim);
  Sim.Time.after(seconds(10),
                 [&Sim] { Sim.strategy().kill(AffectedInstance); });
}

} // namespace

Configuration exampleConfiguration() {
  Configuration Config;
  Config.Version = ConfigVersion(1);
  for (size_t Index = 0; Index < 4; ++Index)
    Config.Zones.push_back({exampleZone(Index), "lim"});
  for (const ServiceConfig &Service :
       {exampleService(1, "chat-core", Priority::Interactive, 14, 20000),
        exampleService(2, "media-shelf", Priority::Bulk, 4, 21000)})
    Config.Services[Service.Id] = Service;
  return Config;
}

std::vector<Scenario> allScenarios() {
  return {{"steady", true, [](Simulation &) {}},
          {"upstream-added", true, addUpstream},
          {"upstream-drained", true, drainUpstream},
          {"instance-replaced", true, replaceInstance},
          {"leave-and-add", true, leaveWhileAdding},
          {"instance-killed", false, killInstance},
          {"upstream-crashed", false, crashUpstream},
          {"kill-and-drain", false, killWhileDraining}};
}

} // namespace indigopoint::measure
