#include "admission_policy.h"

#include <gtest/gtest.h>

#include "random_source.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

class AdmissionPolicyTest : public testing::Test {
protected:
  AdmissionPolicyTest() {
    Urgent.Priority = 1;
    Normal.Priority = 2;
    Urgent.Aim = Normal.Aim = 400ms;
    Urgent.TimeLimit = Normal.TimeLimit = 2s;
  }

  bool admit(const Route &MatchedRoute, uint32_t Client) {
    return Policy
        .admit("chat", MatchedRoute, Client, Load, Now,
               AdmissionPolicy::WallTime(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       Now.time_since_epoch())))
        .IsAdmitted;
  }

  // Offers load for some seconds: a third of it urgent, with answers after
  // Response. Refused clients retry twice at once. Returns the shares admitted
  // of both kinds in the last second.
  std::pair<double, double> offer(Duration Length) {
    int Sent[2] = {0, 0};
    int Admitted[2] = {0, 0};
    const TimePoint End = Now + Length;
    for (int I = 0; Now < End; ++I) {
      const bool IsUrgent = I % 3 == 0;
      const auto Client = static_cast<uint32_t>(Random.next());
      bool IsAdmitted = false;
      for (int Attempt = 0; Attempt < 3 && !IsAdmitted; ++Attempt)
        IsAdmitted = admit(IsUrgent ? Urgent : Normal, Client);
      if (End - Now <= 1s) {
        ++Sent[IsUrgent ? 0 : 1];
        Admitted[IsUrgent ? 0 : 1] += IsAdmitted ? 1 : 0;
      }
      if (IsAdmitted)
        Policy.recordAnswer("chat", Response, true, Now);
      Now += 5ms;
    }
    return {static_cast<double>(Admitted[0]) / Sent[0],
            static_cast<double>(Admitted[1]) / Sent[1]};
  }

  // Sets a zone of 60 slots at the operating point, which serves 1,920
  // requests a second, and the openings offered to it.
  void saturate(double Factor) {
    Load = {192, 60, 1920 * Factor};
    Response = 100ms;
  }

  TimePoint Now{1h};
  AdmissionPolicy Policy{AdmissionOptions{true}};
  AdmissionLoad Load;
  Duration Response = 30ms;
  Route Urgent;
  Route Normal;
  RandomSource Random{1};
};

TEST_F(AdmissionPolicyTest, LeastUrgentAreRefusedFirst) {
  saturate(1.5);
  const auto [UrgentShare, NormalShare] = offer(10s);
  EXPECT_EQ(UrgentShare, 1);
  EXPECT_NEAR(NormalShare, 0.5, 0.1);
}

// Guards against the starvation of urgent requests by a rule that protects
// others, and of others while there is capacity.
TEST_F(AdmissionPolicyTest, UrgentAreRefusedWhenTheyAloneExceedTheCapacity) {
  saturate(2.5);
  auto [UrgentShare, NormalShare] = offer(10s);
  EXPECT_EQ(UrgentShare, 1);
  EXPECT_NEAR(NormalShare, 0.1, 0.07);
  saturate(6);
  std::tie(UrgentShare, NormalShare) = offer(10s);
  EXPECT_NEAR(UrgentShare, 0.5, 0.1);
  EXPECT_EQ(NormalShare, 0);
}

TEST_F(AdmissionPolicyTest, NothingIsRefusedWithCapacity) {
  Load = {48, 60, 1440};
  EXPECT_EQ(offer(10s), std::pair(1.0, 1.0));
  // Openings rise before the open exchanges do.
  Load.OpeningsPerSecond = 1800;
  EXPECT_EQ(offer(10s), std::pair(1.0, 1.0));
}

TEST_F(AdmissionPolicyTest, RoutesWithoutPriorityAreAlwaysAdmitted) {
  saturate(6);
  offer(10s);
  for (uint32_t Client = 0; Client < 1000; ++Client)
    EXPECT_TRUE(admit(Route(), Client));
}

TEST_F(AdmissionPolicyTest, UnknownLoadAdmitsAll) {
  Load = {180, 0, 10000};
  EXPECT_EQ(offer(5s), std::pair(1.0, 1.0));
  Load = {};
  EXPECT_EQ(offer(5s), std::pair(1.0, 1.0));
}

TEST_F(AdmissionPolicyTest, DisabledAdmissionAdmitsAll) {
  Policy = AdmissionPolicy(AdmissionOptions{false});
  saturate(6);
  EXPECT_EQ(offer(5s), std::pair(1.0, 1.0));
}

// Guards against refused clients that get in with their retries, through this
// or another instance, and so displace others.
TEST_F(AdmissionPolicyTest, RetriesOfARefusedClientAreRefused) {
  saturate(1.5);
  offer(10s);
  int Changed = 0;
  for (uint32_t Client = 0; Client < 1000; ++Client) {
    const bool First = admit(Normal, Client);
    Now += 2ms;
    Changed += admit(Normal, Client) != First ? 1 : 0;
    Now += 2ms;
  }
  EXPECT_LE(Changed, 15);
}

// Guards against clients whose hash is never admitted.
TEST_F(AdmissionPolicyTest, NoClientIsRefusedForEver) {
  saturate(1.5);
  offer(10s);
  for (uint32_t Client = 0; Client < 50; ++Client) {
    int Admitted = 0;
    for (int Period = 0; Period < 40; ++Period) {
      Admitted += admit(Normal, Client) ? 1 : 0;
      Now += 2s;
      Policy.recordAnswer("chat", Response, true, Now);
    }
    EXPECT_GT(Admitted, 2) << Client;
    EXPECT_LT(Admitted, 40) << Client;
  }
}

// Guards against an instance that refuses all, so gets no answers, and never
// learns that the load has fallen. 12 of 100 instances did so after a start,
// since they had answers before they knew of any demand.
TEST_F(AdmissionPolicyTest, InstanceWithoutAnswersAdmitsAgain) {
  saturate(1000);
  offer(2s);
  ASSERT_FALSE(admit(Urgent, 1));
  saturate(1);
  Now += 2001ms;
  EXPECT_EQ(offer(4s), std::pair(1.0, 1.0));
  Load = {0, 60, 1000};
  Policy = AdmissionPolicy(AdmissionOptions{true});
  EXPECT_EQ(offer(1s), std::pair(1.0, 1.0));
}

TEST_F(AdmissionPolicyTest, TargetAboveTheTimeLimitIsTheTimeLimit) {
  EXPECT_EQ(targetOf(Urgent), 400ms);
  Urgent.TimeLimit = 100ms;
  EXPECT_EQ(targetOf(Urgent), 100ms);
  Urgent.Aim = 0ms;
  EXPECT_EQ(targetOf(Urgent), 100ms);
  Urgent.TimeLimit = 0ms;
  EXPECT_EQ(targetOf(Urgent), 0ms);
}

// With a short target fewer requests may wait.
TEST_F(AdmissionPolicyTest, ShortTargetAdmitsLess) {
  saturate(1.5);
  const double Usual = offer(10s).second;
  Normal.Aim = 60ms;
  EXPECT_LT(offer(10s).second, Usual - 0.1);
}

} // namespace
} // namespace indigopoint
