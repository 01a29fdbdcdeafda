#include "forwarder_settings.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

const std::string Minimal =
    R"("name":"lim-a-1","zone":"lim-a","dataAddress":"10.1.0.1:8172",)"
    R"("readyAddress":"10.1.0.1:8167","store":"10.200.1.7:8169")";

std::vector<SettingsError> errorsOf(const std::string &Members) {
  ForwarderSettings Settings;
  return parseForwarderSettings("{" + Members + "}", "s.json", Settings);
}

TEST(ForwarderSettingsTest, ReadsAllKeys) {
  ForwarderSettings Settings;
  const auto Errors = parseForwarderSettings("{" + Minimal + R"(, // a comment
        "peerAddress": "10.1.0.1:8166", "seeds": ["10.2.0.1:8166"],
        "metricsAddress": "10.1.0.1:7720",
        "maxStoreAgeMs": 4000.0, "changeBoundMs": 2500,
        "logLinesPerSecond": 7, "stopLimitS": 6.5})",
                                             "s.json", Settings);
  ASSERT_TRUE(Errors.empty()) << toString(Errors[0]);
  EXPECT_EQ(Settings.Name, "lim-a-1");
  EXPECT_EQ(Settings.Zone, "lim-a");
  EXPECT_EQ(toString(Settings.DataAddress), "10.1.0.1:8172");
  EXPECT_EQ(toString(Settings.ReadyAddress), "10.1.0.1:8167");
  EXPECT_EQ(toString(Settings.Store), "10.200.1.7:8169");
  EXPECT_EQ(toString(Settings.PeerAddress), "10.1.0.1:8166");
  EXPECT_EQ(Settings.Seeds.size(), 1U);
  EXPECT_EQ(toString(Settings.MetricsAddress), "10.1.0.1:7720");
  EXPECT_EQ(Settings.MaxStoreAge, std::chrono::seconds(4));
  EXPECT_EQ(Settings.ChangeBound, std::chrono::milliseconds(2500));
  EXPECT_EQ(Settings.LogLinesPerSecond, 7U);
  EXPECT_EQ(Settings.StopLimit, std::chrono::milliseconds(6500));
}

TEST(ForwarderSettingsTest, ErrorsContainPointerAndRemedy) {
  EXPECT_TRUE(errorsOf(Minimal).empty());
  const auto Errors =
      errorsOf(Minimal + R"(,"maxStoreAgeMs":1,"stopLimitS":-1,"sore":1)");
  ASSERT_EQ(Errors.size(), 3U);
  EXPECT_EQ(Errors[0].Pointer, "/maxStoreAgeMs");
  EXPECT_EQ(Errors[1].Pointer, "/stopLimitS");
  EXPECT_EQ(toString(Errors[2]),
            "s.json: /sore: found an unknown key; remove it, or use the "
            "nearest known key \"store\"");
}

// Guards against reports without an address that tells their senders apart.
TEST(ForwarderSettingsTest, ReportAddressNeedsAPeerAddress) {
  ForwarderSettings Settings;
  const std::string ReportAddress = R"(,"reportAddress":"10.1.0.1:7721")";
  const auto Errors = parseForwarderSettings(
      "{" + Minimal + R"(,"peerAddress":"10.1.0.1:8166")" + ReportAddress + "}",
      "s.json", Settings);
  ASSERT_TRUE(Errors.empty()) << toString(Errors[0]);
  EXPECT_EQ(toString(Settings.ReportAddress), "10.1.0.1:7721");
  const auto Missing = errorsOf(Minimal + ReportAddress);
  ASSERT_EQ(Missing.size(), 1U);
  EXPECT_EQ(Missing[0].Pointer, "/reportAddress");
}

TEST(ForwarderSettingsTest, ReadsPolicyOptions) {
  ForwarderSettings Settings;
  const auto Errors = parseForwarderSettings("{" + Minimal + R"(,
        "policy": {"placement": {"preferOwnZone": false, "warmupShare": 0.25,
                                 "maxOpeningsInZone": 0},
                   "reachability": {"maxBackoffMs": 500},
                   "checks": {"useReference": false},
                   "storeSharing": {"delayAfterChangeShare": 0.1}}})",
                                             "s.json", Settings);
  ASSERT_TRUE(Errors.empty()) << toString(Errors[0]);
  PolicyOptions Expected;
  Expected.Placement.PreferOwnZone = false;
  Expected.Placement.WarmupShare = 0.25;
  Expected.Placement.MaxOpeningsInZone = 0;
  Expected.Reachability.MaxBackoff = std::chrono::milliseconds(500);
  Expected.Checks.UseReference = false;
  Expected.StoreSharing.DelayAfterChangeShare = 0.1;
  EXPECT_EQ(Settings.Policy, Expected);
}

// Guards against options that are misspelled or out of range and then have no
// effect without a message.
TEST(ForwarderSettingsTest, ReportsInvalidPolicyOptions) {
  const auto Errors = errorsOf(Minimal + R"(,
      "policy": {"placement": {"preferOwnZone": 1, "warmupShare": 0,
                               "preferOwnZon": true},
                 "checks": [], "storeSharing": {"delayAfterChangeShare": -1}})");
  ASSERT_EQ(Errors.size(), 5U);
  EXPECT_EQ(toString(Errors[0]), "s.json: /policy/placement/preferOwnZone: "
                                 "found 1; give true or false");
  EXPECT_EQ(toString(Errors[1]), "s.json: /policy/placement/warmupShare: "
                                 "found 0; give a number from 0.01 to 1.0");
  EXPECT_EQ(toString(Errors[2]),
            "s.json: /policy/placement/preferOwnZon: found an unknown key; "
            "remove it, or use the nearest known key \"preferOwnZone\"");
  EXPECT_EQ(Errors[3].Pointer, "/policy/checks");
  EXPECT_EQ(Errors[4].Pointer, "/policy/storeSharing/delayAfterChangeShare");
}

TEST(ForwarderSettingsTest, ReportsMissingRequiredKeys) {
  EXPECT_EQ(errorsOf("").size(), 5U);
}

} // namespace
} // namespace indigopoint
