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
    for (uint64_t Number = 1; Number <= Version; ++Number)
      applyChange(fleetChange(Number), Config);
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

  static bool hasLogged(const Node &Instance, const std::string &Text) {
    return std::any_of(Instance.Log.begin(), Instance.Log.end(),
                       [&](const std::string &Line) {
                         return Line.find(Text) != std::string::npos;
                       });
  }

  Node &node(size_t Index) { return *Fleet.Nodes[Index]; }

  ConfigFleet Fleet;
};

// Guards against a load of the store that grows with the number of instances.
TEST_F(ConfigControllerTest, OnlyTwoReadersPerZoneCallStore) {
  addNodes({"lim-a", "lim-b"}, 20);
  putChanges(1, 1);
  ASSERT_LT(Fleet.runUntil(1, seconds(10)), seconds(5));
  Fleet.run(seconds(15));
  const uint64_t ReadsBefore = Fleet.Store.Reads;
  putChanges(2, 2);
  EXPECT_LT(Fleet.runUntil(2, seconds(10)), seconds(5));
  const auto Callers = std::count_if(
      Fleet.Nodes.begin(), Fleet.Nodes.end(),
      [](const auto &Instance) { return Instance->StoreCalls > 0; });
  EXPECT_EQ(Callers, 4);
  EXPECT_LE(Fleet.Store.Reads - ReadsBefore, 3U * 4U);
  for (const auto &Instance : Fleet.Nodes)
    EXPECT_LE(Instance->MaxPendingCalls, 1U);
}

// Guards against a stale peer that replaces a newer configuration.
TEST_F(ConfigControllerTest, StalePeerNeverRevertsConfiguration) {
  addNodes({"lim-a", "lim-b"}, 2);
  putChanges(1, 3);
  Fleet.runUntil(3, seconds(10));
  const Configuration Expected = node(0).Board.Config;
  const Sender Peer{node(2).Board.Self.Id, {}};
  Fleet.Gossip = false;
  Fleet.DatagramFilter = [](Node &, Node &, Message &) { return false; };
  Configuration Old;
  applyChange(fleetChange(1), Old);
  applyChange(fleetChange(2), Old);
  for (const bool Snapshot : {false, true}) {
    const std::string Text = addChecksum(
        Snapshot ? encodeConfiguration(Old) : encodeChange(fleetChange(2)));
    // Announces version 9, then sends version 2 labelled as version 2, 4 or 9.
    for (const uint64_t ClaimedVersion : {2, 4, 9}) {
      const uint64_t SentBefore = node(0).SentBytes;
      Fleet.announce(node(2), node(0), 9);
      Fleet.run(milliseconds(1200));
      ASSERT_GT(node(0).SentBytes, SentBefore) << "no fetch is in progress";
      ActionSink Sink;
      node(0).Config.onConfigChunk(Peer,
                                   {ConfigVersion(ClaimedVersion), Snapshot, 0,
                                    static_cast<uint32_t>(Text.size()), Text},
                                   Sink);
      EXPECT_EQ(node(0).Board.Config, Expected);
    }
  }
}

// Guards against a store that answers from an old replica: neither an older
// revision nor a wrong version under the next key may be applied.
TEST_F(ConfigControllerTest, StaleStoreNeverRevertsConfiguration) {
  Node &Reader = Fleet.add("lim-a-0", "lim-a");
  putChanges(1, 2);
  putSnapshot(2);
  Fleet.runUntil(2, seconds(10));
  const Configuration Expected = Reader.Board.Config;
  Fleet.Store.put(fleetKey(3), encodeChange(fleetChange(1)));
  Fleet.run(seconds(5));
  EXPECT_EQ(Reader.Board.Config, Expected);
  EXPECT_TRUE(
      hasLogged(Reader, "it holds version 1, but the version in force is 2"));
  Fleet.Store.remove(fleetKey(3));
  Fleet.AlterStoreAnswer = [](StoreAnswer &Answer) {
    Answer.Result.Position.Revision = 0;
  };
  putSnapshot(1);
  Fleet.run(seconds(70));
  EXPECT_EQ(Reader.Board.Config, Expected);
  EXPECT_TRUE(hasLogged(Reader, "rejected revision 0"));
}

// Guards against readers that call a failing store in a loop, and against all
// readers calling at the same time when the store is reachable again.
TEST_F(ConfigControllerTest, BackOffBoundsCallRateDuringOutage) {
  addNodes({"lim-a", "lim-b", "lim-c"}, 4);
  putChanges(1, 1);
  Fleet.runUntil(1, seconds(10));
  Fleet.Store.Down = true;
  Fleet.run(seconds(30));
  const uint64_t CallsBefore = Fleet.Store.Reads + Fleet.Store.Watches;
  Fleet.run(seconds(300));
  const uint64_t Calls = Fleet.Store.Reads + Fleet.Store.Watches - CallsBefore;
  // 6 readers, each at most every 15 s and at least every 30 s.
  EXPECT_LE(Calls, 6U * 21U);
  EXPECT_GE(Calls, 6U * 9U);
  EXPECT_EQ(node(0).version(), 1U);
  Fleet.Store.Down = false;
  putChanges(2, 2);
  std::map<TimePoint, uint64_t> CallsByTime;
  for (int Step = 0; Step < 3500; ++Step) {
    const uint64_t Count = Fleet.Store.Reads + Fleet.Store.Watches;
    Fleet.run(milliseconds(10));
    CallsByTime[Fleet.TimeSource.Now] =
        Fleet.Store.Reads + Fleet.Store.Watches - Count;
  }
  EXPECT_EQ(node(0).version(), 2U);
  for (const auto &[Time, Count] : CallsByTime)
    EXPECT_LE(Count, 4U);
}

// Guards against a call that stays pending forever when the platform client
// loses its answer.
TEST_F(ConfigControllerTest, LostStoreAnswerTimesOut) {
  Node &Reader = Fleet.add("lim-a-0", "lim-a");
  putChanges(1, 1);
  bool LoseAnswers = true;
  Fleet.AlterStoreAnswer = [&](StoreAnswer &Answer) {
    if (LoseAnswers)
      Answer.Call = StoreCallId(0);
  };
  Fleet.run(seconds(4));
  EXPECT_EQ(Reader.version(), 0U);
  LoseAnswers = false;
  Fleet.run(seconds(10));
  EXPECT_EQ(Reader.version(), 1U);
}

// Guards against a zone that waits for the store although another zone has the
// configuration.
TEST_F(ConfigControllerTest, RestartedZoneReadsFromOtherZonesDuringOutage) {
  addNodes({"lim-a"}, 3);
  putChanges(1, 3);
  Fleet.runUntil(3, seconds(10));
  Fleet.Store.Down = true;
  addNodes({"lim-b"}, 5);
  EXPECT_LT(Fleet.runUntil(3, seconds(10)), seconds(5));
}

// Guards against thousands of starting instances that all read the store.
TEST_F(ConfigControllerTest, NewInstancesLimitCallsToEmptyStore) {
  addNodes({"lim-a"}, 100);
  Fleet.run(seconds(60));
  // Without a limit per instance, 100 ticks a second would make 600,000 calls.
  EXPECT_LT(Fleet.Store.Reads, 1000U);
  putChanges(1, 1);
  EXPECT_LT(Fleet.runUntil(1, seconds(20)), seconds(5));
}

// Guards against a new instance that waits for readers that cannot reach the
// store.
TEST_F(ConfigControllerTest, NewInstanceReadsStoreWithoutOffers) {
  addNodes({"lim-a"}, 4);
  putChanges(1, 2);
  Fleet.Gossip = false;
  Fleet.runUntil(2, seconds(10));
  for (const auto &Instance : Fleet.Nodes)
    EXPECT_EQ(Instance->version(), 2U);
}

// Guards against a wrong configuration after loss, duplication or reordering of
// chunks.
TEST_F(ConfigControllerTest, LostAndDuplicateChunksAreTolerated) {
  addNodes({"lim-a", "lim-b"}, 4);
  Fleet.Store.put(fleetKey(1), encodeChange(fleetChange(1, 200)));
  RandomSource Random(7);
  Fleet.DatagramFilter = [&](Node &, Node &To, Message &Body) {
    if (const auto *Chunk = std::get_if<ConfigChunk>(&Body)) {
      ActionSink UnusedSink;
      if (Random.below(4) == 0)
        To.Config.onConfigChunk({}, *Chunk, UnusedSink);
    }
    return Random.below(10) >= 3;
  };
  EXPECT_LT(Fleet.runUntil(1, seconds(10)), seconds(8));
  for (const auto &Instance : Fleet.Nodes) {
    EXPECT_EQ(Instance->Board.Config, node(0).Board.Config);
    EXPECT_EQ(Instance->version(), 1U);
  }
}

// Guards against a damaged chunk that still decodes as a configuration.
TEST_F(ConfigControllerTest, CorruptedChunkIsLoggedAndAnotherPeerIsTried) {
  addNodes({"lim-a"}, 4);
  putChanges(1, 1);
  const InstanceId BadPeer = node(0).Board.Self.Id;
  Fleet.DatagramFilter = [&](Node &From, Node &, Message &Body) {
    auto *Chunk = std::get_if<ConfigChunk>(&Body);
    if (Chunk == nullptr || From.Board.Self.Id != BadPeer)
      return true;
    const size_t Position = Chunk->Bytes.find("\"slots\":2");
    if (Position != std::string::npos)
      Chunk->Bytes[Position + 8] = '7';
    return true;
  };
  Fleet.runUntil(1, seconds(10));
  Node &NewNode = Fleet.add("lim-b-0", "lim-b");
  Fleet.StoreReachable = [&](const Node &Caller) {
    return &Caller != &NewNode;
  };
  Fleet.Gossip = false;
  Fleet.announce(node(0), NewNode, 1);
  Fleet.run(milliseconds(100));
  EXPECT_EQ(NewNode.version(), 0U);
  EXPECT_TRUE(hasLogged(NewNode, "sent a malformed document of version 1"));
  Fleet.announce(node(1), NewNode, 1);
  Fleet.run(milliseconds(100));
  EXPECT_EQ(NewNode.Board.Config, node(1).Board.Config);
}

// Guards against a fetch that never ends because a peer offers a version and
// then sends nothing.
TEST_F(ConfigControllerTest, UnresponsivePeerIsReplacedAfterTwoSeconds) {
  addNodes({"lim-a"}, 3);
  putChanges(1, 1);
  Fleet.runUntil(1, seconds(10));
  Node &NewNode = Fleet.add("lim-b-0", "lim-b");
  Fleet.StoreReachable = [&](const Node &Caller) {
    return &Caller != &NewNode;
  };
  Fleet.Gossip = false;
  Fleet.DatagramFilter = [&](Node &From, Node &, Message &) {
    return &From != &node(0);
  };
  Fleet.announce(node(0), NewNode, 1);
  Fleet.run(seconds(1));
  Fleet.announce(node(1), NewNode, 1);
  Fleet.run(milliseconds(1200));
  EXPECT_EQ(NewNode.version(), 1U);
}

// Guards against documents that exhaust the memory of the instance.
TEST_F(ConfigControllerTest, OversizedDocumentIsRejectedWithLimit) {
  addNodes({"lim-a"}, 2);
  Fleet.announce(node(1), node(0), 5);
  ActionSink Sink;
  node(0).Config.onConfigChunk(
      {node(1).Board.Self.Id, {}},
      {ConfigVersion(5), true, 0, 4000000000U, std::string(1100, 'x')}, Sink);
  const auto &Line = std::get<LogLine>(Sink.Actions.at(0));
  EXPECT_NE(Line.Text.find("the limit is 33554432"), std::string::npos);
}

// Guards against an instance that forever requests changes that no peer has.
TEST_F(ConfigControllerTest, OutdatedInstanceGetsSnapshot) {
  addNodes({"lim-a"}, 2);
  putChanges(1, 300);
  Fleet.runUntil(300, seconds(30));
  Node &OutdatedNode = Fleet.add("lim-b-0", "lim-b");
  OutdatedNode.Board.Config.Version = ConfigVersion(40);
  Fleet.Store.Down = true;
  EXPECT_LT(Fleet.runUntil(300, seconds(10)), seconds(5));
  EXPECT_EQ(OutdatedNode.Board.Config, node(0).Board.Config);
  EXPECT_EQ(std::count_if(OutdatedNode.Log.begin(), OutdatedNode.Log.end(),
                          [](const std::string &Line) {
                            return Line.find("in force") != std::string::npos;
                          }),
            1);
}

// Guards against a reader that waits for a change that was deleted from the
// store after a snapshot.
TEST_F(ConfigControllerTest, ReaderReadsSnapshotAfterChangesWereDeleted) {
  Node &Reader = Fleet.add("lim-a-0", "lim-a");
  Reader.Board.Config.Version = ConfigVersion(5);
  putSnapshot(100);
  putChanges(101, 103);
  EXPECT_LT(Fleet.runUntil(103, seconds(10)), seconds(5));
}

// Guards against peers with different versions that revert each other, and
// checks that changes are fetched one after the other.
TEST_F(ConfigControllerTest, DifferentVersionsOnlyIncrease) {
  addNodes({"lim-a", "lim-b"}, 5);
  std::vector<uint64_t> LastVersions(Fleet.Nodes.size());
  for (uint64_t Version = 1; Version <= 30; ++Version) {
    putChanges(Version, Version);
    for (int Step = 0; Step < 20; ++Step) {
      Fleet.run(milliseconds(10));
      for (size_t Index = 0; Index < LastVersions.size(); ++Index) {
        ASSERT_GE(node(Index).version(), LastVersions[Index]);
        LastVersions[Index] = node(Index).version();
      }
    }
  }
  EXPECT_LT(Fleet.runUntil(30, seconds(10)), seconds(5));
}

// Guards against a change that the store rejects because it exceeds the size
// limit of one value.
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

// Guards against a reader that watches for the part of a change, so that it
// notices a missing part only at the end of the watch.
TEST_F(ConfigControllerTest, PartsOfAWatchedChangeAreReadAtOnce) {
  addNodes({"lim-a"}, 1);
  putChanges(1, 1);
  Fleet.runUntil(1, seconds(10));
  Fleet.run(seconds(5));
  ASSERT_GT(Fleet.Store.Watches, 0U);
  StoredChange Stored;
  const ConfigChange Change = fleetChange(2);
  ASSERT_FALSE(
      encodeStoredChange(Change, Stored, encodeChange(Change).size() - 1));
  ASSERT_FALSE(Stored.Parts.empty());
  Fleet.Store.put(fleetKey(2), Stored.Value);
  Fleet.run(seconds(2));
  EXPECT_TRUE(hasLogged(node(0), "it is missing in the store"));
  for (size_t Index = 0; Index < Stored.Parts.size(); ++Index)
    Fleet.Store.put(changePartKey("indigopoint/", Change.ChangeId, Index),
                    Stored.Parts[Index]);
  EXPECT_LT(Fleet.runUntil(2, seconds(10)), seconds(5));
}

// Guards against a snapshot that is encoded in one call, which delays packets
// for 190 ms at 40,000 upstreams, and against a snapshot that is never
// completed because further changes arrive.
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
  Fleet.StoreReachable = [&](const Node &Caller) {
    return &Caller == &node(0);
  };
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

// Guards against a reader that reverts to the older copy of a restored store,
// or that waits for a revision that the store gives out again.
TEST_F(ConfigControllerTest, ReaderGoesOnAfterTheStoreIsRestored) {
  Node &Reader = Fleet.add("lim-a-0", "lim-a");
  putChanges(1, 2);
  ASSERT_LT(Fleet.runUntil(2, seconds(10)), seconds(5));
  Fleet.Store.copy();
  putChanges(3, 4);
  ASSERT_LT(Fleet.runUntil(4, seconds(10)), seconds(5));
  Fleet.Store.restore();
  Fleet.run(seconds(12));
  EXPECT_EQ(Reader.version(), 4U);
  putChanges(3, 5);
  EXPECT_LT(Fleet.runUntil(5, seconds(10)), seconds(5));
}

// Guards against a zone without readers after both readers died.
TEST_F(ConfigControllerTest, DeadReadersAreReplaced) {
  addNodes({"lim-a"}, 6);
  putChanges(1, 1);
  Fleet.runUntil(1, seconds(10));
  for (const auto &Instance : Fleet.Nodes)
    if (Instance->StoreCalls > 0)
      Fleet.kill(*Instance);
  putChanges(2, 2);
  EXPECT_LT(Fleet.runUntil(2, seconds(10)), seconds(5));
}

} // namespace
} // namespace indigopoint
