#include "scenarios.h"

#include "../tests/example_service.h"

namespace indigopoint::measure {

namespace {

using std::chrono::seconds;

constexpr size_t LeavingInstance = 2;

void changeFirstService(Simulation &Given,
                        const std::function<void(ServiceConfig &)> &Edit) {
  Edit(Given.Config.Services.begin()->second);
  Given.Config.Version = ConfigVersion(Given.Config.Version.value() + 1);
  Given.subject().configure(Given.Config);
}

// One upstream starts outside the configuration and joins it.
void addUpstream(Simulation &Given) {
  const UpstreamConfig Added =
      Given.Config.Services.begin()->second.Upstreams.back();
  changeFirstService(
      Given, [](ServiceConfig &Service) { Service.Upstreams.pop_back(); });
  Given.noteLeaving(Added.Id);
  Given.Time.after(seconds(10), [&Given, Added] {
    changeFirstService(Given, [&Added](ServiceConfig &Service) {
      Service.Upstreams.push_back(Added);
    });
  });
}

void drainUpstream(Simulation &Given) {
  Given.Time.after(seconds(10), [&Given] {
    Given.noteLeaving(Given.Config.Services.begin()->second.Upstreams[3].Id);
    changeFirstService(Given, [](ServiceConfig &Service) {
      Service.Upstreams[3].Draining = true;
    });
  });
}

void replaceInstance(Simulation &Given) {
  Given.Time.after(seconds(8),
                   [&Given] { Given.subject().leave(LeavingInstance); });
  Given.Time.after(seconds(16),
                   [&Given] { Given.subject().join(LeavingInstance); });
}

void killInstance(Simulation &Given) {
  Given.Time.after(seconds(10),
                   [&Given] { Given.subject().kill(LeavingInstance); });
}

void crashUpstream(Simulation &Given) {
  Given.Time.after(seconds(10), [&Given] { Given.crashUpstream(5); });
}

void leaveWhileAdding(Simulation &Given) {
  addUpstream(Given);
  Given.Time.after(seconds(10),
                   [&Given] { Given.subject().leave(LeavingInstance); });
}

void killWhileDraining(Simulation &Given) {
  drainUpstream(Given);
  Given.Time.after(seconds(10),
                   [&Given] { Given.subject().kill(LeavingInstance); });
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
