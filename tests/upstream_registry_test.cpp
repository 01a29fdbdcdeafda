#include "upstream_registry.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;
using Change = UpstreamRegistry::Change;

constexpr TimePoint Start{1h};
const FlowAddress Flow{{1, 1}, {2, 2}};

UpstreamRegistration registration(uint64_t Id, const std::string &Service) {
  UpstreamRegistration Result;
  Result.Id = UpstreamId(Id);
  Result.Service = Service;
  Result.Address = {static_cast<uint32_t>(Id), 80};
  Result.StartedAtMs = 1000;
  return Result;
}

TEST(UpstreamRegistry, ReportsTheKindOfChange) {
  UpstreamRegistry Registry;
  UpstreamRegistration Registration = registration(1, "chat");
  EXPECT_EQ(Registry.put(Registration, 5, Start), Change::Added);
  EXPECT_EQ(Registry.put(Registration, 5, Start), Change::None);
  Registration.Slots = 7;
  EXPECT_EQ(Registry.put(Registration, 5, Start), Change::Updated);
  Registration.Draining = true;
  EXPECT_EQ(Registry.put(Registration, 5, Start), Change::DrainStarted);
  EXPECT_EQ(Registry.remove(UpstreamId(1), Start), Change::Removed);
  EXPECT_EQ(Registry.remove(UpstreamId(1), Start), Change::None);
  Registration.Draining = false;
  EXPECT_EQ(Registry.put(Registration, 9, Start), Change::RegisteredAgain);
  EXPECT_EQ(Registry.remove(UpstreamId(7), Start), Change::None);
}

// An upstream may restart under the same id. Guards against judging the new
// process by the reachability of the old one.
TEST(UpstreamRegistry, RestartUnderTheSameIdResetsReachability) {
  UpstreamRegistry Registry;
  UpstreamRegistration Registration = registration(1, "chat");
  Registry.put(Registration, 5, Start);
  Registry.find(UpstreamId(1))->Reachability.recordOpenTimeout(Start);
  Registration.StartedAtMs = 2000;
  EXPECT_EQ(Registry.put(Registration, 5, Start), Change::Restarted);
  EXPECT_FALSE(Registry.find(UpstreamId(1))->Reachability.isSuspect(Start));
}

// A registration can lapse while the upstream is running, so open flows still
// find the upstream for the maximum lifetime of a flow.
TEST(UpstreamRegistry, UnregisteredUpstreamIsFoundUntilItsFlowsExpire) {
  UpstreamRegistry Registry;
  Registry.put(registration(1, "chat"), 5, Start);
  Registry.remove(UpstreamId(1), Start);
  const FlowTag Tag = tagOf(Flow, UpstreamId(1));
  Registry.expire(Start + 60s, 60s);
  EXPECT_NE(Registry.findByTag(Flow, Tag), nullptr);
  Registry.expire(Start + 61s, 60s);
  EXPECT_EQ(Registry.findByTag(Flow, Tag), nullptr);
  EXPECT_TRUE(Registry.upstreamsOfService("chat").empty());
}

TEST(UpstreamRegistry, FindsUpstreamsThatASnapshotLacks) {
  UpstreamRegistry Registry;
  for (const uint64_t Id : {1, 2, 3})
    Registry.put(registration(Id, "chat"), Id, Start);
  EXPECT_EQ(Registry.missingFrom({UpstreamId(2)}),
            std::vector<UpstreamId>({UpstreamId(1), UpstreamId(3)}));
  Registry.remove(UpstreamId(1), Start);
  EXPECT_EQ(Registry.missingFrom({UpstreamId(2)}),
            std::vector<UpstreamId>({UpstreamId(3)}));
}

TEST(UpstreamRegistry, UpstreamCanChangeItsService) {
  UpstreamRegistry Registry;
  Registry.put(registration(1, "chat"), 5, Start);
  Registry.put(registration(1, "photos"), 5, Start);
  EXPECT_TRUE(Registry.upstreamsOfService("chat").empty());
  EXPECT_EQ(Registry.upstreamsOfService("photos").size(), 1U);
}

// Two upstreams can have the same tag for a flow. Guards against instances that
// choose different upstreams because they read the registrations in different
// orders.
TEST(UpstreamRegistry, AmbiguousTagIdentifiesTheUpstreamRegisteredFirst) {
  // Finds two ids and a flow for which both ids have the same tag.
  const uint64_t First = 1;
  uint64_t Second = 2;
  while (tagGroupOf(UpstreamId(Second)) != tagGroupOf(UpstreamId(First)))
    ++Second;
  FlowAddress CollidingFlow = Flow;
  while (tagOf(CollidingFlow, UpstreamId(First)) !=
         tagOf(CollidingFlow, UpstreamId(Second)))
    ++CollidingFlow.Client.Address;
  const FlowTag Tag = tagOf(CollidingFlow, UpstreamId(First));
  for (const bool IsAddedInRegistrationOrder : {true, false}) {
    UpstreamRegistry Registry;
    Registry.put(
        registration(IsAddedInRegistrationOrder ? First : Second, "chat"),
        IsAddedInRegistrationOrder ? 5 : 9, Start);
    Registry.put(
        registration(IsAddedInRegistrationOrder ? Second : First, "chat"),
        IsAddedInRegistrationOrder ? 9 : 5, Start);
    EXPECT_EQ(Registry.findByTag(CollidingFlow, Tag)->Registration.Id,
              UpstreamId(First));
  }
}

TEST(UpstreamRegistry, DetectsReusedAddress) {
  UpstreamRegistry Registry;
  Registry.put(registration(1, "chat"), 5, Start);
  EXPECT_FALSE(Registry.isAddressReused(*Registry.find(UpstreamId(1))));
  Registry.remove(UpstreamId(1), Start);
  EXPECT_FALSE(Registry.isAddressReused(*Registry.find(UpstreamId(1))));
  UpstreamRegistration NewRegistration = registration(2, "photos");
  NewRegistration.Address = registration(1, "chat").Address;
  Registry.put(NewRegistration, 9, Start);
  EXPECT_TRUE(Registry.isAddressReused(*Registry.find(UpstreamId(1))));
}

// The reference of a connection check has to be an upstream that is known to
// answer.
TEST(UpstreamRegistry, FindsTheOtherUpstreamThatAnsweredMostRecently) {
  UpstreamRegistry Registry;
  for (const uint64_t Id : {1, 2, 3})
    Registry.put(registration(Id, "chat"), Id, Start);
  const Upstream &First = *Registry.find(UpstreamId(1));
  EXPECT_EQ(Registry.mostRecentlyAnswering(First, TimePoint()), nullptr);
  Registry.find(UpstreamId(1))->Reachability.recordAnswer(Start + 9s);
  Registry.find(UpstreamId(2))->Reachability.recordAnswer(Start + 3s);
  Registry.find(UpstreamId(3))->Reachability.recordAnswer(Start + 5s);
  EXPECT_EQ(Registry.mostRecentlyAnswering(First, TimePoint())->Registration.Id,
            UpstreamId(3));
}

// 0 means that there is no tag.
TEST(FlowTags, AreNeverZero) {
  FlowAddress Address = Flow;
  for (uint32_t Index = 0; Index < 200'000; ++Index) {
    Address.Client.Address = Index;
    ASSERT_NE(tagOf(Address, UpstreamId(1)).value(), 0U);
  }
}

} // namespace
} // namespace indigopoint
