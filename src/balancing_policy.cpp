#include "balancing_policy.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "placement.h"
#include "random_source.h"
#include "spillover.h"
#include "zone_capacity.h"

namespace indigopoint {

namespace {

// Response times vary with the requests, so smaller differences are ignored.
constexpr double MinSlowdown = 1.5;

// An upstream that answered within this time is probably running.
constexpr Duration RecentAnswerWindow = std::chrono::seconds(2);

double slotsOf(const Upstream &Target, TimePoint Now, double WarmupShare) {
  return Target.Registration.Slots * (Target.WarmupEnd > Now ? WarmupShare : 1);
}

} // namespace

double slowdownOf(const Upstream &Target, std::optional<Duration> Usual,
                  TimePoint Now) {
  const auto Average = Target.ResponseTimes.recentAverage(Now);
  if (!Average || !Usual || *Usual <= Duration())
    return 1;
  const double Ratio = static_cast<double>(Average->count()) /
                       static_cast<double>(Usual->count());
  return Ratio < MinSlowdown ? 1 : Ratio;
}

namespace {

bool hasAnsweredRecently(const Upstream &Target, TimePoint Now) {
  return Now - Target.Reachability.lastAnswer() <= RecentAnswerWindow;
}

// Candidates are compared by this; the last member is the hash that breaks
// ties.
using CandidateScore =
    std::tuple<bool, bool, bool, bool, bool, double, uint64_t>;

class ZoneAwareLeastFlows {
public:
  ZoneAwareLeastFlows(std::string Zone, PlacementOptions Opts, Spillover *Spill)
      : Zone(std::move(Zone)), Opts(Opts), Spill(Spill) {}

  Upstream *choose(const std::vector<Upstream *> &Candidates,
                   const NewFlow &Flow, TimePoint Now);

private:
  bool decideWhetherToUseOtherZone(const std::vector<Upstream *> &Candidates,
                                   uint64_t Hash, TimePoint Now);

  /// The zone that an opening prefers, or avoids if it uses another zone.
  const std::string &referenceZone(const std::vector<Upstream *> &Candidates,
                                   bool UseOtherZone, uint64_t Hash,
                                   TimePoint Now) const;

  const std::string &
  zoneOfUnansweredOpening(const std::vector<Upstream *> &Candidates,
                          const NewFlow &Flow) const;

  bool isSuspect(const Upstream &Candidate, TimePoint Now) const {
    return Opts.AvoidSuspects && Candidate.Reachability.isSuspect(Now);
  }
  bool isUnresponsive(const Upstream &Candidate, TimePoint Now) const {
    return Opts.AvoidUnresponsive &&
           Candidate.Responsiveness.isUnresponsive(Now);
  }
  /// The load by which upstreams of equal rank are compared.
  double loadOf(const Upstream &Candidate, std::optional<Duration> Usual,
                TimePoint Now) const;

  std::string Zone;
  PlacementOptions Opts;
  Spillover *Spill;
  ZoneCapacity Capacity;
};

// The zone of the upstream that did not answer; the own zone if it is unknown.
const std::string &ZoneAwareLeastFlows::zoneOfUnansweredOpening(
    const std::vector<Upstream *> &Candidates, const NewFlow &Flow) const {
  for (const Upstream *Candidate : Candidates)
    if (Candidate->Registration.Id == Flow.UpstreamToAvoid)
      return Candidate->Registration.Zone;
  return Zone;
}

// Sends part of the flows to other zones, since the remaining upstreams of this
// zone would otherwise receive all flows of the lost ones. The decision is made
// by the hash of the flow, so that it is the same for retransmissions.
bool ZoneAwareLeastFlows::decideWhetherToUseOtherZone(
    const std::vector<Upstream *> &Candidates, uint64_t Hash, TimePoint Now) {
  double ZoneSlots = 0;
  for (const Upstream *Candidate : Candidates)
    if (Candidate->Registration.Zone == Zone && !isSuspect(*Candidate, Now))
      ZoneSlots += slotsOf(*Candidate, Now, Opts.WarmupShare);
  const double MissingShare = Capacity.recordSlotsAndGetMissingShare(
      Candidates.front()->Registration.Service, ZoneSlots, Now);
  return MissingShare >= Opts.MinLossForOtherZones &&
         fractionOf(Hash) < MissingShare;
}

// The lowest fractions already stand for the flows of missing slots.
const std::string &
ZoneAwareLeastFlows::referenceZone(const std::vector<Upstream *> &Candidates,
                                   bool UseOtherZone, uint64_t Hash,
                                   TimePoint Now) const {
  if (UseOtherZone || Spill == nullptr || !Opts.SpillWhenSlow)
    return Zone;
  return Spill->chooseZone(Candidates, 1 - fractionOf(Hash), Now);
}

double ZoneAwareLeastFlows::loadOf(const Upstream &Candidate,
                                   std::optional<Duration> Usual,
                                   TimePoint Now) const {
  if (!Opts.CountOpenFlows)
    return 0;
  const double Flows = flowsPerSlot(Candidate, Now, Opts.WarmupShare);
  return Flows * slowdownOf(Candidate, Usual, Now);
}

Upstream *ZoneAwareLeastFlows::choose(const std::vector<Upstream *> &Candidates,
                                      const NewFlow &Flow, TimePoint Now) {
  if (Candidates.empty())
    return nullptr;
  const uint64_t Hash = hashOf(Flow.Address);
  // After several unanswered openings, the other upstreams of the zone may have
  // failed for the same reason.
  const bool LeaveZone = Opts.MaxOpeningsInZone > 0 &&
                         Flow.UnansweredOpenings >= Opts.MaxOpeningsInZone;
  const bool UseOtherZone =
      decideWhetherToUseOtherZone(Candidates, Hash, Now) || LeaveZone;
  const std::string &ReferenceZone =
      LeaveZone ? zoneOfUnansweredOpening(Candidates, Flow)
                : referenceZone(Candidates, UseOtherZone, Hash, Now);
  // An instance knows of most crashes only from its own flows, so an upstream
  // without evidence may have crashed together with the first choice.
  const bool NeedsProof =
      Opts.PreferAnsweringUpstreams && Flow.UnansweredOpenings > 0;
  const std::optional<Duration> Usual =
      Opts.CountResponseTime ? medianResponseTime(Candidates, Now)
                             : std::nullopt;
  Upstream *Best = nullptr;
  CandidateScore BestScore;
  for (Upstream *Candidate : Candidates) {
    const UpstreamRegistration &Registration = Candidate->Registration;
    const bool IsUnproven = NeedsProof && !hasAnsweredRecently(*Candidate, Now);
    const bool IsInWrongZone =
        Opts.PreferOwnZone &&
        (Registration.Zone == ReferenceZone) == UseOtherZone;
    // The hash breaks ties, so that instances without load information spread
    // different flows over different upstreams.
    const CandidateScore Score(
        Registration.Id == Flow.UpstreamToAvoid, isSuspect(*Candidate, Now),
        isUnresponsive(*Candidate, Now), LeaveZone ? IsInWrongZone : IsUnproven,
        LeaveZone ? IsUnproven : IsInWrongZone, loadOf(*Candidate, Usual, Now),
        rendezvousScore(Hash, Registration.Id.value()));
    if (Best == nullptr || Score < BestScore) {
      Best = Candidate;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace

std::optional<Duration>
medianResponseTime(const std::vector<Upstream *> &Candidates, TimePoint Now) {
  std::vector<Duration> Averages;
  for (const Upstream *Candidate : Candidates)
    if (const auto Average = Candidate->ResponseTimes.recentAverage(Now))
      Averages.push_back(*Average);
  if (Averages.empty())
    return std::nullopt;
  const auto Middle =
      Averages.begin() + static_cast<ptrdiff_t>(Averages.size() / 2);
  std::nth_element(Averages.begin(), Middle, Averages.end());
  return *Middle;
}

double flowsPerSlot(const Upstream &Target, TimePoint Now, double WarmupShare) {
  return (Target.OpenFlows + 1) / slotsOf(Target, Now, WarmupShare);
}

BalancingPolicy makeZoneAwareLeastFlowsPolicy(std::string Zone,
                                              PlacementOptions Opts,
                                              Spillover *Spill) {
  return [Policy = ZoneAwareLeastFlows(std::move(Zone), Opts, Spill)](
             const std::vector<Upstream *> &Candidates, const NewFlow &Flow,
             TimePoint Now) mutable {
    return Policy.choose(Candidates, Flow, Now);
  };
}

} // namespace indigopoint
