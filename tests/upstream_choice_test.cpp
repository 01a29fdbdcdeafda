#include "upstream_choice.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

class UpstreamChoiceTest : public testing::Test {
protected:
  Upstream make(uint64_t Id, const std::string &Zone, uint32_t Flows = 0) {
    Upstream Out;
    Out.Registration.Id = UpstreamId(Id);
    Out.Registration.Zone = Zone;
    Out.Registration.Slots = 2;
    Out.OpenFlows = Flows;
    return Out;
  }

  Upstream *choose(uint16_t Port = 1, UpstreamId Avoided = {}) {
    FlowToPlace Opening{{{0x64400001, Port}, {0xc6120001, 443}}, Avoided};
    return Choice({&First, &Second, &Far}, Opening, Now);
  }

  void suspect(Upstream &Given) { Given.Reach.noteSilence(Now); }

  TimePoint Now{1h};
  UpstreamChoice Choice = leastFlowsZoneFirst("a");
  Upstream First = make(1, "a");
  Upstream Second = make(2, "a");
  Upstream Far = make(3, "b");
};

TEST_F(UpstreamChoiceTest, NothingIsChosenFromNothing) {
  EXPECT_EQ(Choice({}, {}, Now), nullptr);
}

TEST_F(UpstreamChoiceTest, FewerFlowsWin) {
  First.OpenFlows = 1;
  EXPECT_EQ(choose(), &Second);
}

TEST_F(UpstreamChoiceTest, MoreSlotsTakeMoreFlows) {
  First.OpenFlows = 3;
  First.Registration.Slots = 8;
  Second.OpenFlows = 1;
  EXPECT_EQ(choose(), &First);
}

// Guards against instances that all send their first flows to one upstream.
TEST_F(UpstreamChoiceTest, EqualUpstreamsShareDifferentFlows) {
  int OfFirst = 0;
  for (uint16_t Port = 0; Port < 100; ++Port)
    OfFirst += choose(Port) == &First ? 1 : 0;
  EXPECT_GT(OfFirst, 25);
  EXPECT_LT(OfFirst, 75);
}

TEST_F(UpstreamChoiceTest, TheOwnZoneComesBeforeALowerLoad) {
  First.OpenFlows = Second.OpenFlows = 50;
  EXPECT_NE(choose(), &Far);
}

TEST_F(UpstreamChoiceTest, AnswersComeBeforeTheOwnZone) {
  suspect(First);
  suspect(Second);
  EXPECT_EQ(choose(), &Far);
}

TEST_F(UpstreamChoiceTest, TheAvoidedOneIsTheLastResort) {
  EXPECT_EQ(choose(1, UpstreamId(1)), &Second);
  EXPECT_EQ(Choice({&First}, {{}, UpstreamId(1)}, Now), &First);
}

TEST_F(UpstreamChoiceTest, AStartingUpstreamCountsHalfOfItsSlots) {
  First.OpenFlows = Second.OpenFlows = 2;
  First.WarmUntil = Now + 1s;
  EXPECT_EQ(flowsPerSlot(First, Now), 2 * flowsPerSlot(Second, Now));
  EXPECT_EQ(choose(), &Second);
}

} // namespace
} // namespace indigopoint
