#include <gtest/gtest.h>

#include "status_report.h"

namespace indigopoint {
namespace {

// Guards against a forwarder status without a text form.
TEST(StatusText, ForwarderStatusShowsStoreDataAndItsAge) {
  EXPECT_EQ(statusText(R"({"version": "1.0", "ready": true, "storeAgeMs": 700,
                           "upstreams": {"ready": 3, "draining": 1}})"),
            "ready: true\n"
            "storeAgeMs: 700\n"
            "upstreams: draining=1 ready=3\n"
            "version: 1.0\n");
}

// Guards against evacuations that are shown as raw JSON in one line.
TEST(StatusText, ForwarderStatusListsEvacuations) {
  EXPECT_EQ(statusText(R"({"storeAgeMs": 7, "evacuations": []})"),
            "evacuations: none\n"
            "storeAgeMs: 7\n");
  EXPECT_EQ(statusText(R"({"storeAgeMs": 7, "evacuations": [
                           {"zone": "lim-a", "ageMs": 1200},
                           {"zone": "lim-b", "ageMs": 5}]})"),
            "evacuations:\n"
            "  ageMs=1200 zone=lim-a\n"
            "  ageMs=5 zone=lim-b\n"
            "storeAgeMs: 7\n");
}

TEST(StatusText, InvalidReportGivesEmptyText) {
  for (const char *Text : {"", "[]", "{}", "7", R"({"self": 1})"})
    EXPECT_EQ(statusText(Text), "") << Text;
}

} // namespace
} // namespace indigopoint
