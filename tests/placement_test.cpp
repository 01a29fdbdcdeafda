#include "placement.h"

#include <map>

#include <gtest/gtest.h>

#include "blackboard.h"

namespace indigopoint {
namespace {

const std::vector<std::string> Zones = {"lim-a", "lim-b", "lim-c", "lim-d"};

MemberTable membersOf(const std::vector<std::string> &Names) {
  MemberTable Table;
  for (const std::string &Name : Names) {
    Member Other;
    Other.Id = instanceIdOf(Name);
    Other.Zone = Name.substr(0, 5);
    Other.State = MemberState::Active;
    Table.ById[Other.Id] = Other;
  }
  return Table;
}

SelfState activeSelf() {
  SelfState Self;
  Self.Id = instanceIdOf("lim-a-1");
  Self.Zone = "lim-a";
  Self.State = MemberState::Active;
  return Self;
}

ServiceConfig serviceWith(const std::vector<std::string> &UpstreamZones) {
  ServiceConfig Service;
  Service.Id = ServiceId(1);
  Service.Name = "chat-core";
  for (size_t Index = 0; Index < UpstreamZones.size(); ++Index) {
    UpstreamConfig Upstream;
    Upstream.Name = "chat-" + std::to_string(Index);
    Upstream.Id = upstreamIdOf(Service.Name, Upstream.Name);
    Upstream.Zone = UpstreamZones[Index];
    Service.Upstreams.push_back(Upstream);
  }
  return Service;
}

TEST(PlacementTest, BackupTakesOverWhenHomeIsGone) {
  Placement Before;
  Before.update(activeSelf(), membersOf({"lim-a-2", "lim-b-1", "lim-b-2"}),
                Zones);
  Placement After;
  After.update(activeSelf(), membersOf({"lim-b-1", "lim-b-2"}), Zones);
  const InstanceId RemovedMember = instanceIdOf("lim-a-2");
  for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket) {
    if (Before.home(Bucket) == RemovedMember)
      ASSERT_EQ(After.home(Bucket), Before.backup(Bucket));
    else
      ASSERT_EQ(After.home(Bucket), Before.home(Bucket));
  }
}

// Guards against incremental changes that give a different table than a
// rebuild: instances that saw the changes in a different order would disagree
// on homes.
TEST(PlacementTest, IncrementalChangesGiveTheSameTableAsARebuild) {
  const std::vector<std::string> Names = {"lim-a-2", "lim-a-3", "lim-b-1",
                                          "lim-b-2", "lim-c-1", "lim-x-1"};
  const std::vector<std::string> ThreeZones = {"lim-a", "lim-b", "lim-c"};
  std::vector<std::string> Present;
  Placement Incremental;
  RandomSource Random(7);
  const SelfState Joining;
  for (int Step = 0; Step < 60; ++Step) {
    const std::string &Name = Names[Random.below(Names.size())];
    if (std::erase(Present, Name) == 0)
      Present.push_back(Name);
    Incremental.update(Joining, membersOf(Present), ThreeZones);
    Placement Rebuilt;
    Rebuilt.update(Joining, membersOf(Present), ThreeZones);
    for (uint32_t Bucket = 0; Bucket < FlowBuckets; Bucket += 7) {
      ASSERT_EQ(Incremental.home(Bucket), Rebuilt.home(Bucket)) << Step;
      ASSERT_EQ(Incremental.backup(Bucket), Rebuilt.backup(Bucket)) << Step;
    }
    for (const std::string &Zone : Zones)
      for (uint64_t Upstream = 0; Upstream < 20; ++Upstream)
        ASSERT_EQ(Incremental.owner(UpstreamId(Upstream), Zone),
                  Rebuilt.owner(UpstreamId(Upstream), Zone))
            << Step;
  }
}

// Guards against a sender that hands buckets to a joining instance that will
// not be their home.
TEST(PlacementTest, PredictedHomeAndOwnerMatchPlacementAfterJoin) {
  for (const char *Joiner : {"lim-a-3", "lim-d-1"}) {
    Placement Before;
    Before.update(activeSelf(), membersOf({"lim-a-2", "lim-b-1"}), Zones);
    Placement After;
    After.update(activeSelf(), membersOf({"lim-a-2", "lim-b-1", Joiner}),
                 Zones);
    const std::vector<PlacementCandidate> Joiners = {Before.candidate(
        instanceIdOf(Joiner), std::string(Joiner).substr(0, 5))};
    for (uint32_t Bucket = 0; Bucket < FlowBuckets; ++Bucket)
      ASSERT_EQ(Before.homeIfJoined(Bucket, Joiners), After.home(Bucket));
    for (uint64_t Upstream = 0; Upstream < 100; ++Upstream)
      ASSERT_EQ(Before.ownerIfJoined(UpstreamId(Upstream), "lim-d", Joiners),
                After.owner(UpstreamId(Upstream), "lim-d"));
  }
}

TEST(PlacementTest, LoneMemberOfZoneOwnsItsUpstreams) {
  Placement Current;
  Current.update(activeSelf(), membersOf({"lim-b-1", "lim-b-2"}), Zones);
  EXPECT_EQ(Current.owner(UpstreamId(7), "lim-a"), instanceIdOf("lim-a-1"));
}

TEST(PlacementTest, UpstreamOfZoneWithoutMembersHasAnOwner) {
  Placement Current;
  Current.update(activeSelf(), membersOf({"lim-b-1"}), Zones);
  EXPECT_FALSE(Current.isZoneServed("lim-d"));
  EXPECT_NE(Current.owner(UpstreamId(7), "lim-d"), InstanceId());
}

TEST(PlacementTest, FlowsFollowTheSlotsOfEachZone) {
  const ServiceConfig Service = serviceWith(
      {"lim-a", "lim-a", "lim-a", "lim-b", "lim-b", "lim-b", "lim-c", "lim-d"});
  std::map<std::string, int> Counts;
  constexpr double Flows = 40000;
  for (uint64_t Flow = 0; Flow < 40000; ++Flow)
    ++Counts[upstreamZone(FlowKey(rendezvousScore(Flow, 1)), Service, Zones)];
  EXPECT_NEAR(Counts["lim-a"], Flows * 3 / 8, Flows / 50);
  EXPECT_NEAR(Counts["lim-c"], Flows * 1 / 8, Flows / 50);
}

TEST(PlacementTest, FlowStaysInItsPreferredZoneWhileSharesAreEven) {
  const ServiceConfig Service =
      serviceWith({"lim-a", "lim-b", "lim-c", "lim-d"});
  for (uint64_t Flow = 0; Flow < 1000; ++Flow)
    EXPECT_EQ(upstreamZone(FlowKey(Flow), Service, Zones),
              Zones[preferredZone(bucketOf(FlowKey(Flow)), Zones)]);
}

TEST(PlacementTest, ServiceWithoutUpstreamsHasNoDefault) {
  EXPECT_EQ(defaultUpstream(FlowKey(1), serviceWith({}), Zones), nullptr);
}

} // namespace
} // namespace indigopoint
