#include "flow_history.h"

#include <sstream>

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

const std::string Flow = "100.64.0.7:1>198.18.0.1:443";

std::string line(const std::string &Second, const std::string &Instance,
                 const std::string &Event, const std::string &More) {
  return R"({"time":"2026-12-03T10:00:)" + Second + R"(.500Z","instance":")" +
         Instance + R"(","event":")" + Event + "\"," + More + "}\n";
}

FlowHistory tell(const std::string &Logs) {
  std::istringstream Stream(Logs);
  return readFlowHistory(Stream, Flow, 5s);
}

// The logs of several instances come one after another, not in the order of
// time.
TEST(FlowHistory, LinesOfAllInstancesAreInTheOrderOfTime) {
  const std::string Own = R"("flow":")" + Flow + R"(","upstream":"a1")";
  const FlowHistory Story = tell(line("09", "two", "flow-adopted", Own) +
                                 line("05", "one", "flow-opened", Own));
  ASSERT_EQ(Story.Lines.size(), 2U);
  EXPECT_EQ(Story.Lines[0], "2026-12-03T10:00:05.500Z one flow-opened flow=" +
                                Flow + " upstream=a1");
  EXPECT_NE(Story.Lines[1].find("two flow-adopted"), std::string::npos);
}

TEST(FlowHistory, LinesOnItsUpstreamAndInstanceBelongToIt) {
  const std::string Own = R"("flow":")" + Flow + R"(","upstream":"a1")";
  const FlowHistory Story =
      tell(line("05", "one", "flow-opened", Own) +
           line("07", "one", "upstream-checked", R"("upstream":"a1")") +
           line("07", "one", "upstream-checked", R"("upstream":"b2")") +
           line("07", "two", "upstream-checked", R"("upstream":"a1")") +
           line("08", "one", "store-lost", R"("failures":0)") +
           line("30", "one", "store-lost", R"("failures":0)") +
           line("06", "one", "flow-opened", R"("flow":"other")"));
  ASSERT_EQ(Story.Lines.size(), 3U);
  EXPECT_NE(Story.Lines[1].find("upstream-checked upstream=a1"),
            std::string::npos);
  EXPECT_NE(Story.Lines[2].find("store-lost failures=0"), std::string::npos);
}

TEST(FlowHistory, OtherTextIsCountedAndPassedOver) {
  const FlowHistory Story = tell(
      "no event\n{\"event\":1}\n{\n" + std::string("\xff\xfe\n") + "prefix " +
      line("05", "one", "flow-reset", R"("flow":")" + Flow + "\""));
  EXPECT_EQ(Story.Lines.size(), 1U);
  EXPECT_EQ(Story.UnreadableLines, 4U);
}

} // namespace
} // namespace indigopoint
