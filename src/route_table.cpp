#include "route_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace indigopoint {

RouteTable::Change RouteTable::apply(RouteConfiguration NewConfiguration) {
  if (HasConfiguration && NewConfiguration.Version <= Version)
    return {};
  return replace(std::move(NewConfiguration));
}

RouteTable::Change RouteTable::replace(RouteConfiguration NewConfiguration) {
  Change Result;
  decltype(Routes) NewRoutes;
  std::set<std::string> NewNames;
  for (const auto &[Name, Settings] : NewConfiguration.Services)
    NewNames.insert(Name);
  for (Route &NewRoute : NewConfiguration.Routes) {
    if (Routes.count(NewRoute.Address) == 0)
      ++Result.Added;
    for (const RouteShare &Share : NewRoute.Shares)
      NewNames.insert(Share.Service);
    const Endpoint Address = NewRoute.Address;
    NewRoutes.insert_or_assign(Address, std::move(NewRoute));
  }
  Result.Removed = Routes.size() + Result.Added - NewRoutes.size();
  Result.Applied = true;
  Routes = std::move(NewRoutes);
  Services = std::move(NewConfiguration.Services);
  NamedServices = std::move(NewNames);
  Version = NewConfiguration.Version;
  IdleTimeout = NewConfiguration.IdleTimeout;
  HasConfiguration = true;
  return Result;
}

bool RouteTable::hasSameContent(const RouteConfiguration &Configuration) const {
  return Configuration.IdleTimeout == IdleTimeout &&
         Configuration.Services == Services &&
         Configuration.Routes.size() == Routes.size() &&
         std::all_of(Configuration.Routes.begin(), Configuration.Routes.end(),
                     [this](const Route &Other) {
                       const Route *Own = find(Other.Address);
                       return Own != nullptr && *Own == Other;
                     });
}

const Route *RouteTable::find(Endpoint Address) const {
  const auto It = Routes.find(Address);
  return It == Routes.end() ? nullptr : &It->second;
}

const ServiceSettings &RouteTable::service(const std::string &Name) const {
  static const ServiceSettings Defaults;
  const auto It = Services.find(Name);
  return It == Services.end() ? Defaults : It->second;
}

const RouteShare *RouteTable::chooseShare(const Route &MatchedRoute,
                                          const FlowAddress &Flow) {
  const uint64_t Total = std::accumulate(
      MatchedRoute.Shares.begin(), MatchedRoute.Shares.end(), uint64_t{0},
      [](uint64_t Sum, const RouteShare &Share) { return Sum + Share.Weight; });
  if (Total == 0)
    return nullptr;
  // On some platforms, routers choose the instance by the low bits of the hash.
  // The high bits choose the service, so that the two choices are independent.
  uint64_t Position = (hashOf(Flow) >> 32) % Total;
  for (const RouteShare &Share : MatchedRoute.Shares) {
    if (Position < Share.Weight)
      return &Share;
    Position -= Share.Weight;
  }
  return nullptr;
}

} // namespace indigopoint
