#include "change_set.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace indigopoint {

namespace {

// Upstreams are compared by name: their order in the files means nothing.
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

// Collects the lines below one heading.
class Lines {
public:
  explicit Lines(std::string Place) : Place(std::move(Place)) {}

  template <typename Value>
  void compare(std::string_view Name, const Value &Old, const Value &New) {
    if (Old != New)
      Text += "~ " + Place + " " + std::string(Name) + ": " + textOf(Old) +
              " -> " + textOf(New) + "\n";
  }

  std::string Text;

private:
  std::string Place;
};

std::string describe(const std::string &Place, const UpstreamConfig &Old,
                     const UpstreamConfig &New) {
  Lines Out(Place + "/" + New.Name);
  Out.compare("zone", Old.Zone, New.Zone);
  Out.compare("address", Old.Address, New.Address);
  Out.compare("admin", Old.Admin, New.Admin);
  Out.compare("slots", Old.Slots, New.Slots);
  Out.compare("connections", Old.Connections, New.Connections);
  Out.compare("draining", Old.Draining, New.Draining);
  return Out.Text;
}

std::string placeOf(const std::string &Service, const UpstreamConfig &Up) {
  return Service + "/" + Up.Name + " (" + Up.Zone + ", " +
         toString(Up.Address) + ")\n";
}

std::string describeUpstreams(const ServiceConfig &Old,
                              const ServiceConfig &New) {
  std::map<std::string, const UpstreamConfig *> Before;
  for (const UpstreamConfig &Each : Old.Upstreams)
    Before[Each.Name] = &Each;
  std::string Text;
  for (const UpstreamConfig &Each : sorted(New).Upstreams) {
    const auto It = Before.find(Each.Name);
    if (It == Before.end()) {
      Text += "+ " + placeOf(New.Name, Each);
      continue;
    }
    Text += describe(New.Name, *It->second, Each);
    Before.erase(It);
  }
  for (const auto &[Name, Gone] : Before)
    Text += "- " + placeOf(New.Name, *Gone);
  return Text;
}

std::string describe(const ServiceConfig &Old, const ServiceConfig &New) {
  Lines Out(New.Name);
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

std::string label(const ServiceConfig &Service) {
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
      Text += "- " + label(Service);
  for (const auto &[Id, Service] : New.Services) {
    const auto It = Old.Services.find(Id);
    Text += It == Old.Services.end() ? "+ " + label(Service)
                                     : describe(It->second, Service);
  }
  return Text;
}

std::vector<std::string> breakingChanges(const Configuration &Old,
                                         const Configuration &New) {
  const ConfigIndex Kept(New);
  std::map<Endpoint, const ServiceConfig *> Users;
  for (const auto &[Id, Service] : New.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams)
      Users[Upstream.Address] = &Service;
  std::vector<std::string> Found;
  for (const auto &[Id, Service] : Old.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams) {
      const std::string Name = Service.Name + "/" + Upstream.Name;
      if (!Upstream.Draining && Kept.upstream(Upstream.Id).Upstream == nullptr)
        Found.push_back(Name + " is removed but does not drain, which breaks "
                               "its flows; set \"draining\": true, apply, and "
                               "remove it once its flows have moved");
      const auto User = Users.find(Upstream.Address);
      if (User != Users.end() && User->second->Id != Id)
        Found.push_back(toString(Upstream.Address) + " moves from " + Name +
                        " to service " + User->second->Name +
                        ", and instances that learn of it late would send it "
                        "requests of " +
                        Service.Name +
                        "; remove it in one change and add it in a later one");
    }
  return Found;
}

} // namespace indigopoint
