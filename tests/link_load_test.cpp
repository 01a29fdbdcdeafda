#include "link_load.h"

#include <gtest/gtest.h>

#include "manual_clock.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

constexpr size_t PacketBytes = 1200;

struct LoadCase {
  std::string Name;
  double RateMbps = 0;
  /// Packets of PacketBytes in one burst, and from one burst to the next.
  size_t BurstPackets = 1;
  Duration Period{};
  bool IsCongested = false;
};

class LinkLoadTest : public testing::TestWithParam<LoadCase> {};

// Guards against verdicts on upstreams whose answers wait in front of the own
// link, and against a wide link that counts as congested. A packet takes 4.9 ms
// at 2 Mbit/s.
TEST_P(LinkLoadTest, TellsWhetherPacketsWait) {
  const LoadCase &Case = GetParam();
  for (const bool IsSent : {true, false}) {
    ManualClock TimeSource;
    TimeSource.advance(1h);
    LinkLoad Load(Case.RateMbps);
    bool WasCongested = false;
    for (const TimePoint End = TimeSource.now() + 2s; TimeSource.now() < End;
         TimeSource.advance(Case.Period)) {
      for (size_t Packet = 0; Packet < Case.BurstPackets; ++Packet)
        if (IsSent)
          Load.recordSent(PacketBytes, TimeSource.now());
        else
          Load.recordReceived(PacketBytes, TimeSource.now());
      WasCongested =
          WasCongested || Load.wasCongestedSince(TimeSource.now() - 250ms);
    }
    EXPECT_EQ(WasCongested, Case.IsCongested) << IsSent;
    TimeSource.advance(1s);
    EXPECT_FALSE(Load.wasCongestedSince(TimeSource.now() - 250ms));
  }
}

INSTANTIATE_TEST_SUITE_P(Loads, LinkLoadTest,
                         testing::ValuesIn(std::vector<LoadCase>{
                             {"HalfFull", 2, 1, 10ms, false},
                             {"Full", 2, 1, 5ms, true},
                             {"ShortBursts", 2, 8, 100ms, false},
                             {"LongBursts", 2, 16, 200ms, true},
                             {"TheSameOnAWiderLink", 20, 16, 200ms, false},
                             {"FullWideLink", 20, 10, 5ms, true},
                             {"BelowOneMbit", 0.25, 1, 80ms, false},
                             {"FullBelowOneMbit", 0.25, 1, 39ms, true},
                             {"UnknownRate", 0, 1000, 1ms, false}}),
                         [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace indigopoint
