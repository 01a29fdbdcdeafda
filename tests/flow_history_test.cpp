#include "flow_history.h"

#include <sstream>

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using namespace std::chrono_literals;

const std::string Flow = "100.64.0.7:1>198.18.0.1:443";

std::string line(const std::string &Second, const std::string &Instance,
                 const std::string &Event, const std::string &Details) {
  return R"({"time":"2026-12-03T10:00:)" + Second + R"(.500Z","instance":")" +
         Instance + R"(","event":")" + Event + "\"," + Details + "}\n";
}

FlowHistory historyOf(const std::string &Logs) {
  std::istringstream Stream(Logs);
  return readFlowHistory(Stream, Flow, 5s);
}

// The logs of several instances are concatenated, so lines are not ordered by
// time.
TEST(FlowHistoryTest, OrdersLinesOfAllInstancesByTime) {
  const std::string FlowFields = R"("flow":")" + Flow + R"(","upstream":"a1")";
  const FlowHistory History =
      historyOf(line("09", "two", "flow-adopted", FlowFields) +
                line("05", "one", "flow-opened", FlowFields));
  ASSERT_EQ(History.Lines.size(), 2U);
  EXPECT_EQ(History.Lines[0], "2026-12-03T10:00:05.500Z one flow-opened flow=" +
                                  Flow + " upstream=a1");
  EXPECT_NE(History.Lines[1].find("two flow-adopted"), std::string::npos);
}

TEST(FlowHistoryTest, IncludesLinesAboutUpstreamAndInstance) {
  const std::string FlowFields = R"("flow":")" + Flow + R"(","upstream":"a1")";
  const FlowHistory History =
      historyOf(line("05", "one", "flow-opened", FlowFields) +
                line("07", "one", "upstream-checked", R"("upstream":"a1")") +
                line("07", "one", "upstream-checked", R"("upstream":"b2")") +
                line("07", "two", "upstream-checked", R"("upstream":"a1")") +
                line("08", "one", "store-lost", R"("failures":0)") +
                line("30", "one", "store-lost", R"("failures":0)") +
                line("06", "one", "flow-opened", R"("flow":"other")"));
  ASSERT_EQ(History.Lines.size(), 3U);
  EXPECT_NE(History.Lines[1].find("upstream-checked upstream=a1"),
            std::string::npos);
  EXPECT_NE(History.Lines[2].find("store-lost failures=0"), std::string::npos);
}

TEST(FlowHistoryTest, CountsAndSkipsInvalidLines) {
  const FlowHistory History = historyOf(
      "no event\n{\"event\":1}\n{\n" + std::string("\xff\xfe\n") + "prefix " +
      line("05", "one", "flow-reset", R"("flow":")" + Flow + "\""));
  EXPECT_EQ(History.Lines.size(), 1U);
  EXPECT_EQ(History.UnreadableLines, 4U);
}

} // namespace
} // namespace indigopoint
