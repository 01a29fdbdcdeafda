#include "../standins/break_classifier.h"

#include <gtest/gtest.h>

namespace indigopoint::standin {
namespace {

const SystemEvent Drain{true, 1000, 5000, "u1"};
const SystemEvent Stop{true, 6000, 8000, ""};
const SystemEvent Kill{false, 10000, 13000, ""};

FlowDisruption upstreamChange(int64_t From, int64_t Until) {
  return {FlowKey(1), From, Until, "u1", "", false};
}

FlowDisruption lostAnswer(int64_t From, int64_t Until, bool Refused = false) {
  return {FlowKey(1), From, Until, "", "", Refused};
}

BreakCounts classify(const FlowDisruption &Disruption) {
  return classifyBreaks({Disruption}, {Drain, Stop, Kill});
}

// Guards against a disruption that is excused although no event explains it.
TEST(BreakClassifierTest, ABreakWithoutAnEventCountsAsPlanned) {
  EXPECT_EQ(classify(upstreamChange(100, 900)).BrokenPlanned.size(), 1U);
  EXPECT_EQ(classify(lostAnswer(8500, 9000)).BrokenPlanned.size(), 1U);
}

// Guards against moves off a drained upstream that are reported as broken.
TEST(BreakClassifierTest, LeavingADrainedUpstreamIsAMove) {
  const BreakCounts Counts = classify(upstreamChange(800, 9500));
  EXPECT_EQ(Counts.Moved.size(), 1U);
  EXPECT_TRUE(Counts.BrokenPlanned.empty());
}

// Guards against requests that a graceful shutdown loses without being counted.
TEST(BreakClassifierTest, LostAnswerDuringGracefulShutdownCountsAsLost) {
  const BreakCounts Counts = classify(lostAnswer(7900, 8100));
  EXPECT_EQ(Counts.LostInPlannedEvents, 1U);
  EXPECT_EQ(Counts.BrokenPlanned.size(), 1U);
}

// Guards against effects of a killed instance that count as planned.
TEST(BreakClassifierTest, EffectsOfAKilledInstanceAreUnplanned) {
  EXPECT_EQ(classify(lostAnswer(9900, 10100)).BrokenUnplanned.size(), 1U);
  EXPECT_EQ(classify(lostAnswer(13100, 13200)).BrokenPlanned.size(), 1U);
}

// A refusal during an event counts as a broken flow. Guards against counting a
// refusal under load as well, and against missing one during a change.
TEST(BreakClassifierTest, ARefusalBreaksAFlowOnlyDuringAnEvent) {
  EXPECT_TRUE(classify(lostAnswer(8500, 9000, true)).BrokenPlanned.empty());
  const BreakCounts Counts = classify(lostAnswer(7000, 7100, true));
  EXPECT_EQ(Counts.BrokenPlanned.size(), 1U);
  EXPECT_EQ(Counts.LostInPlannedEvents, 0U);
}

} // namespace
} // namespace indigopoint::standin
