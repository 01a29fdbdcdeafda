#include "exchange_tracker.h"

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

// Guards against an age that does not follow the oldest exchange when exchanges
// end in another order than they began.
TEST(ExchangeTrackerTest, AgeIsThatOfTheOldestOpenExchange) {
  const TimePoint Start = ManualClock().now();
  ExchangeTracker Exchanges;
  EXPECT_FALSE(Exchanges.oldestAge(Start));
  Exchanges.start(Start);
  Exchanges.start(Start + 10ms);
  Exchanges.start(Start + 10ms);
  EXPECT_EQ(Exchanges.oldestAge(Start + 30ms), 30ms);
  Exchanges.end(Start);
  Exchanges.end(Start + 10ms);
  EXPECT_EQ(Exchanges.oldestAge(Start + 30ms), 20ms);
  EXPECT_EQ(Exchanges.count(), 1U);
}

// Guards against a new process losing an exchange at the end of one of the
// process before.
TEST(ExchangeTrackerTest, EarlierExchangesEndWithoutEffectAfterReset) {
  const TimePoint Start = ManualClock().now();
  ExchangeTracker Exchanges;
  Exchanges.start(Start);
  Exchanges.reset(Start + 5ms);
  Exchanges.start(Start + 5ms);
  Exchanges.end(Start);
  EXPECT_EQ(Exchanges.count(), 1U);
}

} // namespace
} // namespace indigopoint
