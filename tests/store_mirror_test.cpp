#include "store_mirror.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using Content = StoreSync::Update::Content;

StoreItem item(const std::string &Key, uint64_t Revision,
               bool Deleted = false) {
  return {Key, Deleted ? "" : "v", Revision, Revision, Deleted};
}

TEST(StoreMirror, ReturnsChangesSinceRevision) {
  StoreMirror Mirror;
  EXPECT_FALSE(Mirror.since({0, 0}));
  Mirror.apply({Content::Snapshot, {item("a", 3), item("b", 5)}}, {0, 10});
  EXPECT_FALSE(Mirror.since({0, 9}));
  EXPECT_TRUE(Mirror.since({0, 10})->empty());
  Mirror.apply({Content::Changes, {item("a", 11), item("b", 12, true)}},
               {0, 12});
  EXPECT_EQ(Mirror.since({0, 10})->size(), 2U);
  EXPECT_EQ(Mirror.since({0, 11})->size(), 1U);
  EXPECT_EQ(Mirror.all().size(), 1U);
}

TEST(StoreMirror, SnapshotReplacesAllItems) {
  StoreMirror Mirror;
  Mirror.apply({Content::Snapshot, {item("a", 3)}}, {0, 10});
  Mirror.apply({Content::Snapshot, {item("b", 15)}}, {0, 20});
  EXPECT_EQ(Mirror.all().size(), 1U);
  EXPECT_FALSE(Mirror.since({0, 15}));
}

// Guards against a peer that gets some pages of a snapshot as if they were all,
// and so misses the remaining items.
TEST(StoreMirror, PagesAreVisibleAfterLastPage) {
  StoreMirror Mirror;
  Mirror.apply({Content::FirstPage, {item("a", 3)}}, {0, 10});
  EXPECT_FALSE(Mirror.isLoaded());
  EXPECT_FALSE(Mirror.since({0, 0}));
  Mirror.apply({Content::LastPage, {item("b", 5)}}, {0, 10});
  EXPECT_EQ(Mirror.all().size(), 2U);
  EXPECT_EQ(Mirror.position().Revision, 10U);
}

TEST(StoreMirror, KeyMissingFromAllPagesIsRemoved) {
  StoreMirror Mirror;
  Mirror.apply({Content::Snapshot, {item("a", 3), item("b", 5)}}, {0, 10});
  Mirror.apply({Content::FirstPage, {item("b", 5)}}, {0, 20});
  EXPECT_EQ(Mirror.position().Revision, 10U);
  EXPECT_EQ(Mirror.all().size(), 2U);
  Mirror.apply({Content::LastPage, {item("c", 15)}}, {0, 20});
  EXPECT_EQ(Mirror.all().size(), 2U);
  EXPECT_EQ(Mirror.position().Revision, 20U);
}

// Guards against a peer that missed a deletion and keeps the key forever
// instead of requesting a complete snapshot.
TEST(StoreMirror, ExpiredDeletionsRequireSnapshot) {
  StoreMirror Mirror;
  Mirror.apply({Content::Snapshot, {}}, {0, 1});
  uint64_t Revision = 1;
  for (int Index = 0; Index < 2000; ++Index) {
    ++Revision;
    Mirror.apply(
        {Content::Changes, {item(std::to_string(Index), Revision, true)}},
        {0, Revision});
  }
  EXPECT_FALSE(Mirror.since({0, 1}));
  ASSERT_TRUE(Mirror.since({0, Revision - 100}));
  EXPECT_EQ(Mirror.since({0, Revision - 100})->size(), 100U);
}

} // namespace
} // namespace indigopoint
