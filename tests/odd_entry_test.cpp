#include "odd_entries.h"

#include <gtest/gtest.h>

#include "peer_codec.h"

namespace indigopoint {
namespace {

class OddEntryTest : public testing::TestWithParam<OddEntry> {};

// Guards against an entry of another writer that ends the process, stops the
// following of the list, or changes other upstreams or their flows.
TEST_P(OddEntryTest, LeavesTheOthersAsTheyWere) {
  const OddEntry &Odd = GetParam();
  OddEntryWorld World;
  ASSERT_EQ(World.problem(), "");
  EXPECT_TRUE(World.applyChange(Odd.Key, Odd.Value));
  EXPECT_EQ(World.problem(), "") << "as a change";
  EXPECT_TRUE(World.applySnapshot(Odd.Key, Odd.Value));
  EXPECT_EQ(World.problem(), "") << "in a snapshot";
  EXPECT_TRUE(World.applyChange("servers/i-9", registrationOf(9)));
}

// The same for an instance that starts while the entry is there: it has not
// seen the upstreams before, and the entry may come first.
TEST_P(OddEntryTest, LeavesTheOthersAsTheyAreAtAStart) {
  const OddEntry &Odd = GetParam();
  OddEntryWorld World;
  EXPECT_TRUE(World.applyChange(Odd.Key, Odd.Value));
  World.restart(Odd.Key, Odd.Value);
  EXPECT_EQ(World.problem(), "");
}

// The same in the place of an upstream, which is not used meanwhile.
TEST_P(OddEntryTest, InThePlaceOfAnUpstreamChangesThisOneOnly) {
  const OddEntry &Odd = GetParam();
  if (!Odd.Key.starts_with("servers/i-7f3a91c2"))
    return;
  OddEntryWorld World;
  EXPECT_TRUE(World.applyChange("servers/i-c", Odd.Value));
  EXPECT_EQ(World.problem(12), "");
  EXPECT_TRUE(World.applyChange("servers/i-c", registrationOf(12)));
  EXPECT_EQ(World.problem(), "") << "its own next entry counts again";
}

INSTANTIATE_TEST_SUITE_P(AllKinds, OddEntryTest,
                         testing::ValuesIn(oddEntries()),
                         [](const auto &Info) { return Info.param.Kind; });

// The world must notice an entry that is used.
TEST(OddEntryWorldTest, NoticesAnUpstreamThatIsUsed) {
  OddEntryWorld World;
  EXPECT_TRUE(World.applyChange("servers/i-9", registrationOf(9)));
  EXPECT_EQ(World.problem(), "the upstream 9 is used");
}

// Guards against an instance that starts and takes an alias for the upstream:
// the entry of the upstream itself comes later in the order of keys.
TEST(OddEntryOrderTest, UnreadableAliasBeforeTheUpstreamIsIgnored) {
  OddEntryWorld World;
  EXPECT_TRUE(World.applyChange("servers/a-b", "{"));
  EXPECT_TRUE(World.applySnapshot("servers/a-b", "{"));
  EXPECT_EQ(World.problem(), "");
}

// Guards against an answer of a peer whose length fields ask for more memory
// than the process may use, which ends it.
TEST(OddPeerAnswerTest, StatedLengthsAllocateNothing) {
  std::vector<StoreItem> Items = {{"k", std::string(2000, 'v'), 1, 1, false}};
  PackedItems Packed = packItems(Items);
  PeerAnswer Answer;
  ASSERT_TRUE(decodePeerAnswer(encodePeerAnswer(Answer, Packed)));
  for (const size_t Stated :
       {size_t{1}, Packed.UnpackedBytes - 1, Packed.UnpackedBytes + 1,
        size_t{64} * 1024 * 1024, size_t{INT32_MAX}}) {
    PackedItems Wrong = Packed;
    Wrong.UnpackedBytes = Stated;
    EXPECT_FALSE(decodePeerAnswer(encodePeerAnswer(Answer, Wrong))) << Stated;
  }
  const std::string Bytes = encodePeerAnswer(Answer, Packed);
  for (size_t Offset = 0; Offset < Bytes.size(); ++Offset)
    for (const std::string Length :
         {"\xff\xff\xff\xff\x07", "\xff\xff\xff\xff\x0f",
          "\xfc\xff\xff\xff\x0f"}) {
      std::string Odd = Bytes;
      Odd.replace(Offset, Length.size(), Length);
      // Either result is right as long as the process goes on.
      decodePeerAnswer(Odd);
    }
}

} // namespace
} // namespace indigopoint
