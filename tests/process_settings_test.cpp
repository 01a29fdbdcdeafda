#include "process_settings.h"

#include <fstream>

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

const std::string Minimal =
    R"("name":"lim-a-1","zone":"lim-a","region":"lim","address":"127.0.0.1:0")";

std::vector<SettingsError> errorsOf(const std::string &Text) {
  ProcessSettings Settings;
  return parseProcessSettings(Text, "s.json", Settings);
}

// The pointers of all errors, concatenated.
std::string pointersOf(const std::string &Members) {
  std::string Pointers;
  for (const SettingsError &Error : errorsOf("{" + Members + "}"))
    Pointers += Error.Pointer;
  return Pointers;
}

TEST(ProcessSettings, AllKeysAreRead) {
  ProcessSettings Settings;
  const auto Errors = parseProcessSettings("{" + Minimal + R"(, // a comment
        "adminAddress": "127.0.0.2:8000", "seeds": ["127.0.0.1:1"],
        "platform": "127.0.0.1:2", "storePrefix": "x/",
        "log": {"level": "debug", "file": "/tmp/x.log"},
        "healthProbePeriodMs": 250, "drainLimitMs": 100, "seed": 7})",
                                           "s.json", Settings);
  ASSERT_TRUE(Errors.empty()) << toString(Errors[0]);
  EXPECT_EQ(Settings.Name, "lim-a-1");
  EXPECT_EQ(Settings.Zone, "lim-a");
  EXPECT_EQ(Settings.Region, "lim");
  EXPECT_EQ(toString(Settings.Address), "127.0.0.1:0");
  EXPECT_EQ(toString(Settings.AdminAddress), "127.0.0.2:8000");
  EXPECT_EQ(Settings.Seeds, std::vector<Endpoint>({{0x7f000001, 1}}));
  EXPECT_EQ(Settings.Platform.Port, 2);
  EXPECT_EQ(Settings.StorePrefix, "x/");
  EXPECT_EQ(Settings.Log.Level, LogLevel::Debug);
  EXPECT_EQ(Settings.Log.File, "/tmp/x.log");
  EXPECT_EQ(Settings.HealthProbePeriod, std::chrono::milliseconds(250));
  EXPECT_EQ(Settings.DrainLimit, std::chrono::milliseconds(100));
  EXPECT_EQ(Settings.Seed, 7U);
}

TEST(ProcessSettings, EachErrorHasItsPointer) {
  EXPECT_EQ(pointersOf(Minimal), "");
  EXPECT_EQ(pointersOf(Minimal + R"(,"seeds":["127.0.0.1:1",2])"), "/seeds/1");
  EXPECT_EQ(pointersOf(Minimal + R"(,"seeds":{})"), "/seeds");
  EXPECT_EQ(pointersOf(Minimal + R"(,"platform":"0.0.0.0:1")"), "/platform");
  EXPECT_EQ(pointersOf(Minimal + R"(,"log":[])"), "/log");
  EXPECT_EQ(pointersOf(Minimal + R"(,"log":{"level":"loud"})"), "/log/level");
  EXPECT_EQ(pointersOf(Minimal + R"(,"log":{"levle":"info"})"), "/log/levle");
  EXPECT_EQ(pointersOf(Minimal + R"(,"seed":-1)"), "/seed");
  EXPECT_EQ(pointersOf(Minimal + R"(,"drainLimitMs":1.5)"), "/drainLimitMs");
  EXPECT_EQ(pointersOf(Minimal + R"(,"healthProbePeriodMs":0)"),
            "/healthProbePeriodMs");
}

TEST(ProcessSettings, AllErrorsAreReportedAtOnce) {
  EXPECT_EQ(pointersOf(R"("name":"","zone":1)"), "/name/zone/region/address");
}

TEST(ProcessSettings, UnknownKeyErrorSuggestsTheNearestKey) {
  const auto Errors = errorsOf("{" + Minimal + R"(,"adminAdress":""})");
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_EQ(toString(Errors[0]),
            "s.json: /adminAdress: found an unknown key; remove it, or use the "
            "nearest known key \"adminAddress\"");
}

TEST(ProcessSettings, TextWithoutObjectIsOneError) {
  for (const std::string Text : {"", "[]", "{", "{\"name\":}", "7", "null"})
    EXPECT_EQ(errorsOf(Text).size(), 1U) << Text;
}

TEST(ProcessSettings, MissingFileIsAnError) {
  ProcessSettings Settings;
  EXPECT_EQ(loadProcessSettings("/nonexistent/s.json", Settings).size(), 1U);
  const std::string Large = testing::TempDir() + "large-settings.json";
  std::ofstream(Large) << std::string((1 << 20) + 1, ' ');
  const auto Errors = loadProcessSettings(Large, Settings);
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_NE(toString(Errors[0]).find("1048577 bytes"), std::string::npos);
}

} // namespace
} // namespace indigopoint
