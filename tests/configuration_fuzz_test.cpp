// Configuration files with random changes of bytes.

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "byte_mutations.h"
#include "example_configuration.h"
#include "platform/configuration_schema.h"
#include "route_checks.h"
#include "route_difference.h"

namespace indigopoint::platform {
namespace {

RC_GTEST_PROP(ConfigurationFuzzTest, EachErrorNamesItsPlaceAndRemedy, ()) {
  const std::string Valid = exampleConfiguration().dump(1);
  const std::string Text = mutate(Valid);
  RouteFindings Findings;
  const auto Plan = readCheckedPlan("new.json", Text, Findings);
  RC_ASSERT(Plan.has_value() == Findings.Errors.empty());
  SiteErrors Errors;
  const auto InForce = readPlan("old.json", Valid, Errors);
  RC_ASSERT(InForce.has_value());
  if (Plan) {
    checkRoutes(*Plan, configurationKeys(), Findings);
    const auto Difference = differenceOf(*InForce, *Plan, configurationKeys());
    checkChange(*InForce, *Plan, Difference, configurationKeys(), Findings);
    differenceOf(*Plan, *InForce, configurationKeys());
  }
  const auto Lines =
      static_cast<unsigned>(std::count(Text.begin(), Text.end(), '\n')) + 1;
  for (const SiteErrors &List : {Findings.Errors, Findings.Warnings})
    for (const SiteError &Error : List) {
      RC_ASSERT(Error.Line >= 1U);
      RC_ASSERT(Error.Line <= Lines);
      RC_ASSERT(!Error.Remedy.empty());
    }
}

} // namespace
} // namespace indigopoint::platform
