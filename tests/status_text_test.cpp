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

TEST(StatusText, InvalidReportGivesEmptyText) {
  for (const char *Text : {"", "[]", "{}", "7", R"({"self": 1})"})
    EXPECT_EQ(statusText(Text), "") << Text;
}

} // namespace
} // namespace indigopoint
