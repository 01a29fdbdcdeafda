// The settings that the deploy file's template makes of what the platform fills
// in.

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <regex>
#include <sstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "forwarder_settings.h"

namespace indigopoint {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

std::string readTemplate() {
  std::ifstream File(std::string(SOURCE_DIR) +
                     "/deploy/settings.json.template");
  std::ostringstream Out;
  Out << File.rdbuf();
  return Out.str();
}

Json fieldsOfMachine() {
  return {
      {"NodeId", "front-1"},
      {"Zone", "a"},
      {"Ip", "10.1.0.1"},
      {"Listen",
       {{"DataAddr", "10.1.0.1:8172"},
        {"Ready", "10.1.0.1:8167"},
        {"Control", "10.1.0.1:8166"}}},
      {"InternalPortRange", {7720, 7735}},
      {"Seeds", {"10.1.0.1:8166"}},
      {"HeartbeatMs", 1200},
      {"Limits", {{"LinkMbps", 1000.0}}},
      {"Bounds", {{"StableMs", 4000}, {"ConfigApplyMs", 3000}, {"GraceS", 6}}},
      {"platform", {{"Address", "10.200.1.7:8169"}}}};
}

// Fills in {{a.b}} and {{a.b|json}}. A field without a value gives nothing in
// the first form and null in the second one.
std::string render(const std::string &Template, const Json &Fields) {
  static const std::regex Placeholder(R"(\{\{([^{}|]+)(\|json)?\}\})");
  std::string Out;
  std::string Rest = Template;
  for (std::smatch Match; std::regex_search(Rest, Match, Placeholder);
       Rest = Match.suffix()) {
    std::string Path = "/" + Match[1].str();
    std::replace(Path.begin(), Path.end(), '.', '/');
    const Json Value = Fields.value(Json::json_pointer(Path), Json());
    const bool IsJson = Match[2].matched;
    Out += Match.prefix();
    if (IsJson || Value.is_number())
      Out += Value.dump();
    else if (Value.is_string())
      Out += Value.get<std::string>();
  }
  return Out + Rest;
}

struct TemplateCase {
  std::string Kind;
  /// The changed field, and its value as JSON text; empty for no value.
  std::string Pointer;
  std::string Value;
  std::function<bool(const ForwarderSettings &)> Expected;
};

class SettingsTemplateTest : public testing::TestWithParam<TemplateCase> {};

// Guards against machines whose process never starts, because the platform
// gives a number in another form than the settings accept.
TEST_P(SettingsTemplateTest, ValueOfThePlatformIsAccepted) {
  const TemplateCase &Case = GetParam();
  Json Fields = fieldsOfMachine();
  Fields[Json::json_pointer(Case.Pointer)] =
      Case.Value.empty() ? Json() : Json::parse(Case.Value);
  ForwarderSettings Settings;
  const auto Errors = parseForwarderSettings(render(readTemplate(), Fields),
                                             "s.json", Settings);
  ASSERT_TRUE(Errors.empty()) << toString(Errors[0]);
  EXPECT_TRUE(Case.Expected(Settings));
}

auto linkIs(double Mbps) {
  return [Mbps](const ForwarderSettings &S) { return S.LinkMbps == Mbps; };
}

auto timeIs(Duration ForwarderSettings::*Member, Duration Expected) {
  return [=](const ForwarderSettings &S) { return S.*Member == Expected; };
}

INSTANTIATE_TEST_SUITE_P(
    Values, SettingsTemplateTest,
    testing::ValuesIn(std::vector<TemplateCase>{
        {"WholeLink", "/Limits/LinkMbps", "1000.0", linkIs(1000)},
        {"FractionalLink", "/Limits/LinkMbps", "2.6", linkIs(2.6)},
        {"LinkBelowOne", "/Limits/LinkMbps", "0.25", linkIs(0.25)},
        {"NoLink", "/Limits/LinkMbps", "", linkIs(0)},
        {"FractionalAge", "/Bounds/StableMs", "2999.5",
         timeIs(&ForwarderSettings::MaxStoreAge, 2999500us)},
        {"LongAge", "/Bounds/StableMs", "60000",
         timeIs(&ForwarderSettings::MaxStoreAge, 60s)},
        {"NoAge", "/Bounds/StableMs", "",
         timeIs(&ForwarderSettings::MaxStoreAge, 4s)},
        {"FractionalChangeBound", "/Bounds/ConfigApplyMs", "1000.25",
         timeIs(&ForwarderSettings::ChangeBound, 1000250us)},
        {"LongChangeBound", "/Bounds/ConfigApplyMs", "45e3",
         timeIs(&ForwarderSettings::ChangeBound, 45s)},
        {"NoChangeBound", "/Bounds/ConfigApplyMs", "",
         timeIs(&ForwarderSettings::ChangeBound, 3s)},
        {"FractionalStopLimit", "/Bounds/GraceS", "6.5",
         timeIs(&ForwarderSettings::StopLimit, 6500ms)},
        {"NoStopLimit", "/Bounds/GraceS", "",
         timeIs(&ForwarderSettings::StopLimit, 6s)},
        {"FractionalPeriod", "/HeartbeatMs", "770.5",
         timeIs(&ForwarderSettings::RegistrationPeriod, 770500us)},
        {"NoPeriod", "/HeartbeatMs", "",
         timeIs(&ForwarderSettings::RegistrationPeriod, 1200ms)}}),
    [](const auto &Info) { return Info.param.Kind; });

// A value that means no time or rate is still named with the remedy.
TEST(SettingsTemplateErrorTest, ImplausibleValueIsNamed) {
  const std::vector<std::array<std::string, 3>> Cases = {
      {"/Limits/LinkMbps", "-1", "/linkMbps"},
      {"/Limits/LinkMbps", "\"fast\"", "/linkMbps"},
      {"/Limits/LinkMbps", "1e300", "/linkMbps"},
      {"/Bounds/StableMs", "false", "/maxStoreAgeMs"},
      {"/Bounds/ConfigApplyMs", "0.5", "/changeBoundMs"},
      {"/Bounds/GraceS", "[6]", "/stopLimitS"}};
  for (const auto &[Pointer, Value, Key] : Cases) {
    Json Fields = fieldsOfMachine();
    Fields[Json::json_pointer(Pointer)] = Json::parse(Value);
    ForwarderSettings Settings;
    const auto Errors = parseForwarderSettings(render(readTemplate(), Fields),
                                               "s.json", Settings);
    ASSERT_EQ(Errors.size(), 1U) << Pointer << " " << Value;
    EXPECT_EQ(Errors[0].Pointer, Key);
    EXPECT_TRUE(Errors[0].Remedy.starts_with("give a number"));
  }
}

} // namespace
} // namespace indigopoint
