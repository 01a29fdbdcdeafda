#include "warmup_limiter.h"

#include <algorithm>
#include <cmath>

#include "placement.h"

namespace indigopoint {

namespace {

constexpr Duration Window = std::chrono::seconds(1);

// How long a share is kept although instances join and leave.
constexpr Duration SharePeriod = std::chrono::seconds(2);

// The position of an instance among the holders of an upstream's shares.
size_t rankOf(Endpoint Self, UpstreamId Target,
              const std::vector<Endpoint> &Instances) {
  const uint64_t OwnScore = rendezvousScore(Target.value(), Self);
  return std::count_if(
      Instances.begin(), Instances.end(), [&](Endpoint Instance) {
        return rendezvousScore(Target.value(), Instance) > OwnScore;
      });
}

} // namespace

// Instances may know different members, so an upstream can have more holders
// than intended. Small shares keep the excess small: it is the number of
// additional holders, not a multiple of the rate.
void WarmupLimiter::computeShare(Share &Out, const Upstream &Target,
                                 double FlowsPerSecond) const {
  Out.Limit.setLimit(0, Window);
  const std::vector<Endpoint> Members = Instances(Target.Registration.Zone);
  if (std::find(Members.begin(), Members.end(), Self) == Members.end())
    return;
  const auto Rate = static_cast<size_t>(FlowsPerSecond);
  const size_t Holders = std::clamp<size_t>(Rate, 1, Members.size());
  const size_t Rank = rankOf(Self, Target.Registration.Id, Members);
  if (Rank >= Holders)
    return;
  if (Rate == 0) {
    const std::chrono::duration<double> Interval(1 / FlowsPerSecond);
    Out.Limit.setLimit(1, std::chrono::duration_cast<Duration>(Interval));
    return;
  }
  // The first holders get what the division leaves.
  const size_t Remainder = Rank < Rate % Holders ? 1 : 0;
  Out.Limit.setLimit(Rate / Holders + Remainder, Window);
}

bool WarmupLimiter::mayOpen(const Upstream &Target, double FlowsPerSecond,
                            TimePoint Now) {
  if (FlowsPerSecond <= 0 || Target.WarmupEnd <= Now)
    return true;
  const int64_t StartedAtMs = Target.Registration.StartedAtMs;
  const auto [It, IsNew] = Shares.try_emplace(Target.Registration.Id);
  Share &Own = It->second;
  if (!IsNew && Own.StartedAtMs != StartedAtMs)
    Own = {};
  if (Now - Own.ComputedAt >= SharePeriod) {
    computeShare(Own, Target, FlowsPerSecond);
    Own.ComputedAt = Now;
    Own.StartedAtMs = StartedAtMs;
  }
  Own.WarmupEnd = Target.WarmupEnd;
  return !Own.Limit.isExhausted(Now);
}

void WarmupLimiter::recordOpening(const Upstream &Target, TimePoint Now) {
  const auto It = Shares.find(Target.Registration.Id);
  if (It != Shares.end())
    It->second.Limit.record(Now);
}

void WarmupLimiter::expire(TimePoint Now) {
  std::erase_if(Shares, [Now](const auto &Entry) {
    return Entry.second.WarmupEnd <= Now;
  });
}

} // namespace indigopoint
