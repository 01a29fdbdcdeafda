#pragma once

#include <unordered_map>

#include "types.h"

namespace indigopoint {

struct Blackboard;
struct ServiceMetrics;

/// Caches the metrics of each service, so that the name of the service is not
/// built for each packet.
class ServiceMetricsCache {
public:
  explicit ServiceMetricsCache(Blackboard &Board) : Board(Board) {}

  /// The metrics of \p Service, or those of "unknown" if the service is not
  /// configured.
  ServiceMetrics &metricsOf(ServiceId Service);

  /// Clears the cache after a change of the configuration, which may have
  /// renamed services.
  void clear() { Cache.clear(); }

private:
  Blackboard &Board;
  std::unordered_map<ServiceId, ServiceMetrics *> Cache;
};

} // namespace indigopoint
