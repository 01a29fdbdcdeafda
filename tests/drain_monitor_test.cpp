#include "drain_monitor.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};

// Routers notice after a second. An instance that ends before loses packets.
TEST(DrainMonitor, WaitsUntilRoutersHaveNoticed) {
  const DrainMonitor Exit(Start, 6s);
  EXPECT_FALSE(Exit.isDrainComplete(Start - 1h, Start + 1100ms));
  EXPECT_TRUE(Exit.isDrainComplete(Start - 1h, Start + 1200ms));
}

// With most of a zone leaving at once, routers use all of it; nine requests
// were lost to an instance that ended all the same.
TEST(DrainMonitor, StaysWhilePacketsCome) {
  const DrainMonitor Exit(Start, 6s);
  EXPECT_FALSE(Exit.isDrainComplete(Start + 3900ms, Start + 4s));
  EXPECT_TRUE(Exit.isDrainComplete(Start + 3800ms, Start + 4s));
}

TEST(DrainMonitor, EndsBeforeItIsEnded) {
  const DrainMonitor Exit(Start, 6s);
  EXPECT_TRUE(Exit.isDrainComplete(Start + 5500ms, Start + 5500ms));
  EXPECT_FALSE(Exit.hasTrafficStopped(Start + 5500ms, Start + 5500ms));
}

} // namespace
} // namespace indigopoint
