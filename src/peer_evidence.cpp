#include "peer_evidence.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "placement.h"
#include "random_source.h"

namespace indigopoint {

namespace {

constexpr Duration MaxLifetime = std::chrono::seconds(2);

// An answer since the start of a connection check outweighs its failure.
constexpr Duration MaxCheckTime = std::chrono::milliseconds(300);

// If all instances believed evidence for the same time, they would try the
// upstream at the same moment and overflow its queue. Therefore a few instances
// try earlier, and the others hear of a failure before their turn.
constexpr double MinLifetimeShare = 0.5;
constexpr double LifetimeExponent = 0.25;

// The upstreams that remain must be able to take the flows of the others.
constexpr double MaxAvoidedShare = 0.4;

// Requests that merely take long are reported as well, for all upstreams alike.
// Evidence of an upstream with few reporters, or with hardly more than others,
// therefore applies to a small share of the upstreams only. The share must not
// be so small that the first reports of a fault have no effect.
constexpr Duration ReporterMemory = std::chrono::seconds(5);
constexpr size_t MinReporters = 2;
constexpr size_t MinRatioToMean = 2;
constexpr size_t MaxWeaklyAvoidedDivisor = 5;

// Bounds the memory that senders of false reports can use.
constexpr size_t MaxSenders = 1024;

size_t maxAvoided(size_t UpstreamCount) {
  return static_cast<size_t>(MaxAvoidedShare *
                             static_cast<double>(UpstreamCount));
}

} // namespace

Duration PeerEvidence::lifetimeFor(UpstreamId Target) const {
  const double Position = fractionOf(rendezvousScore(Target.value(), Self));
  const double Share =
      MinLifetimeShare +
      (1 - MinLifetimeShare) * std::pow(Position, LifetimeExponent);
  return Duration(
      static_cast<int64_t>(Share * static_cast<double>(MaxLifetime.count())));
}

// A sender whose clock was set back may begin with a lower number; its earlier
// reports have expired by the time at which its state is forgotten.
bool PeerEvidence::isNewReport(const PeerReport &Report, TimePoint Now) {
  if (Report.Zone != Zone || Report.Sender == Self)
    return false;
  const auto It = Senders.find(Report.Sender);
  if (It == Senders.end() && Senders.size() >= MaxSenders)
    return false;
  if (It != Senders.end() && Report.Sequence <= It->second.Sequence &&
      Now - It->second.LastReport <= MaxLifetime)
    return false;
  Senders[Report.Sender] = {Report.Sequence, Now};
  return true;
}

std::vector<std::string> PeerEvidence::record(const PeerReport &Report,
                                              UpstreamRegistry &Upstreams,
                                              TimePoint Now) {
  std::set<std::string> Services;
  if (!isNewReport(Report, Now))
    return {};
  for (const UpstreamEvidence &Item : Report.Evidence) {
    const Upstream *Target = Upstreams.find(Item.Upstream);
    if (Target == nullptr || Item.Age < Duration() || Item.Age > MaxLifetime ||
        Target->Registration.StartedAtMs != Item.StartedAtMs)
      continue;
    Reports &Known = ReportsByUpstream[Item.Upstream];
    if (Known.StartedAtMs != Item.StartedAtMs)
      Known = {Item.StartedAtMs, {}, {}};
    TimePoint &Origin = Known.OriginBySender[Report.Sender];
    Origin = std::max(Origin, Now - Item.Age);
    if (Item.HasStopped)
      Known.StopBySender[Report.Sender] = Now - Item.Age;
    Services.insert(Target->Registration.Service);
  }
  return {Services.begin(), Services.end()};
}

size_t PeerEvidence::countStopReports(const Upstream &Target,
                                      TimePoint Now) const {
  const auto It = ReportsByUpstream.find(Target.Registration.Id);
  if (It == ReportsByUpstream.end() ||
      It->second.StartedAtMs != Target.Registration.StartedAtMs)
    return 0;
  const TimePoint LastSign = Target.Reachability.lastSignOfLife();
  return std::count_if(It->second.StopBySender.begin(),
                       It->second.StopBySender.end(), [&](const auto &Report) {
                         return Now - Report.second <= MaxLifetime &&
                                Report.second - MaxCheckTime > LastSign;
                       });
}

PeerEvidence::Claim PeerEvidence::claimOf(Upstream &Target,
                                          TimePoint Now) const {
  Claim Out{&Target, 0, {}};
  const auto It = ReportsByUpstream.find(Target.Registration.Id);
  if (It == ReportsByUpstream.end() ||
      It->second.StartedAtMs != Target.Registration.StartedAtMs)
    return Out;
  const Duration Lifetime = lifetimeFor(Target.Registration.Id);
  for (const auto &[Sender, Origin] : It->second.OriginBySender) {
    if (Now - Origin > ReporterMemory)
      continue;
    ++Out.Reporters;
    if (Now - Origin < Lifetime && !Target.Responsiveness.isOutdated(Origin))
      Out.Latest = std::max(Out.Latest, Origin);
  }
  return Out;
}

// A service with two upstreams in the zone must be able to avoid one of them.
void PeerEvidence::limitOwnEvidence(Group &Members, bool IsDisregarded) {
  const size_t Limit =
      IsDisregarded ? 0 : std::max<size_t>(1, maxAvoided(Members.Ready));
  std::vector<Upstream *> &Found = Members.WithOwnEvidence;
  if (Found.size() > Limit)
    std::sort(Found.begin(), Found.end(),
              [](const Upstream *A, const Upstream *B) {
                return A->Responsiveness.lastEvidence() >
                       B->Responsiveness.lastEvidence();
              });
  for (size_t Index = 0; Index < Found.size(); ++Index)
    Found[Index]->Responsiveness.setOverLimit(Index >= Limit);
}

size_t PeerEvidence::selectClaims(Group &Members) {
  const size_t Limit = maxAvoided(Members.Ready);
  const size_t Remaining =
      Limit - std::min(Limit, Members.WithOwnEvidence.size());
  const size_t MaxWeak =
      std::max<size_t>(1, Members.Ready / MaxWeaklyAvoidedDivisor);
  std::sort(
      Members.Claims.begin(), Members.Claims.end(),
      [](const Claim &A, const Claim &B) {
        return std::tuple(B.Reporters, B.Latest, A.Target->Registration.Id) <
               std::tuple(A.Reporters, A.Latest, B.Target->Registration.Id);
      });
  const auto FirstWeak = std::find_if(
      Members.Claims.begin(), Members.Claims.end(), [&](const Claim &Item) {
        return Item.Reporters < MinReporters ||
               Item.Reporters * Members.Ready <=
                   MinRatioToMean * Members.Reports;
      });
  const auto Strong = static_cast<size_t>(FirstWeak - Members.Claims.begin());
  return std::min(
      {Remaining, std::max(Strong, MaxWeak), Members.Claims.size()});
}

std::vector<Upstream *>
PeerEvidence::apply(const std::vector<Upstream *> &UpstreamsOfService,
                    TimePoint Now) {
  std::vector<Upstream *> Changed;
  const bool HasOwn =
      std::any_of(UpstreamsOfService.begin(), UpstreamsOfService.end(),
                  [Now](const Upstream *Target) {
                    return Target->Responsiveness.hasOwnEvidence(Now);
                  });
  if (!HasOwn && ReportsByUpstream.empty())
    return Changed;
  std::map<std::string_view, Group> Groups;
  for (Upstream *Target : UpstreamsOfService) {
    if (Target->State != UpstreamState::Ready)
      continue;
    Group &Members = Groups[Target->Registration.Zone];
    const bool HasOwnEvidence = Target->Responsiveness.hasOwnEvidence(Now);
    const Claim Reported = claimOf(*Target, Now);
    ++Members.Ready;
    if (HasOwnEvidence)
      Members.WithOwnEvidence.push_back(Target);
    Members.Reports += Reported.Reporters;
    if (HasOwnEvidence || Reported.Latest == TimePoint())
      Target->Responsiveness.setPeerEvidence({}, Now);
    else
      Members.Claims.push_back(Reported);
  }
  // Evidence of all upstreams does not tell which one to prefer.
  const bool IsAllUnresponsive =
      std::all_of(Groups.begin(), Groups.end(), [](const auto &Entry) {
        return Entry.second.WithOwnEvidence.size() == Entry.second.Ready;
      });
  for (auto &[ZoneName, Members] : Groups) {
    limitOwnEvidence(Members, IsAllUnresponsive);
    const size_t Selected = selectClaims(Members);
    for (size_t Index = 0; Index < Members.Claims.size(); ++Index) {
      const Claim &Item = Members.Claims[Index];
      ResponsivenessTracker &State = Item.Target->Responsiveness;
      const bool IsSelected = Index < Selected;
      if (IsSelected && !State.isUnresponsive(Now))
        Changed.push_back(Item.Target);
      State.setPeerEvidence(
          IsSelected ? Item.Latest + lifetimeFor(Item.Target->Registration.Id)
                     : TimePoint(),
          Now);
    }
  }
  return Changed;
}

void PeerEvidence::expire(TimePoint Now) {
  const auto IsOld = [Now](const auto &Report) {
    return Now - Report.second > ReporterMemory;
  };
  for (auto &[Id, Known] : ReportsByUpstream) {
    std::erase_if(Known.OriginBySender, IsOld);
    std::erase_if(Known.StopBySender, IsOld);
  }
  std::erase_if(ReportsByUpstream, [](const auto &Entry) {
    return Entry.second.OriginBySender.empty();
  });
  std::erase_if(Senders, [Now](const auto &Entry) {
    return Now - Entry.second.LastReport > MaxLifetime;
  });
}

} // namespace indigopoint
