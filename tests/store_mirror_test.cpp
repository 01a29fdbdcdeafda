#include "store_mirror.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

StoreItem item(const std::string &Key, uint64_t Revision,
               bool Deleted = false) {
  return {Key, Deleted ? "" : "v", Revision, Revision, Deleted};
}

TEST(StoreMirror, TellsChangesSinceARevision) {
  StoreMirror Mirror;
  EXPECT_FALSE(Mirror.since(0));
  Mirror.apply({true, {item("a", 3), item("b", 5)}}, 10);
  EXPECT_FALSE(Mirror.since(9));
  EXPECT_TRUE(Mirror.since(10)->empty());
  Mirror.apply({false, {item("a", 11), item("b", 12, true)}}, 12);
  EXPECT_EQ(Mirror.since(10)->size(), 2U);
  EXPECT_EQ(Mirror.since(11)->size(), 1U);
  EXPECT_EQ(Mirror.all().size(), 1U);
}

TEST(StoreMirror, ACompleteUpdateReplacesEverything) {
  StoreMirror Mirror;
  Mirror.apply({true, {item("a", 3)}}, 10);
  Mirror.apply({true, {item("b", 15)}}, 20);
  EXPECT_EQ(Mirror.all().size(), 1U);
  EXPECT_FALSE(Mirror.since(15));
}

// A peer that missed a deletion must take a whole copy instead of keeping the
// key for ever.
TEST(StoreMirror, ForgottenDeletionsEndTheHistory) {
  StoreMirror Mirror;
  Mirror.apply({true, {}}, 1);
  uint64_t Revision = 1;
  for (int Index = 0; Index < 2000; ++Index) {
    ++Revision;
    Mirror.apply({false, {item(std::to_string(Index), Revision, true)}},
                 Revision);
  }
  EXPECT_FALSE(Mirror.since(1));
  ASSERT_TRUE(Mirror.since(Revision - 100));
  EXPECT_EQ(Mirror.since(Revision - 100)->size(), 100U);
}

} // namespace
} // namespace indigopoint
