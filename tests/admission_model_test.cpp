// Admission control of 100 instances under load, in the model of
// admission_model.h. The bounds are those of the requirements: urgent requests
// are served within their target as long as they alone fit, refusals come
// within a quarter of the target, and overload costs no capacity.

#include "admission_model.h"

#include <cmath>
#include <map>
#include <numbers>

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr double CapacityInSlots = 240;
constexpr double MinServed = 0.99;
constexpr std::array<Duration, ModelKinds> MaxRefusalTime = {125ms, 100ms};

// Each load is played once for all tests.
const AdmissionResult &resultAt(double Load, bool Admission = true) {
  static std::map<std::pair<double, bool>, AdmissionResult> Results;
  const auto Key = std::pair(Load, Admission);
  const auto It = Results.find(Key);
  if (It != Results.end())
    return It->second;
  AdmissionScenario Scenario;
  Scenario.LoadOf = [Load](size_t, double) { return Load; };
  Scenario.Admission = Admission;
  if (!Admission && Load >= 1.5) {
    // The queues fill within a second, and these runs take longest.
    Scenario.CountFrom = 2;
    Scenario.Seconds = 3.5;
  }
  return Results[Key] = runAdmissionModel(Scenario);
}

void expectUrgentServed(const AdmissionResult &Result) {
  const KindOutcomes &Urgent = Result.Kinds[UrgentKind];
  const KindOutcomes &Normal = Result.Kinds[NormalKind];
  EXPECT_GE(Urgent.share(Urgent.InTarget), MinServed);
  EXPECT_GE(Urgent.share(Urgent.InTarget), Normal.share(Normal.InTarget));
  EXPECT_LE(Urgent.share(Urgent.Refused), 1 - MinServed);
}

void expectQuickRefusals(const AdmissionResult &Result) {
  for (size_t Kind = 0; Kind < ModelKinds; ++Kind) {
    EXPECT_LT(Result.Kinds[Kind].refusalP99(), MaxRefusalTime[Kind]) << Kind;
  }
}

void report(const AdmissionResult &Result, const std::string &Name) {
  for (size_t Kind = 0; Kind < ModelKinds; ++Kind) {
    const KindOutcomes &Out = Result.Kinds[Kind];
    const std::string Prefix =
        Name + (Kind == UrgentKind ? "Urgent" : "Normal");
    const auto Record = [&](const char *What, size_t Count) {
      testing::Test::RecordProperty(Prefix + What,
                                    std::to_string(Out.share(Count)));
    };
    Record("InTarget", Out.InTarget);
    Record("Late", Out.Late);
    Record("Refused", Out.Refused);
    Record("Lost", Out.Lost);
  }
}

// Guards against refusals for errors of the estimates.
TEST(AdmissionModelTest, NothingIsRefusedWithCapacity) {
  const AdmissionResult &Result = resultAt(0.8);
  for (const KindOutcomes &Out : Result.Kinds) {
    EXPECT_EQ(Out.Refused, 0U);
    EXPECT_GE(Out.share(Out.InTarget), MinServed);
  }
}

class AdmissionLoadTest : public testing::TestWithParam<double> {};

// Without admission control all kinds wait in full queues, and their openings
// get no answer.
TEST_P(AdmissionLoadTest, OverloadCostsNoCapacity) {
  const AdmissionResult &Result = resultAt(GetParam());
  const AdmissionResult &Without = resultAt(GetParam(), false);
  report(Result, "");
  report(Without, "Without");
  EXPECT_GE(Result.workInTarget(), 0.9 * CapacityInSlots);
  // At exactly the capacity the queues fill slowly, and both are about equal.
  if (GetParam() > 1) {
    EXPECT_GT(Result.worth(), Without.worth());
  }
  const KindOutcomes &Urgent = Result.Kinds[UrgentKind];
  const KindOutcomes &UrgentWithout = Without.Kinds[UrgentKind];
  EXPECT_GT(Urgent.share(Urgent.InTarget),
            UrgentWithout.share(UrgentWithout.InTarget));
  expectQuickRefusals(Result);
  for (const KindOutcomes &Out : Result.Kinds) {
    EXPECT_LE(Out.share(Out.Lost), 1 - MinServed);
  }
}

// Guards against urgent requests that are refused, wait or are lost because of
// less urgent ones, or because all instances refuse a part of each kind.
TEST_P(AdmissionLoadTest, UrgentRequestsAreServedBeforeOthers) {
  const AdmissionResult &Result = resultAt(GetParam());
  const KindOutcomes &Urgent = Result.Kinds[UrgentKind];
  // At four times the capacity urgent requests alone need 1.58 times as much.
  if (GetParam() < 2.5) {
    expectUrgentServed(Result);
    EXPECT_GT(Result.Kinds[NormalKind].InTarget, 0U);
    return;
  }
  EXPECT_GE(static_cast<double>(Urgent.InTarget),
            MinServed * static_cast<double>(Urgent.Sent - Urgent.Refused));
  EXPECT_GE(Result.workInTarget(), 0.9 * CapacityInSlots);
}

INSTANTIATE_TEST_SUITE_P(Loads, AdmissionLoadTest,
                         testing::Values(1.0, 1.2, 1.5, 2.0, 4.0));

// Guards against a collapse: more load must not mean less work done.
TEST(AdmissionModelTest, GoodputAtFourTimesTheCapacity) {
  EXPECT_GE(resultAt(4).worth(), 0.9 * resultAt(1.2).worth());
  EXPECT_GE(resultAt(4).workInTarget(), 0.9 * resultAt(1.2).workInTarget());
}

// Guards against instances that refuse all and admit all in turn.
TEST(AdmissionModelTest, RefusalsAreSteady) {
  for (const double Load : {1.2, 2.0, 4.0}) {
    const std::vector<double> &Shares = resultAt(Load).RefusedByTenth;
    double Mean = 0;
    for (size_t Tenth = 45; Tenth < 70; ++Tenth)
      Mean += Shares[Tenth] / 25;
    for (size_t Tenth = 45; Tenth < 70; ++Tenth) {
      EXPECT_NEAR(Shares[Tenth], Mean, 0.1) << Load << " " << Tenth;
    }
  }
}

// The routers send the clients of a lost zone to the others, which then get 1.2
// times their capacity.
TEST(AdmissionModelTest, OneZoneOfFourIsLost) {
  AdmissionScenario Scenario;
  Scenario.LoadOf = [](size_t, double) { return 0.9; };
  Scenario.ZoneLost = true;
  const AdmissionResult Result = runAdmissionModel(Scenario);
  report(Result, "");
  expectUrgentServed(Result);
  expectQuickRefusals(Result);
}

// The instances of the zone use the upstreams of others, whose instances do not
// know their load.
TEST(AdmissionModelTest, UpstreamsOfOneZoneAreLost) {
  AdmissionScenario Scenario;
  Scenario.LoadOf = [](size_t, double) { return 0.9; };
  Scenario.UpstreamsOfZoneLost = true;
  const AdmissionResult Result = runAdmissionModel(Scenario);
  report(Result, "");
  expectUrgentServed(Result);
  expectQuickRefusals(Result);
}

// The swings of the requirements around 0.9, zones in pairs out of phase.
TEST(AdmissionModelTest, ZonesSwingOutOfPhase) {
  AdmissionScenario Scenario;
  Scenario.LoadOf = [](size_t Zone, double Seconds) {
    const double Swing = std::sin(2 * std::numbers::pi * Seconds / 10);
    return 0.9 * (1 + (Zone % 2 == 0 ? 0.27 * Swing : -0.55 * Swing));
  };
  Scenario.Seconds = 14;
  const AdmissionResult Result = runAdmissionModel(Scenario);
  report(Result, "");
  expectUrgentServed(Result);
  expectQuickRefusals(Result);
}

const AdmissionResult &slowQuarter(bool Admission) {
  static std::map<bool, AdmissionResult> Results;
  const auto It = Results.find(Admission);
  if (It != Results.end())
    return It->second;
  AdmissionScenario Scenario;
  Scenario.LoadOf = [](size_t, double) { return 0.8; };
  Scenario.SlowQuarter = true;
  Scenario.Admission = Admission;
  return Results[Admission] = runAdmissionModel(Scenario);
}

// A quarter of the upstreams is five times as slow, so 0.8 of the capacity is
// left, all of which is needed.
TEST(AdmissionModelTest, SlowQuarterIsRelieved) {
  const AdmissionResult &Result = slowQuarter(true);
  const AdmissionResult &Without = slowQuarter(false);
  report(Result, "");
  report(Without, "Without");
  expectQuickRefusals(Result);
  EXPECT_GT(Result.worth(), Without.worth());
  const KindOutcomes &Urgent = Result.Kinds[UrgentKind];
  EXPECT_LE(Urgent.share(Urgent.Refused), 1 - MinServed);
  EXPECT_LE(Urgent.share(Urgent.Lost), 1 - MinServed);
}

// Guards against urgent requests that wait at slow upstreams.
TEST(AdmissionModelTest, SlowQuarterServesUrgentWithinTarget) {
  expectUrgentServed(slowQuarter(true));
}

// An instance that knows its own load only admits all, as before.
TEST(AdmissionModelTest, WithoutReportsNothingIsRefusedWithCapacity) {
  AdmissionScenario Scenario;
  Scenario.LoadOf = [](size_t, double) { return 0.8; };
  Scenario.NoReports = true;
  const AdmissionResult Result = runAdmissionModel(Scenario);
  for (const KindOutcomes &Out : Result.Kinds) {
    EXPECT_EQ(Out.Refused, 0U);
  }
}

} // namespace
} // namespace indigopoint
