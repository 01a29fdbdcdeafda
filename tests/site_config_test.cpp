#include "site_config.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "change_set.h"
#include "site_merge.h"

namespace indigopoint {
namespace {

const char *const BaseText = R"({
"zones": [{"name": "lim-a", "region": "lim"},
          {"name": "lim-b", "region": "lim"}],
"services": [
{"name": "chat-core", "id": 1, "tenant": "andina", "class": "interactive",
 "upstreamDefaults": {"slots": 3},
 "upstreams": [
{"name": "c1", "zone": "lim-a", "address": "127.0.0.1:1"},
{"name": "c2", "zone": "lim-b", "address": "127.0.0.2:1", "slots": 5}]}],
"retiredServiceIds": [9]
})";

std::string baseTextWith(const std::string &From, const std::string &To) {
  std::string Text = BaseText;
  const size_t Position = Text.find(From);
  EXPECT_NE(Position, std::string::npos) << From;
  return Text.replace(Position, From.size(), To);
}

SiteErrors errorsOf(const std::string &Base,
                    const std::string &Overlay = "{}") {
  SiteConfig Out;
  return buildSiteConfig({"base.json", Base},
                         {{"overlays/lim-a.json", Overlay}}, Out);
}

SiteConfig buildConfig(const std::string &Overlay) {
  SiteConfig Out;
  const SiteErrors Errors = buildSiteConfig(
      {"base.json", BaseText}, {{"overlays/lim-a.json", Overlay}}, Out);
  EXPECT_TRUE(Errors.empty()) << Errors[0].message();
  return Out;
}

struct BadFile {
  std::string OldText;
  std::string NewText;
  SiteErrorKind Kind;
  unsigned Line;
  std::string Pointer;
  std::string Text;
};

void expectSingleError(const SiteErrors &Errors, const BadFile &Case) {
  ASSERT_EQ(Errors.size(), 1U) << Case.NewText;
  EXPECT_EQ(Errors[0].Kind, Case.Kind) << Errors[0].message();
  EXPECT_EQ(Errors[0].Line, Case.Line) << Errors[0].message();
  EXPECT_EQ(Errors[0].Pointer, Case.Pointer) << Errors[0].message();
  EXPECT_NE(Errors[0].message().find(Case.Text), std::string::npos)
      << Errors[0].message();
}

// Guards against errors in a base file that are accepted, or whose message
// gives a wrong position or no remedy.
TEST(SiteConfigTest, BaseFileErrorsGivePositionAndRemedy) {
  using Kind = SiteErrorKind;
  const std::string UpstreamsPointer = "/services/0/upstreams/";
  const std::vector<BadFile> Cases = {
      {"\"slots\": 5", "\"slot\": 5", Kind::UnknownKey, 9,
       UpstreamsPointer + "1/slot", "did you mean \"slots\"?"},
      {"\"slots\": 5", "\"slots\": 0", Kind::OutOfRange, 9,
       UpstreamsPointer + "1/slots", "use a whole number from 1 to 1000"},
      {"\"slots\": 5", "\"connections\": 1.5", Kind::OutOfRange, 9,
       UpstreamsPointer + "1/connections", "found 1.5"},
      {"\"slots\": 5", "\"slots\": \"5\"", Kind::WrongType, 9,
       UpstreamsPointer + "1/slots", "use a value of type number"},
      {"127.0.0.2:1", "127.0.0:1", Kind::BadValue, 9,
       UpstreamsPointer + "1/address", "such as 127.0.0.1:9000"},
      {"127.0.0.2:1", "127.0.0.1:1", Kind::DuplicateAddress, 9,
       UpstreamsPointer + "1/address", "also used in base.json:8"},
      {"\"c2\"", "\"c1\"", Kind::DuplicateName, 9, UpstreamsPointer + "1/name",
       "own name"},
      {"\"zone\": \"lim-b\"", "\"zone\": \"lim-bb\"", Kind::UnknownZone, 9,
       UpstreamsPointer + "1/zone", "did you mean \"lim-b\"?"},
      {"\"id\": 1", "\"id\": 9", Kind::ReusedId, 5, "/services/0/id",
       "retired in base.json:10"},
      {"\"tenant\": \"andina\", ", "", Kind::MissingKey, 5, "/services/0",
       "add \"tenant\""},
      {"interactive", "fast", Kind::BadValue, 5, "/services/0/class",
       "use \"interactive\" or \"bulk\""}};
  for (const BadFile &Case : Cases)
    expectSingleError(errorsOf(baseTextWith(Case.OldText, Case.NewText)), Case);
}

// Guards against an overlay that changes the configuration of another site.
TEST(SiteConfigTest, OverlayErrorsGiveTheirFile) {
  using Kind = SiteErrorKind;
  const std::string Service = "{\"services\": [\n{\"name\": \"chat-core\", ";
  const std::vector<BadFile> Cases = {
      {"", Service + "\"queueLimit\": 3}]}", Kind::OverlayScope, 2,
       "/services/0/queueLimit", "overlays/lim-a.json:2"},
      {"", Service + "\"upstreams\": [{\"name\": \"c2\", \"slots\": 1}]}]}",
       Kind::OverlayScope, 2, "/services/0/upstreams/0", "zone \"lim-b\""},
      {"", Service + "\"upstreams\": {\"c1\": null, \"c2\": null}}]}",
       Kind::OverlayScope, 2, "/services/0/upstreams/c2", "\"c2\" of zone"},
      {"", "{\"services\": [\n{\"name\": \"new\"}]}", Kind::OverlayScope, 2,
       "/services/0", "base file"},
      {"", "{\"zones\": null}", Kind::OverlayScope, 1, "/zones", "all sites"}};
  for (const BadFile &Case : Cases)
    expectSingleError(errorsOf(BaseText, Case.NewText), Case);
}

TEST(SiteConfigTest, SeveralErrorsAreReportedAtOnce) {
  std::string Text = baseTextWith("\"slots\": 5", "\"slotz\": 5");
  Text.replace(Text.find("\"region\""), 8, "\"regoin\"");
  EXPECT_EQ(errorsOf(Text, "{\"servces\": []}").size(), 3U);
}

TEST(SiteConfigTest, ServiceWithoutUpstreamsIsAnError) {
  SiteConfig Out;
  const SiteErrors Errors =
      buildSiteConfig({"base.json", BaseText},
                      {{"lim-a.json", R"({"services": {"chat-core":
                          {"upstreams": {"c1": null}}}})"},
                       {"lim-b.json", R"({"services": {"chat-core":
                          {"upstreams": {"c2": null}}}})"}},
                      Out);
  ASSERT_EQ(Errors.size(), 1U);
  EXPECT_EQ(Errors[0].Kind, SiteErrorKind::NoUpstreams);
}

// Checks each merge rule: merge by key, merge by name, replace, removal by
// null, and the zone that upstreams get from their overlay.
TEST(SiteConfigTest, OverlayMergesByKeyAndName) {
  const SiteConfig Config = buildConfig(R"({"services": [{"name": "chat-core",
    "upstreams": [{"name": "c1", "slots": 7, "admin": "127.0.0.1:2"},
                  {"name": "c3", "address": "127.0.0.3:1"}]}]})");
  const auto &Upstreams = Config.Config.Services.at(ServiceId(1)).Upstreams;
  ASSERT_EQ(Upstreams.size(), 3U);
  EXPECT_EQ(Upstreams[0].Slots, 7U);
  EXPECT_EQ(Upstreams[0].Address, (Endpoint{0x7f000001, 1}));
  EXPECT_EQ(Upstreams[0].Admin, (Endpoint{0x7f000001, 2}));
  EXPECT_EQ(Upstreams[1].Slots, 5U);
  EXPECT_EQ(Upstreams[2].Zone, "lim-a");
  EXPECT_EQ(Upstreams[2].Slots, 3U);
  EXPECT_EQ(Upstreams[2].Connections, 2000U);
}

TEST(SiteConfigTest, LocationsShowFileAndLine) {
  const SiteConfig Config =
      buildConfig("{\"services\": [{\"name\": \"chat-core\",\n"
                  "\"upstreams\": {\"c1\": {\"slots\": 7}}}]}");
  const std::string Text = formatJson(Config.MergedJson, true);
  EXPECT_NE(Text.find("\"slots\": 7 // overlays/lim-a.json:2"),
            std::string::npos)
      << Text;
  EXPECT_NE(Text.find("\"slots\": 5 // base.json:9"), std::string::npos);
}

// Guards against merged text that is not a valid base file.
TEST(SiteConfigTest, MergedTextBuildsTheSameConfiguration) {
  const SiteConfig Config = buildConfig(
      R"({"services": {"chat-core": {"upstreams": {"c1": {"slots": 7}}}}})");
  SiteConfig Rebuilt;
  EXPECT_TRUE(buildSiteConfig({"merged", formatJson(Config.MergedJson, true)},
                              {}, Rebuilt)
                  .empty());
  EXPECT_EQ(Rebuilt.Config, Config.Config);
}

// Guards against a flow that reaches the wrong service because the id of its
// service was reused for a new one.
TEST(SiteConfigTest, ServiceIdsAreNeverReused) {
  SiteConfig Config = buildConfig("{}");
  Configuration Current = Config.Config;
  EXPECT_TRUE(checkServiceIds(Current, Config).empty());
  Current.Services[ServiceId(1)].Name = "media-shelf";
  EXPECT_EQ(checkServiceIds(Current, Config).at(0).Kind,
            SiteErrorKind::ReusedId);
  Current = Config.Config;
  Current.Services[ServiceId(9)].Name = "listed as retired";
  EXPECT_TRUE(checkServiceIds(Current, Config).empty());
  Current.Services[ServiceId(8)].Name = "not listed";
  EXPECT_EQ(checkServiceIds(Current, Config).size(), 1U);
}

TEST(SiteConfigTest, DifferenceAppliedToOldConfigurationGivesNew) {
  const Configuration OldConfig = buildConfig("{}").Config;
  Configuration NewConfig = OldConfig;
  NewConfig.Zones.push_back({"lim-c", "lim"});
  NewConfig.Services[ServiceId(1)].Upstreams.pop_back();
  NewConfig.Services[ServiceId(1)].Upstreams[0].Draining = true;
  NewConfig.Services[ServiceId(2)].Id = ServiceId(2);
  NewConfig.Services[ServiceId(2)].Name = "media-shelf";
  Configuration Result = OldConfig;
  ASSERT_TRUE(applyChange(differenceOf(OldConfig, NewConfig), Result));
  NewConfig.Version = ConfigVersion(1);
  EXPECT_EQ(Result, NewConfig);
  EXPECT_EQ(describeDifference(OldConfig, NewConfig),
            "+ zone lim-c (lim)\n"
            "~ chat-core/c1 draining: false -> true\n"
            "- chat-core/c2 (lim-b, 127.0.0.2:1)\n"
            "+ service media-shelf (, id 2, 0 upstreams)\n");
  std::reverse(NewConfig.Services[ServiceId(1)].Upstreams.begin(),
               NewConfig.Services[ServiceId(1)].Upstreams.end());
  EXPECT_TRUE(isEmpty(differenceOf(NewConfig, NewConfig)));
}

struct Example {
  std::string Folder;
  std::vector<std::string> Sites;
  size_t InteractiveUpstreams;
  size_t BulkUpstreams;
};

// Guards against examples that do not pass the checks, or that do not have the
// numbers of upstreams of the deployments andina and fernleigh.
TEST(SiteConfigTest, ExamplesAreValid) {
  for (const Example &Case :
       {Example{"andina", {"lim-a", "lim-b", "lim-c", "lim-d"}, 14, 4},
        Example{"fernleigh", {"mids-a", "mids-b", "mids-c"}, 14, 4}}) {
    const std::string Folder =
        std::string(SOURCE_DIR) + "/examples/" + Case.Folder;
    SiteErrors Errors;
    SiteFile Base;
    ASSERT_TRUE(readSiteFile(Folder + "/base.json", Base, Errors));
    std::vector<SiteFile> Overlays;
    for (const std::string &Site : Case.Sites)
      ASSERT_TRUE(readSiteFile(
          std::string(Folder).append("/overlays/").append(Site) + ".json",
          Overlays.emplace_back(), Errors));
    SiteConfig Out;
    Errors = buildSiteConfig(Base, Overlays, Out);
    ASSERT_TRUE(Errors.empty()) << Errors[0].message();
    const auto &Services = Out.Config.Services;
    EXPECT_EQ(Services.at(ServiceId(1)).Upstreams.size(),
              Case.InteractiveUpstreams);
    EXPECT_EQ(Services.at(ServiceId(2)).Upstreams.size(), Case.BulkUpstreams);
    EXPECT_EQ(Services.at(ServiceId(2)).Class, Priority::Bulk);
    EXPECT_EQ(Out.Config.Zones.size(), Case.Sites.size());
  }
}

} // namespace
} // namespace indigopoint
