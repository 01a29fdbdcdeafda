#include "change_set.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace indigopoint {

namespace {

// Upstreams are compared by name, because their order in the files has no
// meaning.
ServiceConfig sorted(ServiceConfig Service) {
  std::sort(Service.Upstreams.begin(), Service.Upstreams.end(),
            [](const UpstreamConfig &A, const UpstreamConfig &B) {
              return A.Name < B.Name;
            });
  return Service;
}

std::string textOf(bool Value) { return Value ? "true" : "false"; }
std::string textOf(const std::string &Value) { return Value; }
std::string textOf(const Endpoint &Value) { return toString(Value); }
std::string textOf(Priority Value) { return std::string(nameOf(Value)); }
std::string textOf(uint32_t Value) { return std::to_string(Value); }
std::string textOf(ServiceId Value) { return std::to_string(Value.value()); }
std::string textOf(double Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}
std::string textOf(Duration Value) {
  return textOf(std::chrono::duration<double>(Value).count()) + " s";
}

// Collects the lines that describe the changed fields of one object.
class ChangeLines {
public:
  explicit ChangeLines(std::string ObjectName)
      : ObjectName(std::move(ObjectName)) {}

  template <typename Value>
  void compare(std::string_view Name, const Value &Old, const Value &New) {
    if (Old != New)
      Text += "~ " + ObjectName + " " + std::string(Name) + ": " + textOf(Old) +
              " -> " + textOf(New) + "\n";
  }

  std::string Text;

private:
  std::string ObjectName;
};

std::string describe(const std::string &ObjectName, const UpstreamConfig &Old,
                     const UpstreamConfig &New) {
  ChangeLines Out(ObjectName + "/" + New.Name);
  Out.compare("zone", Old.Zone, New.Zone);
  Out.compare("address", Old.Address, New.Address);
  Out.compare("admin", Old.Admin, New.Admin);
  Out.compare("slots", Old.Slots, New.Slots);
  Out.compare("connections", Old.Connections, New.Connections);
  Out.compare("draining", Old.Draining, New.Draining);
  return Out.Text;
}

std::string upstreamLabel(const std::string &Service,
                          const UpstreamConfig &Upstream) {
  return Service + "/" + Upstream.Name + " (" + Upstream.Zone + ", " +
         toString(Upstream.Address) + ")\n";
}

std::string describeUpstreams(const ServiceConfig &Old,
                              const ServiceConfig &New) {
  std::map<std::string, const UpstreamConfig *> RemovedUpstreams;
  for (const UpstreamConfig &Upstream : Old.Upstreams)
    RemovedUpstreams[Upstream.Name] = &Upstream;
  std::string Text;
  for (const UpstreamConfig &Upstream : sorted(New).Upstreams) {
    const auto It = RemovedUpstreams.find(Upstream.Name);
    if (It == RemovedUpstreams.end()) {
      Text += "+ " + upstreamLabel(New.Name, Upstream);
      continue;
    }
    Text += describe(New.Name, *It->second, Upstream);
    RemovedUpstreams.erase(It);
  }
  for (const auto &[Name, Removed] : RemovedUpstreams)
    Text += "- " + upstreamLabel(New.Name, *Removed);
  return Text;
}

std::string describe(const ServiceConfig &Old, const ServiceConfig &New) {
  ChangeLines Out(New.Name);
  Out.compare("name", Old.Name, New.Name);
  Out.compare("id", Old.Id, New.Id);
  Out.compare("tenant", Old.Tenant, New.Tenant);
  Out.compare("class", Old.Class, New.Class);
  Out.compare("saturation", Old.Saturation, New.Saturation);
  Out.compare("queueLimit", Old.QueueLimit, New.QueueLimit);
  Out.compare("warmup", Old.Warmup, New.Warmup);
  Out.compare("drainGrace", Old.DrainGrace, New.DrainGrace);
  Out.compare("idleTimeout", Old.IdleTimeout, New.IdleTimeout);
  return Out.Text + describeUpstreams(Old, New);
}

std::string describeZones(const Configuration &Old, const Configuration &New) {
  std::string Text;
  const auto Report = [&](char Sign, const std::vector<ZoneConfig> &Zones,
                          const std::vector<ZoneConfig> &Others) {
    for (const ZoneConfig &Zone : Zones)
      if (std::find(Others.begin(), Others.end(), Zone) == Others.end())
        Text += std::string(1, Sign) + " zone " + Zone.Name + " (" +
                Zone.Region + ")\n";
  };
  Report('-', Old.Zones, New.Zones);
  Report('+', New.Zones, Old.Zones);
  if (Text.empty() && Old.Zones != New.Zones)
    Text = "~ order of the zones\n";
  return Text;
}

std::string serviceLabel(const ServiceConfig &Service) {
  return "service " + Service.Name + " (" + Service.Tenant + ", id " +
         std::to_string(Service.Id.value()) + ", " +
         std::to_string(Service.Upstreams.size()) + " upstreams)\n";
}

} // namespace

ConfigChange differenceOf(const Configuration &Old, const Configuration &New) {
  ConfigChange Change;
  Change.Version = ConfigVersion(Old.Version.value() + 1);
  if (Old.Zones != New.Zones)
    Change.Zones = New.Zones;
  for (const auto &[Id, Service] : Old.Services)
    if (!New.Services.contains(Id))
      Change.RemovedServices.push_back(Id);
  for (const auto &[Id, Service] : New.Services) {
    const auto It = Old.Services.find(Id);
    if (It == Old.Services.end() || sorted(It->second) != sorted(Service))
      Change.ChangedServices.push_back(Service);
  }
  return Change;
}

bool isEmpty(const ConfigChange &Change) {
  return !Change.Zones && Change.ChangedServices.empty() &&
         Change.RemovedServices.empty();
}

std::string describeDifference(const Configuration &Old,
                               const Configuration &New) {
  std::string Text = describeZones(Old, New);
  for (const auto &[Id, Service] : Old.Services)
    if (!New.Services.contains(Id))
      Text += "- " + serviceLabel(Service);
  for (const auto &[Id, Service] : New.Services) {
    const auto It = Old.Services.find(Id);
    Text += It == Old.Services.end() ? "+ " + serviceLabel(Service)
                                     : describe(It->second, Service);
  }
  return Text;
}

std::vector<std::string> breakingChanges(const Configuration &Old,
                                         const Configuration &New) {
  const ConfigIndex NewIndex(New);
  std::map<Endpoint, const ServiceConfig *> ServiceByAddress;
  for (const auto &[Id, Service] : New.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams)
      ServiceByAddress[Upstream.Address] = &Service;
  std::vector<std::string> Problems;
  for (const auto &[Id, Service] : Old.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams) {
      const std::string Name = Service.Name + "/" + Upstream.Name;
      if (!Upstream.Draining &&
          NewIndex.upstream(Upstream.Id).Upstream == nullptr)
        Problems.push_back(Name +
                           " is removed without draining, which breaks "
                           "its flows; set \"draining\": true, apply, and "
                           "remove it once its flows have moved");
      const auto NewService = ServiceByAddress.find(Upstream.Address);
      if (NewService != ServiceByAddress.end() && NewService->second->Id != Id)
        Problems.push_back(
            toString(Upstream.Address) + " moves from " + Name +
            " to service " + NewService->second->Name +
            ", and instances with the old configuration would "
            "send this address requests of " +
            Service.Name +
            "; remove it in one change and add it in a later one");
    }
  return Problems;
}

} // namespace indigopoint
