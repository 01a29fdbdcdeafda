#include "upstream_choice.h"

#include <tuple>

#include "placement.h"

namespace indigopoint {

namespace {

constexpr double StartingShare = 0.5;

} // namespace

double flowsPerSlot(const Upstream &Given, TimePoint Now) {
  const double Share = Given.WarmUntil > Now ? StartingShare : 1.0;
  return (Given.OpenFlows + 1) / (Given.Registration.Slots * Share);
}

UpstreamChoice leastFlowsZoneFirst(std::string Zone) {
  return [Zone = std::move(Zone)](const std::vector<Upstream *> &Usable,
                                  const FlowToPlace &Given, TimePoint Now) {
    Upstream *Best = nullptr;
    std::tuple<bool, bool, bool, double, uint64_t> BestScore;
    for (Upstream *Each : Usable) {
      const UpstreamRegistration &Said = Each->Registration;
      // The hash lets instances that know equally little of the load choose
      // differently for different flows.
      const std::tuple Score(
          Said.Id == Given.Avoided, Each->Reach.isSuspect(Now),
          Said.Zone != Zone, flowsPerSlot(*Each, Now),
          rendezvousScore(hashOf(Given.Flow), Said.Id.value()));
      if (Best == nullptr || Score < BestScore) {
        Best = Each;
        BestScore = Score;
      }
    }
    return Best;
  };
}

} // namespace indigopoint
