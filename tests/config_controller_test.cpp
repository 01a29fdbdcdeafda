#include "config_controller.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "config_codec.h"
#include "config_fleet.h"
#include "store_format.h"

namespace indigopoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Node = ConfigFleet::Node;

class ConfigControllerTest : public ::testing::Test {
protected:
  void addNodes(const std::vector<std::string> &Zones, int PerZone) {
    for (const std::string &Zone : Zones)
      for (int Index = 0; Index < PerZone; ++Index)
        Fleet.add(Zone + "-" + std::to_string(Index), Zone);
  }

  void putChanges(uint64_t First, uint64_t Last) {
    for (uint64_t Version = First; Version <= Last; ++Version)
      Fleet.Store.put(fleetKey(Version), encodeChange(fleetChange(Version)));
  }

  void putSnapshot(uint64_t Version) {
    Configuration Config;
    for (uint64_t Each = 1; Each <= Version; ++Each)
      applyChange(fleetChange(Each), Config);
    std::vector<std::string> Parts;
    ASSERT_FALSE(encodeSnapshotParts(Config, Parts));
    for (size_t Index = 0; Index < Parts.size(); ++Index)
      Fleet.Store.put(
          snapshotPartKey("indigopoint/", ConfigVersion(Version), Index),
          Parts[Index]);
    Fleet.Store.put(
        snapshotLatestKey("indigopoint/"),
        encodeSnapshotHeader(
            {ConfigVersion(Version), static_cast<uint32_t>(Parts.size())}));
  }

  static bool hasLogged(const Node &Where, const std::string &Text) {
    return std::any_of(Where.Log.begin(), Where.Log.end(),
                       [&](const std::string &Line) {
                         return Line.find(Text) != std::string::npos;
                       });
  }

  Node &node(size_t Index) { return *Fleet.Nodes[Index]; }

  ConfigFleet Fleet;
};

// Guards against a store load that grows with the fleet.
TEST_F(ConfigControllerTest, OnlyTwoReadersPerZoneCallTheStore) {
  addNodes({"lim-a", "lim-b"}, 20);
  putChanges(1, 1);
  ASSERT_LT(Fleet.runUntil(1, seconds(10)), seconds(5));
  Fleet.run(seconds(15));
  const uint64_t ReadsBefore = Fleet.Store.Reads;
  putChanges(2, 2);
  EXPECT_LT(Fleet.runUntil(2, seconds(10)), seconds(5));
  const auto Callers =
      std::count_if(Fleet.Nodes.begin(), Fleet.Nodes.end(),
                    [](const auto &Each) { return Each->StoreCalls > 0; });
  EXPECT_EQ(Callers, 4);
  EXPECT_LE(Fleet.Store.Reads - ReadsBefore, 3U * 4U);
  for (const auto &Each : Fleet.Nodes)
    EXPECT_LE(Each->MostOpenCalls, 1U);
}

// Guards against a stale peer that replaces a newer configuration.
TEST_F(ConfigControllerTest, StalePeerNeverReverts) {
  addNodes({"lim-a", "lim-b"}, 2);
  putChanges(1, 3);
  Fleet.runUntil(3, seconds(10));
  const Configuration InForce = node(0).Board.Config;
  const Sender Peer{node(2).Board.Self.Id, {}};
  Fleet.Gossip = false;
  Fleet.Network = [](Node &, Node &, Message &) { return false; };
  Configuration Old;
  applyChange(fleetChange(1), Old);
  applyChange(fleetChange(2), Old);
  for (const bool Snapshot : {false, true}) {
    const std::string Text = addChecksum(
        Snapshot ? encodeConfiguration(Old) : encodeChange(fleetChange(2)));
    // Announces version 9, then sends version 2 under its own or a newer one.
    for (const uint64_t Claimed : {2, 4, 9}) {
      const uint64_t SentBefore = node(0).SentBytes;
      Fleet.announce(node(2), node(0), 9);
      Fleet.run(milliseconds(1200));
      ASSERT_GT(node(0).SentBytes, SentBefore) << "no fetch is in progress";
      ActionSink Sink;
      node(0).Config.onConfigChunk(Peer,
                                   {ConfigVersion(Claimed), Snapshot, 0,
                                    static_cast<uint32_t>(Text.size()), Text},
                                   Sink);
      EXPECT_EQ(node(0).Board.Config, InForce);
    }
  }
}

// Guards against a store that answers from an old replica: neither an older
// revision nor another version under the next key may be applied.
TEST_F(ConfigControllerTest, StaleStoreNeverReverts) {
  Node &Reader = Fleet.add("lim-a-0", "lim-a");
  putChanges(1, 2);
  putSnapshot(2);
  Fleet.runUntil(2, seconds(10));
  const Configuration InForce = Reader.Board.Config;
  Fleet.Store.put(fleetKey(3), encodeChange(fleetChange(1)));
  Fleet.run(seconds(5));
  EXPECT_EQ(Reader.Board.Config, InForce);
  EXPECT_TRUE(hasLogged(Reader, "it holds version 1, in force is 2"));
  Fleet.Store.Keys.erase(fleetKey(3));
  Fleet.StoreFilter = [](StoreAnswer &Answer) { Answer.Revision = 0; };
  putSnapshot(1);
  Fleet.run(seconds(70));
  EXPECT_EQ(Reader.Board.Config, InForce);
  EXPECT_TRUE(hasLogged(Reader, "rejected revision 0"));
}

// Guards against readers that call a failing store in a loop, and against all
// of them calling in the same moment when it returns.
TEST_F(ConfigControllerTest, BackOffBoundsCallRateDuringOutage) {
  addNodes({"lim-a", "lim-b", "lim-c"}, 4);
  putChanges(1, 1);
  Fleet.runUntil(1, seconds(10));
  Fleet.Store.Down = true;
  Fleet.run(seconds(30));
  const uint64_t Before = Fleet.Store.Reads + Fleet.Store.Watches;
  Fleet.run(seconds(300));
  const uint64_t Calls = Fleet.Store.Reads + Fleet.Store.Watches - Before;
  // 6 readers, each at most every 15 s and at least every 30 s.
  EXPECT_LE(Calls, 6U * 21U);
  EXPECT_GE(Calls, 6U * 9U);
  EXPECT_EQ(node(0).version(), 1U);
  Fleet.Store.Down = false;
  putChanges(2, 2);
  std::map<TimePoint, uint64_t> PerMoment;
  for (int Step = 0; Step < 3500; ++Step) {
    const uint64_t Count = Fleet.Store.Reads + Fleet.Store.Watches;
    Fleet.run(milliseconds(10));
    PerMoment[Fleet.TimeSource.Now] =
        Fleet.Store.Reads + Fleet.Store.Watches - Count;
  }
  EXPECT_EQ(node(0).version(), 2U);
  for (const auto &[At, Count] : PerMoment)
    EXPECT_LE(Count, 4U);
}

// Guards against a call left open forever when the adapter loses its answer.
TEST_F(ConfigControllerTest, LostStoreAnswerIsGivenUp) {
  Node &Reader = Fleet.add("lim-a-0", "lim-a");
  putChanges(1, 1);
  bool Lose = true;
  Fleet.StoreFilter = [&](StoreAnswer &Answer) {
    if (Lose)
      Answer.Call = StoreCallId(0);
  };
  Fleet.run(seconds(4));
  EXPECT_EQ(Reader.version(), 0U);
  Lose = false;
  Fleet.run(seconds(10));
  EXPECT_EQ(Reader.version(), 1U);
}

// Guards against a zone that waits for the store although another zone has the
// configuration.
TEST_F(ConfigControllerTest, RestartedZoneIsServedByOthersDuringOutage) {
  addNodes({"lim-a"}, 3);
  putChanges(1, 3);
  Fleet.runUntil(3, seconds(10));
  Fleet.Store.Down = true;
  addNodes({"lim-b"}, 5);
  EXPECT_LT(Fleet.runUntil(3, seconds(10)), seconds(5));
}

// Guards against thousands of starting instances that all read the store.
TEST_F(ConfigControllerTest, FreshInstancesDoNotStormAnEmptyStore) {
  addNodes({"lim-a"}, 100);
  Fleet.run(seconds(60));
  // Without a limit per instance, 100 ticks a second would make 600,000.
  EXPECT_LT(Fleet.Store.Reads, 1000U);
  putChanges(1, 1);
  EXPECT_LT(Fleet.runUntil(1, seconds(20)), seconds(5));
}

// Guards against a fresh instance that waits for readers that cannot reach the
// store.
TEST_F(ConfigControllerTest, FreshInstanceReadsTheStoreWithoutOffers) {
  addNodes({"lim-a"}, 4);
  putChanges(1, 2);
  Fleet.Gossip = false;
  Fleet.runUntil(2, seconds(10));
  for (const auto &Each : Fleet.Nodes)
    EXPECT_EQ(Each->version(), 2U);
}

// Guards against loss, duplication and reordering of chunks.
TEST_F(ConfigControllerTest, LostAndRepeatedChunksAreHarmless) {
  addNodes({"lim-a", "lim-b"}, 4);
  Fleet.Store.put(fleetKey(1), encodeChange(fleetChange(1, 200)));
  RandomSource Random(7);
  Fleet.Network = [&](Node &, Node &To, Message &Body) {
    if (const auto *Chunk = std::get_if<ConfigChunk>(&Body)) {
      ActionSink Ignored;
      if (Random.below(4) == 0)
        To.Config.onConfigChunk({}, *Chunk, Ignored);
    }
    return Random.below(10) >= 3;
  };
  EXPECT_LT(Fleet.runUntil(1, seconds(10)), seconds(8));
  for (const auto &Each : Fleet.Nodes) {
    EXPECT_EQ(Each->Board.Config, node(0).Board.Config);
    EXPECT_EQ(Each->version(), 1U);
  }
}

// Guards against a damaged chunk that still decodes as a configuration.
TEST_F(ConfigControllerTest, CorruptedChunkIsLoggedAndAnotherPeerTried) {
  addNodes({"lim-a"}, 4);
  putChanges(1, 1);
  const InstanceId Bad = node(0).Board.Self.Id;
  Fleet.Network = [&](Node &From, Node &, Message &Body) {
    auto *Chunk = std::get_if<ConfigChunk>(&Body);
    if (Chunk == nullptr || From.Board.Self.Id != Bad)
      return true;
    const size_t At = Chunk->Bytes.find("\"slots\":2");
    if (At != std::string::npos)
      Chunk->Bytes[At + 8] = '7';
    return true;
  };
  Fleet.runUntil(1, seconds(10));
  Node &Fresh = Fleet.add("lim-b-0", "lim-b");
  Fleet.StoreReachable = [&](const Node &Who) { return &Who != &Fresh; };
  Fleet.Gossip = false;
  Fleet.announce(node(0), Fresh, 1);
  Fleet.run(milliseconds(100));
  EXPECT_EQ(Fresh.version(), 0U);
  EXPECT_TRUE(hasLogged(Fresh, "sent a malformed document of version 1"));
  Fleet.announce(node(1), Fresh, 1);
  Fleet.run(milliseconds(100));
  EXPECT_EQ(Fresh.Board.Config, node(1).Board.Config);
}

// Guards against a peer that offers a version and then sends nothing.
TEST_F(ConfigControllerTest, SilentPeerIsReplacedAfterTwoSeconds) {
  addNodes({"lim-a"}, 3);
  putChanges(1, 1);
  Fleet.runUntil(1, seconds(10));
  Node &Late = Fleet.add("lim-b-0", "lim-b");
  Fleet.StoreReachable = [&](const Node &Who) { return &Who != &Late; };
  Fleet.Gossip = false;
  Fleet.Network = [&](Node &From, Node &, Message &) {
    return &From != &node(0);
  };
  Fleet.announce(node(0), Late, 1);
  Fleet.run(seconds(1));
  Fleet.announce(node(1), Late, 1);
  Fleet.run(milliseconds(1200));
  EXPECT_EQ(Late.version(), 1U);
}

// Guards against documents that exhaust the memory of the instance.
TEST_F(ConfigControllerTest, OversizedDocumentIsRefusedWithTheLimit) {
  addNodes({"lim-a"}, 2);
  Fleet.announce(node(1), node(0), 5);
  ActionSink Sink;
  node(0).Config.onConfigChunk(
      {node(1).Board.Self.Id, {}},
      {ConfigVersion(5), true, 0, 4000000000U, std::string(1100, 'x')}, Sink);
  const auto &Line = std::get<LogLine>(Sink.Actions.at(0));
  EXPECT_NE(Line.Text.find("the limit is 33554432"), std::string::npos);
}

// Guards against an instance that asks forever for changes nobody keeps.
TEST_F(ConfigControllerTest, FarBehindInstanceGetsASnapshot) {
  addNodes({"lim-a"}, 2);
  putChanges(1, 300);
  Fleet.runUntil(300, seconds(30));
  Node &Behind = Fleet.add("lim-b-0", "lim-b");
  Behind.Board.Config.Version = ConfigVersion(40);
  Fleet.Store.Down = true;
  EXPECT_LT(Fleet.runUntil(300, seconds(10)), seconds(5));
  EXPECT_EQ(Behind.Board.Config, node(0).Board.Config);
  EXPECT_EQ(std::count_if(Behind.Log.begin(), Behind.Log.end(),
                          [](const std::string &Line) {
                            return Line.find("in force") != std::string::npos;
                          }),
            1);
}

// Guards against a reader that waits for a change that was deleted from the
// store after a snapshot.
TEST_F(ConfigControllerTest, ReaderBehindDeletedChangesReadsTheSnapshot) {
  Node &Reader = Fleet.add("lim-a-0", "lim-a");
  Reader.Board.Config.Version = ConfigVersion(5);
  putSnapshot(100);
  putChanges(101, 103);
  EXPECT_LT(Fleet.runUntil(103, seconds(10)), seconds(5));
}

// Guards against peers of different versions that pull each other back, and
// checks that one change after the other is fetched.
TEST_F(ConfigControllerTest, SkewedVersionsOnlyRise) {
  addNodes({"lim-a", "lim-b"}, 5);
  std::vector<uint64_t> Seen(Fleet.Nodes.size());
  for (uint64_t Version = 1; Version <= 30; ++Version) {
    putChanges(Version, Version);
    for (int Step = 0; Step < 20; ++Step) {
      Fleet.run(milliseconds(10));
      for (size_t Index = 0; Index < Seen.size(); ++Index) {
        ASSERT_GE(node(Index).version(), Seen[Index]);
        Seen[Index] = node(Index).version();
      }
    }
  }
  EXPECT_LT(Fleet.runUntil(30, seconds(10)), seconds(5));
}

// Guards against changes above the store's limit for one value.
TEST_F(ConfigControllerTest, ChangeOfOneMegabyteIsSplitByService) {
  addNodes({"lim-a"}, 4);
  ConfigChange Large = fleetChange(1);
  for (uint32_t Id = 2; Id < 12; ++Id)
    Large.ChangedServices.push_back(fleetService(Id, 1200));
  StoredChange Stored;
  ASSERT_FALSE(encodeStoredChange(Large, Stored));
  ASSERT_GT(Stored.Parts.size(), 1U);
  for (size_t Index = 0; Index < Stored.Parts.size(); ++Index) {
    ASSERT_LE(Stored.Parts[Index].size(), MaxStoreValueBytes);
    Fleet.Store.put(changePartKey("indigopoint/", Large.ChangeId, Index),
                    Stored.Parts[Index]);
  }
  Fleet.Store.put(fleetKey(1), Stored.Value);
  EXPECT_LT(Fleet.runUntil(1, seconds(10)), seconds(5));
  EXPECT_EQ(node(3).Board.Config.Services.size(), 11U);
  EXPECT_EQ(node(3).Board.Config, node(0).Board.Config);
}

// Guards against a snapshot that is encoded in one call, which delays packets
// for 190 ms at 40,000 upstreams, and against one that never becomes complete
// because changes go on.
TEST_F(ConfigControllerTest, LargeSnapshotIsEncodedInSteps) {
  addNodes({"lim-a"}, 1);
  Configuration Large;
  Large.Version = ConfigVersion(1);
  for (uint32_t Id = 2; Id < 40; ++Id)
    Large.Services[ServiceId(Id)] = fleetService(Id, 100);
  node(0).Board.Config = Large;
  ActionSink Sink;
  node(0).Config.onConfigPull({InstanceId(7), {}}, {1, 1}, {}, Sink);
  EXPECT_TRUE(Sink.Actions.empty());
  Fleet.add("lim-b-0", "lim-b");
  Fleet.StoreReachable = [&](const Node &Who) { return &Who == &node(0); };
  for (uint64_t Version = 2; Version < 30; ++Version) {
    putChanges(Version, Version);
    Fleet.run(milliseconds(200));
  }
  EXPECT_LT(Fleet.runUntil(29, seconds(10)), seconds(5));
  EXPECT_EQ(node(1).Board.Config, node(0).Board.Config);
  ConfigurationEncoder Encoder(Large);
  while (!Encoder.step(150))
    ;
  EXPECT_EQ(Encoder.take(), encodeConfiguration(Large));
}

// Guards against a zone without readers after both died.
TEST_F(ConfigControllerTest, DeadReadersAreReplaced) {
  addNodes({"lim-a"}, 6);
  putChanges(1, 1);
  Fleet.runUntil(1, seconds(10));
  for (const auto &Each : Fleet.Nodes)
    if (Each->StoreCalls > 0)
      Fleet.kill(*Each);
  putChanges(2, 2);
  EXPECT_LT(Fleet.runUntil(2, seconds(10)), seconds(5));
}

} // namespace
} // namespace indigopoint
