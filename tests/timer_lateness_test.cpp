#include "timer_lateness.h"

#include <vector>

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// Guards against a process without processor time that looks punctual, and
// against one late firing that makes all later ones look late.
TEST(TimerLatenessTest, IsTheTimeSinceTheTimerWasDue) {
  struct Case {
    const char *Name;
    // When a timer with a period of 250 ms fires.
    std::vector<Duration> FiringsAt;
    Duration Now;
    Duration RecentMax;
    Duration Sum;
  };
  std::vector<Duration> Punctual = {0ms, 300ms};
  for (Duration At = 500ms; At <= 5500ms; At += 250ms)
    Punctual.push_back(At);
  const std::vector<Case> Cases = {
      {"before the first firing", {}, 9s, 0ms, 0ms},
      {"punctual", {0ms, 250ms, 500ms}, 600ms, 0ms, 0ms},
      {"one late", {0ms, 340ms, 500ms, 750ms}, 760ms, 90ms, 90ms},
      {"each late", {0ms, 260ms, 520ms, 760ms}, 800ms, 20ms, 40ms},
      {"missed periods", {0ms, 1250ms, 1500ms, 1750ms}, 1800ms, 1s, 1s},
      {"overdue", {0ms, 250ms}, 900ms, 400ms, 0ms},
      {"late after an early one",
       {0ms, 1000ms, 1200ms, 1450ms, 1710ms},
       1711ms,
       750ms,
       760ms},
      {"forgotten after 20 firings", Punctual, 5500ms, 0ms, 50ms},
  };
  for (const Case &Played : Cases) {
    SCOPED_TRACE(Played.Name);
    TimerLateness Lateness(250ms);
    const TimePoint Start(1h);
    for (const Duration At : Played.FiringsAt)
      Lateness.recordFiring(Start + At);
    EXPECT_EQ(Lateness.recentMax(Start + Played.Now), Played.RecentMax);
    EXPECT_EQ(Lateness.sum(), Played.Sum);
  }
}

} // namespace
} // namespace indigopoint
