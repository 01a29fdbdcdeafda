#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "route_plan.h"

namespace indigopoint {

/// One difference between two configurations of routes.
struct RouteChange {
  enum class Kind : uint8_t { Added, Removed, Changed };
  enum class Subject : uint8_t { Route, Service, Limits, File };

  Kind ChangeKind = Kind::Changed;
  Subject ChangedSubject = Subject::Route;
  /// Of the route or service.
  std::string Name{};
  /// Of the route.
  std::string Address{};
  /// The key whose value changed; empty if all of the subject is new or gone.
  std::string Key{};
  std::string Old{};
  std::string New{};
};

std::string_view nameOf(RouteChange::Kind Kind);
std::string_view nameOf(RouteChange::Subject Subject);

/// One line: "+" added, "-" removed, "~" changed.
std::string toString(const RouteChange &Change);

/// Lists what turns \p Old into \p New. Routes are compared by address.
std::vector<RouteChange> differenceOf(const RoutePlan &Old,
                                      const RoutePlan &New,
                                      const RouteFileKeys &Keys);

/// The share of the new flows of the routes of \p Old that \p New refuses or
/// sends to other services, from 0 to 1. All routes count alike.
double movedShare(const RouteConfiguration &Old, const RouteConfiguration &New);

/// Finds a version that does not rise although there is a difference, services
/// that lose all their routes and changes that move most of the flows.
void checkChange(const RoutePlan &Old, const RoutePlan &New,
                 const std::vector<RouteChange> &Difference,
                 const RouteFileKeys &Keys, RouteFindings &Out);

} // namespace indigopoint
