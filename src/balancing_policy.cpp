#include "balancing_policy.h"

#include <tuple>

#include "placement.h"
#include "random_source.h"
#include "zone_capacity.h"

namespace indigopoint {

namespace {

constexpr double StartingShare = 0.5;

// A smaller loss than this is left to the other upstreams of the zone: a flow
// between zones is silenced by a cut of either.
constexpr double LeastLossToSpill = 0.3;

double slotsOf(const Upstream &Given, TimePoint Now) {
  return Given.Registration.Slots * (Given.WarmupEnd > Now ? StartingShare : 1);
}

class ZoneFirst {
public:
  explicit ZoneFirst(std::string Zone) : Zone(std::move(Zone)) {}

  Upstream *choose(const std::vector<Upstream *> &Usable, const NewFlow &Given,
                   TimePoint Now);

private:
  bool leavesZone(const std::vector<Upstream *> &Usable, uint64_t Hash,
                  TimePoint Now);

  std::string Zone;
  ZoneCapacity Capacity;
};

// The upstreams that are left would get the flows of those that were lost.
// All copies of a flow have the same hash.
bool ZoneFirst::leavesZone(const std::vector<Upstream *> &Usable, uint64_t Hash,
                           TimePoint Now) {
  double Here = 0;
  for (const Upstream *Each : Usable)
    if (Each->Registration.Zone == Zone && !Each->Reachability.isSuspect(Now))
      Here += slotsOf(*Each, Now);
  const double Missing =
      Capacity.missingShare(Usable.front()->Registration.Service, Here, Now);
  return Missing >= LeastLossToSpill && fractionOf(Hash) < Missing;
}

Upstream *ZoneFirst::choose(const std::vector<Upstream *> &Usable,
                            const NewFlow &Given, TimePoint Now) {
  if (Usable.empty())
    return nullptr;
  const uint64_t Hash = hashOf(Given.Address);
  const bool Leaves = leavesZone(Usable, Hash, Now);
  Upstream *Best = nullptr;
  std::tuple<bool, bool, bool, double, uint64_t> BestScore;
  for (Upstream *Each : Usable) {
    const UpstreamRegistration &Said = Each->Registration;
    // The hash lets instances that know equally little of the load choose
    // differently for different flows.
    const std::tuple Score(
        Said.Id == Given.UpstreamToAvoid, Each->Reachability.isSuspect(Now),
        (Said.Zone == Zone) == Leaves, flowsPerSlot(*Each, Now),
        rendezvousScore(Hash, Said.Id.value()));
    if (Best == nullptr || Score < BestScore) {
      Best = Each;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace

double flowsPerSlot(const Upstream &Given, TimePoint Now) {
  return (Given.OpenFlows + 1) / slotsOf(Given, Now);
}

BalancingPolicy makeZoneAwareLeastFlowsPolicy(std::string Zone) {
  return
      [Chooser = ZoneFirst(std::move(Zone))](
          const std::vector<Upstream *> &Usable, const NewFlow &Given,
          TimePoint Now) mutable { return Chooser.choose(Usable, Given, Now); };
}

} // namespace indigopoint
