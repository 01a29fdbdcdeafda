#include "store_update_applier.h"

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// Decodes an item by its key: "u1" registers upstream 1, with the value "bad"
// it is an unreadable registration of upstream 1, "c7" is a configuration of
// version 7, and "e1" evacuates zone "1".
DecodedItem decode(const StoreItem &Item) {
  const std::string &Key = Item.Key;
  const uint64_t Number = std::stoul(Key.substr(1));
  if (Item.Value == "bad")
    return UnreadableItem{"broken", UpstreamId(Number)};
  if (Key[0] == 'c')
    return RouteConfiguration{ConfigVersion(Number), {}, {}, {{"chat", {}}}};
  if (Key[0] == 'e')
    return ZoneEvacuation{Key.substr(1), Item.Deleted};
  if (Item.Deleted)
    return UpstreamRemoval{UpstreamId(Number)};
  UpstreamRegistration Out;
  Out.Id = UpstreamId(Number);
  Out.Service = "chat";
  return Out;
}

class StoreUpdateApplierTest : public testing::Test {
protected:
  using Content = StoreSync::Update::Content;

  void apply(Content Kind, const std::vector<std::string> &Keys,
             bool Deleted = false, const std::string &Value = "") {
    StoreSync::Update Update;
    Update.ContentKind = Kind;
    for (const std::string &Key : Keys)
      Update.Items.push_back({Key, Value, ++Revision, Revision, Deleted});
    Applier.apply(Update);
  }

  size_t countLogLines(const std::string &Event) const {
    size_t Count = 0;
    const std::string Text(Log.pending());
    for (size_t Position = Text.find("\"event\":\"" + Event);
         Position != Text.npos;
         Position = Text.find("\"event\":\"" + Event, Position + 1))
      ++Count;
    return Count;
  }

  ManualClock TimeSource;
  EventLog Log{{}, TimeSource};
  RouteTable Routes;
  UpstreamRegistry Upstreams;
  StoreUpdateApplier Applier{decode, TimeSource, Log, Routes, Upstreams, 5s};
  uint64_t Revision = 0;
};

TEST_F(StoreUpdateApplierTest, EachChangeIsLoggedOnce) {
  apply(Content::Snapshot, {"u1", "u2", "c7"});
  EXPECT_EQ(countLogLines("upstream-changed"), 2U);
  EXPECT_EQ(countLogLines("configuration-applied"), 1U);
  apply(Content::Changes, {"c5"});
  EXPECT_EQ(countLogLines("configuration-ignored"), 1U);
  EXPECT_EQ(Routes.version(), ConfigVersion(7));
}

TEST_F(StoreUpdateApplierTest, SnapshotRemovesMissingUpstreams) {
  apply(Content::Snapshot, {"c7", "u1", "u2"});
  apply(Content::Snapshot, {"u2"});
  EXPECT_EQ(Upstreams.find(UpstreamId(1))->State, UpstreamState::Unregistered);
  EXPECT_EQ(Upstreams.find(UpstreamId(2))->State, UpstreamState::Ready);
  EXPECT_EQ(countLogLines("upstream-changed"), 3U);
}

TEST_F(StoreUpdateApplierTest, ChangesDoNotRemoveOtherUpstreams) {
  apply(Content::Snapshot, {"c7", "u1", "u2"});
  apply(Content::Changes, {"u3"});
  EXPECT_EQ(Upstreams.count(UpstreamState::Ready), 3U);
}

// Guards against an unreadable registration that leaves its upstream in use or
// disables other upstreams.
TEST_F(StoreUpdateApplierTest, UnreadableItemDisablesItsUpstream) {
  apply(Content::Snapshot, {"c7", "u1", "u2"});
  apply(Content::Changes, {"u1"}, false, "bad");
  EXPECT_EQ(Upstreams.find(UpstreamId(1))->State, UpstreamState::Unregistered);
  EXPECT_EQ(Upstreams.find(UpstreamId(2))->State, UpstreamState::Ready);
  EXPECT_EQ(countLogLines("entry-unreadable"), 1U);
  apply(Content::Changes, {"u1"});
  EXPECT_EQ(Upstreams.find(UpstreamId(1))->State, UpstreamState::Ready);
}

TEST_F(StoreUpdateApplierTest, DeletionDisablesUpstream) {
  apply(Content::Snapshot, {"c7", "u1"});
  apply(Content::Changes, {"u1"}, true);
  EXPECT_EQ(Upstreams.find(UpstreamId(1))->State, UpstreamState::Unregistered);
}

// Guards against a delayed start: when 300 instances started together, each
// waited 2 s for all pages although the first page was sufficient to serve.
TEST_F(StoreUpdateApplierTest,
       PagesAreUsedImmediatelyAndRemoveNothingBeforeLastPage) {
  apply(Content::Snapshot, {"c7", "u1", "u2"});
  apply(Content::FirstPage, {"c7", "u3"});
  EXPECT_TRUE(Routes.isLoaded());
  EXPECT_EQ(Upstreams.count(UpstreamState::Ready), 3U);
  apply(Content::LastPage, {"u2"});
  EXPECT_EQ(Upstreams.find(UpstreamId(1))->State, UpstreamState::Unregistered);
  EXPECT_EQ(Upstreams.count(UpstreamState::Ready), 2U);
}

TEST_F(StoreUpdateApplierTest, FirstSnapshotIsCompleteAfterLastPage) {
  apply(Content::FirstPage, {"u1"});
  EXPECT_FALSE(Upstreams.isComplete());
  apply(Content::LastPage, {"u2"});
  EXPECT_TRUE(Upstreams.isComplete());
}

TEST_F(StoreUpdateApplierTest, EvacuationStartsAndEndsOnce) {
  apply(Content::Snapshot, {"c7", "u1", "e1"});
  EXPECT_TRUE(Upstreams.evacuations().contains("1"));
  apply(Content::Changes, {"e1"});
  apply(Content::Changes, {"e1"}, true);
  apply(Content::Changes, {"e1"}, true);
  EXPECT_FALSE(Upstreams.evacuations().contains("1"));
  EXPECT_EQ(countLogLines("evacuation-started"), 1U);
  EXPECT_EQ(countLogLines("evacuation-ended"), 1U);
}

// Guards against a zone that stays empty because its instance missed the
// deletion while the store had discarded its history.
TEST_F(StoreUpdateApplierTest, SnapshotEndsMissingEvacuations) {
  apply(Content::Snapshot, {"e1", "e2"});
  apply(Content::FirstPage, {"e2"});
  EXPECT_TRUE(Upstreams.evacuations().contains("1"));
  apply(Content::LastPage, {"u1"});
  EXPECT_FALSE(Upstreams.evacuations().contains("1"));
  EXPECT_TRUE(Upstreams.evacuations().contains("2"));
}

// Guards against new flows to a zone in the seconds before an operator writes
// its evacuation into the restored store again.
TEST_F(StoreUpdateApplierTest, EvacuationOutlastsARestorationForAWhile) {
  const auto Restore = [this](const std::vector<std::string> &Keys) {
    StoreSync::Update Update;
    Update.ContentKind = Content::Snapshot;
    Update.IsFromRestoredStore = true;
    for (const std::string &Key : Keys)
      Update.Items.push_back({Key, "", ++Revision, Revision, false});
    Applier.apply(Update);
  };
  apply(Content::Snapshot, {"e1", "e2"});
  Restore({"u1"});
  apply(Content::Changes, {"e2"});
  TimeSource.advance(2400ms);
  Upstreams.recordStoreSync(TimeSource.now());
  Applier.applyDue();
  EXPECT_TRUE(Upstreams.evacuations().contains("1"));
  // The operator may have written it meanwhile.
  TimeSource.advance(200ms);
  Applier.applyDue();
  EXPECT_TRUE(Upstreams.evacuations().contains("1"));
  Upstreams.recordStoreSync(TimeSource.now());
  Applier.applyDue();
  EXPECT_FALSE(Upstreams.evacuations().contains("1"));
  EXPECT_TRUE(Upstreams.evacuations().contains("2"));
}

} // namespace
} // namespace indigopoint
