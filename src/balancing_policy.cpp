#include "balancing_policy.h"

#include <tuple>

#include "placement.h"
#include "random_source.h"
#include "zone_capacity.h"

namespace indigopoint {

namespace {

constexpr double WarmupShare = 0.5;

// If the zone lost less than this share of its slots, its flows stay in the
// zone, because a flow between two zones fails if either zone is cut off.
constexpr double MinLossForOtherZones = 0.3;

double slotsOf(const Upstream &Target, TimePoint Now) {
  return Target.Registration.Slots * (Target.WarmupEnd > Now ? WarmupShare : 1);
}

class ZoneAwareLeastFlows {
public:
  explicit ZoneAwareLeastFlows(std::string Zone) : Zone(std::move(Zone)) {}

  Upstream *choose(const std::vector<Upstream *> &Candidates,
                   const NewFlow &Flow, TimePoint Now);

private:
  bool decideWhetherToUseOtherZone(const std::vector<Upstream *> &Candidates,
                                   uint64_t Hash, TimePoint Now);

  std::string Zone;
  ZoneCapacity Capacity;
};

// Sends part of the flows to other zones, since the remaining upstreams of this
// zone would otherwise receive all flows of the lost ones. The decision is made
// by the hash of the flow, so that it is the same for retransmissions.
bool ZoneAwareLeastFlows::decideWhetherToUseOtherZone(
    const std::vector<Upstream *> &Candidates, uint64_t Hash, TimePoint Now) {
  double ZoneSlots = 0;
  for (const Upstream *Candidate : Candidates)
    if (Candidate->Registration.Zone == Zone &&
        !Candidate->Reachability.isSuspect(Now))
      ZoneSlots += slotsOf(*Candidate, Now);
  const double MissingShare = Capacity.recordSlotsAndGetMissingShare(
      Candidates.front()->Registration.Service, ZoneSlots, Now);
  return MissingShare >= MinLossForOtherZones &&
         fractionOf(Hash) < MissingShare;
}

Upstream *ZoneAwareLeastFlows::choose(const std::vector<Upstream *> &Candidates,
                                      const NewFlow &Flow, TimePoint Now) {
  if (Candidates.empty())
    return nullptr;
  const uint64_t Hash = hashOf(Flow.Address);
  const bool UseOtherZone = decideWhetherToUseOtherZone(Candidates, Hash, Now);
  Upstream *BestCandidate = nullptr;
  std::tuple<bool, bool, bool, double, uint64_t> BestScore;
  for (Upstream *Candidate : Candidates) {
    const UpstreamRegistration &Registration = Candidate->Registration;
    // The hash breaks ties, so that instances without load information spread
    // different flows over different upstreams.
    const std::tuple Score(Registration.Id == Flow.UpstreamToAvoid,
                           Candidate->Reachability.isSuspect(Now),
                           (Registration.Zone == Zone) == UseOtherZone,
                           flowsPerSlot(*Candidate, Now),
                           rendezvousScore(Hash, Registration.Id.value()));
    if (BestCandidate == nullptr || Score < BestScore) {
      BestCandidate = Candidate;
      BestScore = Score;
    }
  }
  return BestCandidate;
}

} // namespace

double flowsPerSlot(const Upstream &Target, TimePoint Now) {
  return (Target.OpenFlows + 1) / slotsOf(Target, Now);
}

BalancingPolicy makeZoneAwareLeastFlowsPolicy(std::string Zone) {
  return [Policy = ZoneAwareLeastFlows(std::move(Zone))](
             const std::vector<Upstream *> &Candidates, const NewFlow &Flow,
             TimePoint Now) mutable {
    return Policy.choose(Candidates, Flow, Now);
  };
}

} // namespace indigopoint
