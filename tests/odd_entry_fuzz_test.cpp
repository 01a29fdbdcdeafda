// Entries of another writer, changed at random. The seeds are the kinds of
// tests/odd_entries.cpp.

#include <cstdlib>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "byte_mutations.h"
#include "odd_entries.h"
#include "peer_codec.h"

namespace indigopoint {
namespace {

// Used unless RC_PARAMS is set: CI runs repeatably and takes a few seconds.
const bool DefaultIsSet =
    setenv("RC_PARAMS", "seed=20 max_success=300 max_size=50", 0) == 0;

RC_GTEST_PROP(OddEntryFuzzTest, ChangedEntriesLeaveTheOthersAsTheyWere, ()) {
  static const std::vector<OddEntry> Seeds = oddEntries();
  OddEntryWorld World;
  const int Entries = *rc::gen::inRange(1, 4);
  for (int Index = 0; Index < Entries; ++Index) {
    const OddEntry &Seed = Seeds[*rc::gen::inRange<size_t>(0, Seeds.size())];
    const std::string Value = mutate(Seed.Value);
    // A change can make the entry valid, but under its own id.
    RC_ASSERT(World.applyChange(Seed.Key, Value));
    if (*rc::gen::arbitrary<bool>())
      RC_ASSERT(World.applySnapshot(Seed.Key, Value));
  }
  RC_ASSERT(World.applyChange("servers/i-7f3a91c2", ""));
  RC_ASSERT(World.problem() == "");
}

RC_GTEST_PROP(OddPeerAnswerFuzzTest, ChangedAnswersNeverThrow, ()) {
  PeerAnswer Answer;
  Answer.Peers = {{{0x0a000001, 80}, "a", Duration(5), 100}};
  const std::string Bytes = encodePeerAnswer(
      Answer, packItems({{"servers/i-b", registrationOf(11), 1, 1, false}}));
  decodePeerAnswer(mutate(Bytes));
}

} // namespace
} // namespace indigopoint
