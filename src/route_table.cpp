#include "route_table.h"

#include <numeric>
#include <utility>

namespace indigopoint {

RouteTable::Change RouteTable::apply(RouteConfiguration Next) {
  Change Done;
  if (Loaded && Next.Version <= Version)
    return Done;
  decltype(Routes) Replaced;
  for (Route &Each : Next.Routes) {
    if (Routes.count(Each.Address) == 0)
      ++Done.Added;
    const Endpoint Address = Each.Address;
    Replaced.insert_or_assign(Address, std::move(Each));
  }
  Done.Removed = Routes.size() + Done.Added - Replaced.size();
  Done.Applied = true;
  Routes = std::move(Replaced);
  Version = Next.Version;
  IdleTimeout = Next.IdleTimeout;
  Loaded = true;
  return Done;
}

const Route *RouteTable::find(Endpoint Address) const {
  const auto Found = Routes.find(Address);
  return Found == Routes.end() ? nullptr : &Found->second;
}

const RouteShare *RouteTable::chooseShare(const Route &From,
                                          const FlowAddress &Flow) {
  const uint64_t Total = std::accumulate(
      From.Shares.begin(), From.Shares.end(), uint64_t{0},
      [](uint64_t Sum, const RouteShare &Each) { return Sum + Each.Weight; });
  if (Total == 0)
    return nullptr;
  // The low bits of the hash choose the router's instance on some platforms,
  // so the high bits choose the service.
  uint64_t Position = (hashOf(Flow) >> 32) % Total;
  for (const RouteShare &Each : From.Shares) {
    if (Position < Each.Weight)
      return &Each;
    Position -= Each.Weight;
  }
  return nullptr;
}

} // namespace indigopoint
