#include "service_metrics_cache.h"

#include "blackboard.h"

namespace indigopoint {

ServiceMetrics &ServiceMetricsCache::metricsOf(ServiceId Service) {
  const auto Known = Cached.find(Service);
  if (Known != Cached.end())
    return *Known->second;
  const auto It = Board.Config.Services.find(Service);
  // Ids of unknown services come from the network and are not cached.
  if (It == Board.Config.Services.end())
    return Board.EngineMetrics.Services["unknown"];
  const ServiceConfig &Config = It->second;
  ServiceMetrics &Found =
      Board.EngineMetrics.Services[Config.Tenant + "/" + Config.Name];
  Cached[Service] = &Found;
  return Found;
}

} // namespace indigopoint
