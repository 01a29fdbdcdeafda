#pragma once

#include <unordered_map>

#include "types.h"

namespace indigopoint {

struct Blackboard;
struct ServiceMetrics;

/// Finds the metrics of a service without building its name for each packet.
class ServiceMetricsCache {
public:
  explicit ServiceMetricsCache(Blackboard &Board) : Board(Board) {}

  /// The metrics of a service; those of "unknown" if it is not configured.
  ServiceMetrics &metricsOf(ServiceId Service);

  /// The configuration changed, and with it perhaps names of services.
  void clear() { Cached.clear(); }

private:
  Blackboard &Board;
  std::unordered_map<ServiceId, ServiceMetrics *> Cached;
};

} // namespace indigopoint
