#include "spillover.h"

#include <algorithm>
#include <array>
#include <deque>

#include <gtest/gtest.h>

#include "load_model.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// The offered load rises after this time, as a multiple of the capacity.
constexpr double RiseSeconds = 4;
constexpr double LoadBefore = 0.3;
// From then on the share sent elsewhere is settled.
constexpr double SettledSeconds = RiseSeconds + 5;
constexpr double EndSeconds = 14;

LoadResult play(const std::array<double, 4> &LoadOfZone, bool Spills = true) {
  LoadScenario Scenario;
  Scenario.Placement.SpillWhenSlow = Spills;
  Scenario.LoadOf = [&](size_t Zone, double Seconds) {
    return Seconds < RiseSeconds ? LoadBefore : LoadOfZone[Zone];
  };
  Scenario.Seconds = EndSeconds;
  Scenario.CountFrom = SettledSeconds;
  return runLoadModel(Scenario);
}

std::vector<double> settledShares(const LoadResult &Result) {
  const std::vector<double> &Shares = Result.SpilledByTenth;
  return {Shares.begin() + static_cast<ptrdiff_t>(SettledSeconds * 10),
          Shares.begin() + static_cast<ptrdiff_t>(EndSeconds * 10)};
}

class UnevenLoadTest : public testing::TestWithParam<std::array<double, 4>> {};

// Guards against a zone that sheds requests while other zones have room, and
// against shares that swing between too little and too much.
TEST_P(UnevenLoadTest, OtherZonesTakeTheExcess) {
  const LoadResult Result = play(GetParam());
  EXPECT_GE(Result.shareInTarget(), 0.99);
  EXPECT_GT(Result.shareInTarget(), play(GetParam(), false).shareInTarget());
  const std::vector<double> Shares = settledShares(Result);
  double Mean = 0;
  for (const double Share : Shares)
    Mean += Share / static_cast<double>(Shares.size());
  // The excess, and at most all that leaves the other zones the busier ones.
  EXPECT_GT(Mean, 1 - 1 / GetParam()[0]);
  const double Peak = *std::max_element(Result.SpilledByTenth.begin(),
                                        Result.SpilledByTenth.end());
  EXPECT_LT(Peak, Mean + 0.2);
}

INSTANTIATE_TEST_SUITE_P(Loads, UnevenLoadTest,
                         testing::Values(std::array{1.6, 0.4, 0.4, 0.4},
                                         std::array{1.6, 1.2, 0.4, 0.4},
                                         std::array{1.3, 0.5, 0.5, 0.5}));

struct EvenLoad {
  double Load;
  double MaxSpilled;
};

class EvenLoadTest : public testing::TestWithParam<EvenLoad> {};

// Guards against flows that leave a zone for no better one.
TEST_P(EvenLoadTest, ZonesKeepTheirFlows) {
  const auto [Load, MaxSpilled] = GetParam();
  const std::array<double, 4> Loads = {Load, Load, Load, Load};
  const LoadResult Result = play(Loads);
  const LoadResult Without = play(Loads, false);
  EXPECT_GE(Result.shareInTarget(), Without.shareInTarget() - 0.01);
  for (const double Share : settledShares(Result))
    EXPECT_LE(Share, MaxSpilled);
}

// Above the capacity only the probes leave a zone.
INSTANTIATE_TEST_SUITE_P(Loads, EvenLoadTest,
                         testing::Values(EvenLoad{0.3, 0}, EvenLoad{0.5, 0},
                                         EvenLoad{1.2, 0.25}));

// An instance in zone "a" that gets answers of one service.
class SpilloverTest : public testing::Test {
protected:
  static constexpr Duration Usual = 40ms;

  SpilloverTest() {
    for (const char *Zone : {"a", "b"}) {
      Upstream &Added = Upstreams.emplace_back(Reachability);
      Added.Registration.Service = "chat";
      Added.Registration.Zone = Zone;
      Candidates.push_back(&Added);
    }
  }

  // Lets a second pass with answers at a rate of each zone.
  void pass(int OwnAnswers, Duration OwnTime, int OtherAnswers,
            Duration OtherTime) {
    for (int Step = 0; Step < 100; ++Step) {
      Now += 10ms;
      if (Step % 100 < OwnAnswers)
        Spill.recordResponse(Upstreams[0].Registration, OwnTime, Now);
      if (Step % 100 < OtherAnswers)
        Spill.recordResponse(Upstreams[1].Registration, OtherTime, Now);
      Spill.chooseZone(Candidates, 1, Now);
    }
  }

  double share() const { return Spill.shareOf("chat"); }

  ReachabilityOptions Reachability;
  std::deque<Upstream> Upstreams;
  std::vector<Upstream *> Candidates;
  TimePoint Now{1h};
  Spillover Spill{"a"};
};

// Guards against a zone that is left on a few slow answers, or for a zone that
// does not answer, as in a network partition.
TEST_F(SpilloverTest, OnlyZonesThatAnswerSoonerGetMoreThanProbes) {
  pass(100, Usual, 0, {});
  EXPECT_EQ(share(), 0);
  pass(5, 10 * Usual, 0, {});
  EXPECT_EQ(share(), 0) << "too few answers";
  pass(100, 10 * Usual, 0, {});
  const double Probes = share();
  EXPECT_GT(Probes, 0);
  EXPECT_LT(Probes, 0.1);
  pass(100, 10 * Usual, 10, 10 * Usual);
  EXPECT_EQ(share(), Probes) << "no better";
  pass(100, 10 * Usual, 10, Usual);
  EXPECT_GT(share(), Probes);
  pass(100, 10 * Usual, 0, {});
  EXPECT_EQ(share(), Probes) << "no answers any more";
}

// Guards against flows that stay in other zones after the load has fallen, or
// after their upstreams are gone.
TEST_F(SpilloverTest, FlowsReturn) {
  pass(100, Usual, 0, {});
  for (int Second = 0; Second < 4; ++Second)
    pass(100, 10 * Usual, 10, Usual);
  const double Before = share();
  for (int Second = 0; Second < 5; ++Second)
    pass(100, Usual, 10, Usual);
  EXPECT_LT(share(), Before / 2);
  Candidates.pop_back();
  pass(100, Usual, 0, {});
  EXPECT_EQ(share(), 0);
}

} // namespace
} // namespace indigopoint
