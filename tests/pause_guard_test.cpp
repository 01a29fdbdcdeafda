#include "pause_guard.h"

#include <ctime>

#include <gtest/gtest.h>

#include "steady_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};

class PauseGuardTest : public testing::Test {
protected:
  PauseGuardTest() { Guard.recordActivity(Start); }

  PauseGuard Guard;
};

TEST_F(PauseGuardTest, NoticesAPauseOnce) {
  EXPECT_FALSE(Guard.recordActivity(Start + 900ms));
  EXPECT_TRUE(Guard.recordActivity(Start + 3s));
  EXPECT_FALSE(Guard.recordActivity(Start + 3s));
}

TEST_F(PauseGuardTest, DataFromBeforeAPauseIsOutdated) {
  EXPECT_FALSE(Guard.isOutdated(Start - 1h, Start));
  Guard.recordActivity(Start + 5s);
  EXPECT_TRUE(Guard.isOutdated(Start, Start + 5s));
  EXPECT_FALSE(Guard.isOutdated(Start + 5s, Start + 5s));
}

// Guards against an instance that refuses all flows for an outage of the store
// that began during its pause.
TEST_F(PauseGuardTest, DataIsUsedIfItCannotBeConfirmed) {
  Guard.recordActivity(Start + 5s);
  EXPECT_TRUE(Guard.isOutdated(Start, Start + 5400ms));
  EXPECT_FALSE(Guard.isOutdated(Start, Start + 5500ms));
}

// The usual monotonic clock stands still while the machine is suspended. Guards
// against a verdict or an age that outlasts a suspension.
TEST(SteadyClockTest, CountsSuspendedTime) {
  timespec Expected{};
  clock_gettime(CLOCK_BOOTTIME, &Expected);
  const Duration Since = SteadyClock().now().time_since_epoch() -
                         std::chrono::duration_cast<Duration>(
                             std::chrono::seconds(Expected.tv_sec) +
                             std::chrono::nanoseconds(Expected.tv_nsec));
  EXPECT_GE(Since, -1ms);
  EXPECT_LT(Since, 1s);
}

} // namespace
} // namespace indigopoint
