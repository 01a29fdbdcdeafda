#include "drain_monitor.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};

// Routers notice a draining instance after a second. Guards against an instance
// that exits earlier and loses the packets that routers still send to it.
TEST(DrainMonitor, WaitsUntilRoutersDetectTheDrain) {
  const DrainMonitor Monitor(Start, 6s);
  EXPECT_FALSE(Monitor.isDrainComplete(Start - 1h, Start + 1100ms));
  EXPECT_TRUE(Monitor.isDrainComplete(Start - 1h, Start + 1200ms));
}

// If most instances of a zone drain at once, routers keep sending to all of
// them. Guards against an instance that exits while it still receives packets.
// Nine requests were once lost by such an exit.
TEST(DrainMonitor, WaitsWhilePacketsArrive) {
  const DrainMonitor Monitor(Start, 6s);
  EXPECT_FALSE(Monitor.isDrainComplete(Start + 3900ms, Start + 4s));
  EXPECT_TRUE(Monitor.isDrainComplete(Start + 3800ms, Start + 4s));
}

TEST(DrainMonitor, CompletesBeforeTheShutdownTimeout) {
  const DrainMonitor Monitor(Start, 6s);
  EXPECT_TRUE(Monitor.isDrainComplete(Start + 5500ms, Start + 5500ms));
  EXPECT_FALSE(Monitor.hasTrafficStopped(Start + 5500ms, Start + 5500ms));
}

} // namespace
} // namespace indigopoint
