#include "service_metrics_cache.h"

#include "blackboard.h"

namespace indigopoint {

ServiceMetrics &ServiceMetricsCache::metricsOf(ServiceId Service) {
  const auto CacheIt = Cache.find(Service);
  if (CacheIt != Cache.end())
    return *CacheIt->second;
  const auto It = Board.Config.Services.find(Service);
  // Ids of unknown services come from the network and could fill the cache
  // without limit, so they are not cached.
  if (It == Board.Config.Services.end())
    return Board.EngineMetrics.Services["unknown"];
  const ServiceConfig &Config = It->second;
  ServiceMetrics &ServiceEntry =
      Board.EngineMetrics.Services[Config.Tenant + "/" + Config.Name];
  Cache[Service] = &ServiceEntry;
  return ServiceEntry;
}

} // namespace indigopoint
