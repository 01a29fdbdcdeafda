#include "platform/configuration_schema.h"

#include <gtest/gtest.h>

#include "example_configuration.h"
#include "json_mutations.h"
#include "platform/store_codec.h"
#include "route_checks.h"
#include "route_difference.h"

namespace indigopoint::platform {
namespace {

// Whether a finding names the changed field, something in it, or its parent.
bool isNear(const std::string &Pointer, const Json::json_pointer &At) {
  return Pointer.starts_with(At.parent_pointer().to_string()) ||
         At.to_string().starts_with(Pointer);
}

Duration timeOf(const Json &Entry, const char *Key) {
  return std::chrono::milliseconds(Entry.value(Key, 0));
}

// Whether instances use all numbers of the file.
void expectAllUsed(const RouteConfiguration &Content, const Json &Document) {
  ASSERT_EQ(Content.Routes.size(), Document.at("Routes").size());
  for (size_t Index = 0; Index < Content.Routes.size(); ++Index) {
    const Json &Entry = Document["Routes"][Index];
    EXPECT_EQ(Content.Routes[Index].Aim, timeOf(Entry, "AimMs"));
    EXPECT_EQ(Content.Routes[Index].TimeLimit, timeOf(Entry, "TimeoutMs"));
  }
  if (Document.contains("Services"))
    for (const Json &Entry : Document["Services"]) {
      const auto &Service = Content.Services.at(Entry.at("Name"));
      EXPECT_EQ(Service.WarmupRate == 0, Entry.value("ColdPerS", 0.0) == 0);
    }
  const Json Limits = Document.value("Limits", Json::object());
  if (Limits.contains("IdleTimeoutMs")) {
    EXPECT_EQ(Content.IdleTimeout, timeOf(Limits, "IdleTimeoutMs"));
  }
}

// Guards against a file that passes the check and that instances refuse or use
// in part, and against errors that name another place.
TEST(ConfigurationSchemaTest, MutatedFilesPassOnlyIfInstancesUseThem) {
  SiteErrors NoErrors;
  const auto Valid =
      readPlan("old.json", exampleConfiguration().dump(), NoErrors);
  ASSERT_TRUE(Valid);
  size_t Accepted = 0;
  size_t Refused = 0;
  forEachMutation(
      exampleConfiguration(), [&](const Json &Document, const auto &At) {
        const std::string Text = Document.dump(1);
        RouteFindings Findings;
        const auto Plan = readCheckedPlan("new.json", Text, Findings);
        SiteErrors Errors;
        const auto InForce = readPlan("new.json", Text, Errors);
        EXPECT_TRUE(!Plan || InForce) << Text;
        if (InForce)
          differenceOf(*InForce, *Valid, configurationKeys());
        ASSERT_EQ(Plan.has_value(), Findings.Errors.empty()) << Text;
        if (Plan) {
          ++Accepted;
          expectAllUsed(Plan->Content, Document);
          checkRoutes(*Plan, configurationKeys(), Findings);
          EXPECT_EQ(differenceOf(*Valid, *Plan, configurationKeys()).empty(),
                    Document == exampleConfiguration() ||
                        At.to_string() == "/Version")
              << Text;
        } else {
          ++Refused;
          for (const SiteError &Error : Findings.Errors) {
            EXPECT_TRUE(isNear(Error.Pointer, At)) << Error.message() << At;
            EXPECT_GT(Error.Line, 0U) << Error.message();
          }
        }
      });
  EXPECT_GT(Accepted, 50U);
  EXPECT_GT(Refused, 500U);
}

} // namespace
} // namespace indigopoint::platform
