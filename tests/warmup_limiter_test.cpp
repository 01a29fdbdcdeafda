#include "warmup_limiter.h"

#include <deque>
#include <memory>
#include <random>

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr double Rate = 10;
// The bound that an installation states for any second, over all instances.
constexpr size_t MaxInAnySecond = 20;

Endpoint instanceAt(uint32_t Index) { return {0x0a010000 + Index, 9}; }

// Instances of one zone whose upstreams are all cold, under more new flows than
// these bear. Each instance knows the others with a probability.
class ColdZone {
public:
  ColdZone(uint32_t InstanceCount, uint32_t UpstreamCount,
           double KnownShare = 1)
      : Openings(UpstreamCount) {
    for (uint32_t Index = 0; Index < InstanceCount; ++Index) {
      std::vector<Endpoint> Known;
      for (uint32_t Other = 0; Other < InstanceCount; ++Other)
        if (Other == Index || Chance(Random) < KnownShare)
          Known.push_back(instanceAt(Other));
      Limiters.push_back(std::make_unique<WarmupLimiter>(
          instanceAt(Index), [Known](const std::string &) { return Known; }));
    }
    for (uint32_t Index = 0; Index < UpstreamCount; ++Index) {
      Upstream &Added = Upstreams.emplace_back(Opts);
      Added.Registration.Id = UpstreamId(0x1234567 + Index * 7919);
      Added.Registration.Zone = "a";
      Added.WarmupEnd = Start + 1min;
    }
  }

  // Sends flows to random instances. Returns how many found an upstream.
  size_t play(double FlowsPerSecond, Duration Length) {
    size_t Served = 0;
    std::exponential_distribution<double> Gap(FlowsPerSecond);
    for (double Seconds = Gap(Random);
         Seconds < std::chrono::duration<double>(Length).count();
         Seconds += Gap(Random)) {
      const TimePoint Now = Start + std::chrono::duration_cast<Duration>(
                                        std::chrono::duration<double>(Seconds));
      Served += sendFlow(*Limiters[Random() % Limiters.size()], Now);
    }
    return Served;
  }

  size_t maxInAnySecond() const { return Max; }

private:
  bool sendFlow(WarmupLimiter &Limiter, TimePoint Now) {
    const size_t First = Random() % Upstreams.size();
    for (size_t Step = 0; Step < Upstreams.size(); ++Step) {
      const size_t Index = (First + Step) % Upstreams.size();
      if (!Limiter.mayOpen(Upstreams[Index], Rate, Now))
        continue;
      Limiter.recordOpening(Upstreams[Index], Now);
      countOpening(Openings[Index], Now);
      return true;
    }
    return false;
  }

  void countOpening(std::deque<TimePoint> &Times, TimePoint Now) {
    Times.push_back(Now);
    while (Now - Times.front() > 1s)
      Times.pop_front();
    Max = std::max(Max, Times.size());
  }

  TimePoint Start{1h};
  std::mt19937 Random{7};
  std::uniform_real_distribution<double> Chance{0, 1};
  ReachabilityOptions Opts;
  std::vector<std::unique_ptr<WarmupLimiter>> Limiters;
  std::deque<Upstream> Upstreams;
  std::vector<std::deque<TimePoint>> Openings;
  size_t Max = 0;
};

// Guards against an equal share of the rate for each instance, which is less
// than one flow a second in a large fleet and then serves nobody.
TEST(WarmupLimiterTest, LimitHoldsAndIsUsedAtAnySize) {
  struct Fleet {
    uint32_t InstancesOfZone;
    uint32_t UpstreamsOfZone;
    double MinServedShare;
  };
  // A quarter of 8, 64, 100 and 300 instances.
  for (const Fleet &Size : {Fleet{2, 4, 0.9}, Fleet{16, 30, 0.7},
                            Fleet{25, 30, 0.7}, Fleet{75, 90, 0.7}}) {
    ColdZone Zone(Size.InstancesOfZone, Size.UpstreamsOfZone);
    const double Capacity = Size.UpstreamsOfZone * Rate;
    const size_t Served = Zone.play(1.3 * Capacity, 10s);
    EXPECT_LE(Zone.maxInAnySecond(), Rate) << Size.InstancesOfZone;
    EXPECT_GE(Served, Size.MinServedShare * Capacity * 10)
        << Size.InstancesOfZone;
  }
}

// Guards against a limit that fails when instances know different members, as
// after a partition or while instances join.
TEST(WarmupLimiterTest, LimitHoldsWithDifferentViewsOfTheMembers) {
  for (const uint32_t Instances : {2, 16, 25, 75})
    for (const double KnownShare : {0.9, 0.6}) {
      ColdZone Zone(Instances, 30, KnownShare);
      Zone.play(600, 10s);
      EXPECT_LE(Zone.maxInAnySecond(), MaxInAnySecond)
          << Instances << " " << KnownShare;
    }
}

class OneLimiter : public testing::Test {
protected:
  OneLimiter() { Cold.WarmupEnd = Now + 1min; }

  size_t openAllNow(double FlowsPerSecond) {
    size_t Count = 0;
    while (Count < 100 && Limiter.mayOpen(Cold, FlowsPerSecond, Now)) {
      Limiter.recordOpening(Cold, Now);
      ++Count;
    }
    return Count;
  }

  TimePoint Now{1h};
  ReachabilityOptions Opts;
  Upstream Cold{Opts};
  std::vector<Endpoint> Members = {instanceAt(1)};
  WarmupLimiter Limiter{instanceAt(1),
                        [this](const std::string &) { return Members; }};
};

using WarmupLimiterOfOneInstanceTest = OneLimiter;

TEST_F(WarmupLimiterOfOneInstanceTest, WarmUpstreamsAreNotLimited) {
  EXPECT_EQ(openAllNow(0), 100U);
  Cold.WarmupEnd = Now;
  EXPECT_EQ(openAllNow(10), 100U);
}

TEST_F(WarmupLimiterOfOneInstanceTest, NothingIsSentWhileMembersAreUnknown) {
  Members.clear();
  EXPECT_EQ(openAllNow(10), 0U);
  Members = {instanceAt(1)};
  Now += 2s;
  EXPECT_EQ(openAllNow(10), 10U);
}

TEST_F(WarmupLimiterOfOneInstanceTest, RatesBelowOneWaitBetweenFlows) {
  EXPECT_EQ(openAllNow(0.5), 1U);
  Now += 1900ms;
  EXPECT_EQ(openAllNow(0.5), 0U);
  Now += 200ms;
  EXPECT_EQ(openAllNow(0.5), 1U);
}

// Guards against flows of the previous process that use up the share of the new
// one, or the reverse.
TEST_F(WarmupLimiterOfOneInstanceTest, RestartedProcessIsColdAnew) {
  EXPECT_EQ(openAllNow(10), 10U);
  Cold.Registration.StartedAtMs = 5;
  EXPECT_EQ(openAllNow(10), 10U);
  EXPECT_EQ(openAllNow(10), 0U);
}

} // namespace
} // namespace indigopoint
