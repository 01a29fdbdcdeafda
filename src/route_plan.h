#pragma once

#include <string_view>

#include "json_document.h"
#include "route_table.h"

namespace indigopoint {

/// The keys of a file with routes.
struct RouteFileKeys {
  std::string_view Version;
  std::string_view Routes;
  std::string_view Services;
  std::string_view Limits;
  /// Of a route, a share and a service.
  std::string_view Name;
  std::string_view Service;
  std::string_view Shares;
  std::string_view Weight;
  std::string_view Aim;
  std::string_view TimeLimit;
  std::string_view Priority;
  std::string_view WarmupRate;
  std::string_view IdleTimeout;
};

/// A configuration of routes and the file that it was read from.
struct RoutePlan {
  JsonNode Source;
  /// The routes are in the order of the file.
  RouteConfiguration Content;
};

/// What was found in a file. A file with errors must not be applied.
struct RouteFindings {
  SiteErrors Errors;
  SiteErrors Warnings;
};

} // namespace indigopoint
