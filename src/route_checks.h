#pragma once

#include <map>
#include <string>

#include "route_plan.h"

namespace indigopoint {

/// The number of upstreams that take new flows, by service.
using UpstreamCounts = std::map<std::string, size_t>;

/// Checks a configuration for entries without effect and for limits that
/// contradict each other.
void checkRoutes(const RoutePlan &Plan, const RouteFileKeys &Keys,
                 RouteFindings &Out);

/// Warns of services that routes use and that have no upstream.
void checkUpstreams(const RoutePlan &Plan, const RouteFileKeys &Keys,
                    const UpstreamCounts &Upstreams, RouteFindings &Out);

} // namespace indigopoint
