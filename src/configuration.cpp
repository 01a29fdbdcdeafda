#include "configuration.h"

namespace indigopoint {

bool applyChange(const ConfigChange &Change, Configuration &Config) {
  if (Change.Version.value() != Config.Version.value() + 1)
    return false;
  if (Change.Zones)
    Config.Zones = *Change.Zones;
  for (ServiceId Id : Change.RemovedServices)
    Config.Services.erase(Id);
  for (const ServiceConfig &Service : Change.ChangedServices)
    Config.Services[Service.Id] = Service;
  Config.Version = Change.Version;
  return true;
}

ConfigIndex::ConfigIndex(const Configuration &Config) {
  for (const auto &[Id, Service] : Config.Services)
    for (const UpstreamConfig &Upstream : Service.Upstreams)
      Upstreams[Upstream.Id] = {&Service, &Upstream};
}

ConfigIndex::UpstreamRef ConfigIndex::upstream(UpstreamId Id) const {
  const auto It = Upstreams.find(Id);
  return It == Upstreams.end() ? UpstreamRef() : It->second;
}

} // namespace indigopoint
