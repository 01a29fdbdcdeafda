#include "upstream_registry.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;
using Change = UpstreamRegistry::Change;

constexpr TimePoint Start{1h};
const FlowAddress Flow{{1, 1}, {2, 2}};

UpstreamRegistration registration(uint64_t Id, const std::string &Service) {
  UpstreamRegistration Out;
  Out.Id = UpstreamId(Id);
  Out.Service = Service;
  Out.Address = {static_cast<uint32_t>(Id), 80};
  Out.StartedAtMs = 1000;
  return Out;
}

TEST(UpstreamRegistry, TellsWhatChanged) {
  UpstreamRegistry Registry;
  UpstreamRegistration Given = registration(1, "chat");
  EXPECT_EQ(Registry.put(Given, 5, Start), Change::Added);
  EXPECT_EQ(Registry.put(Given, 5, Start), Change::None);
  Given.Slots = 7;
  EXPECT_EQ(Registry.put(Given, 5, Start), Change::Updated);
  Given.Draining = true;
  EXPECT_EQ(Registry.put(Given, 5, Start), Change::Drained);
  EXPECT_EQ(Registry.remove(UpstreamId(1), Start), Change::Removed);
  EXPECT_EQ(Registry.remove(UpstreamId(1), Start), Change::None);
  Given.Draining = false;
  EXPECT_EQ(Registry.put(Given, 9, Start), Change::Returned);
  EXPECT_EQ(Registry.remove(UpstreamId(7), Start), Change::None);
}

// An upstream may start again under its id; what was seen of the old process
// says nothing of the new one.
TEST(UpstreamRegistry, ARestartUnderTheSameIdForgetsEvidence) {
  UpstreamRegistry Registry;
  UpstreamRegistration Given = registration(1, "chat");
  Registry.put(Given, 5, Start);
  Registry.find(UpstreamId(1))->Reachability.recordOpenTimeout(Start);
  Given.StartedAtMs = 2000;
  EXPECT_EQ(Registry.put(Given, 5, Start), Change::Restarted);
  EXPECT_FALSE(Registry.find(UpstreamId(1))->Reachability.isSuspect(Start));
}

// A registration can lapse while the upstream lives, so open flows still find
// it for as long as a flow may live.
TEST(UpstreamRegistry, ARemovedUpstreamIsFoundUntilItsFlowsAreOver) {
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

TEST(UpstreamRegistry, ASnapshotRemovesWhatItDoesNotHold) {
  UpstreamRegistry Registry;
  for (const uint64_t Id : {1, 2, 3})
    Registry.put(registration(Id, "chat"), Id, Start);
  std::vector<UpstreamId> Removed;
  Registry.retain({UpstreamId(2)}, Start,
                  [&](UpstreamId Id) { Removed.push_back(Id); });
  EXPECT_EQ(Removed, std::vector<UpstreamId>({UpstreamId(1), UpstreamId(3)}));
  EXPECT_EQ(Registry.count(UpstreamState::Ready), 1U);
}

TEST(UpstreamRegistry, AnUpstreamMovesBetweenServices) {
  UpstreamRegistry Registry;
  Registry.put(registration(1, "chat"), 5, Start);
  Registry.put(registration(1, "photos"), 5, Start);
  EXPECT_TRUE(Registry.upstreamsOfService("chat").empty());
  EXPECT_EQ(Registry.upstreamsOfService("photos").size(), 1U);
}

// Two upstreams can share a tag. All instances take the one that registered
// first, whatever order they heard of them in.
TEST(UpstreamRegistry, AmbiguousTagsBelongToTheFirstRegistered) {
  // Finds two ids whose tags agree for some flow.
  const uint64_t First = 1;
  uint64_t Second = 2;
  while (tagGroupOf(UpstreamId(Second)) != tagGroupOf(UpstreamId(First)))
    ++Second;
  FlowAddress Shared = Flow;
  while (tagOf(Shared, UpstreamId(First)) != tagOf(Shared, UpstreamId(Second)))
    ++Shared.Client.Address;
  const FlowTag Tag = tagOf(Shared, UpstreamId(First));
  for (const bool FirstHeard : {true, false}) {
    UpstreamRegistry Registry;
    Registry.put(registration(FirstHeard ? First : Second, "chat"),
                 FirstHeard ? 5 : 9, Start);
    Registry.put(registration(FirstHeard ? Second : First, "chat"),
                 FirstHeard ? 9 : 5, Start);
    EXPECT_EQ(Registry.findByTag(Shared, Tag)->Registration.Id,
              UpstreamId(First));
  }
}

TEST(UpstreamRegistry, TellsAnAddressThatBelongsToAnother) {
  UpstreamRegistry Registry;
  Registry.put(registration(1, "chat"), 5, Start);
  EXPECT_FALSE(Registry.isAddressReused(*Registry.find(UpstreamId(1))));
  Registry.remove(UpstreamId(1), Start);
  EXPECT_FALSE(Registry.isAddressReused(*Registry.find(UpstreamId(1))));
  UpstreamRegistration Next = registration(2, "photos");
  Next.Address = registration(1, "chat").Address;
  Registry.put(Next, 9, Start);
  EXPECT_TRUE(Registry.isAddressReused(*Registry.find(UpstreamId(1))));
}

// The control of a check has to be an upstream that is known to answer.
TEST(UpstreamRegistry, FindsTheOtherUpstreamThatAnsweredLast) {
  UpstreamRegistry Registry;
  for (const uint64_t Id : {1, 2, 3})
    Registry.put(registration(Id, "chat"), Id, Start);
  const Upstream &First = *Registry.find(UpstreamId(1));
  EXPECT_EQ(Registry.mostRecentlyAnswering(First), nullptr);
  Registry.find(UpstreamId(1))->Reachability.recordAnswer(Start + 9s);
  Registry.find(UpstreamId(2))->Reachability.recordAnswer(Start + 3s);
  Registry.find(UpstreamId(3))->Reachability.recordAnswer(Start + 5s);
  EXPECT_EQ(Registry.mostRecentlyAnswering(First)->Registration.Id,
            UpstreamId(3));
}

// 0 means that there is no tag.
TEST(FlowTags, AreNeverZero) {
  FlowAddress Each = Flow;
  for (uint32_t Index = 0; Index < 200'000; ++Index) {
    Each.Client.Address = Index;
    ASSERT_NE(tagOf(Each, UpstreamId(1)).value(), 0U);
  }
}

} // namespace
} // namespace indigopoint
