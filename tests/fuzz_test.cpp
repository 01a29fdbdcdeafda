#include <cstdlib>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fuzz_commands.h"

namespace indigopoint::fuzz {
namespace {

// CI uses a fixed seed, so that its result is reproducible; scripts/fuzz.sh
// sets other seeds for long runs.
const bool SeedIsSet =
    setenv("RC_PARAMS", "seed=20 max_success=25 max_size=50", 0) == 0;

RC_GTEST_PROP(FuzzTest, PlannedChangesViolateNoGuarantee, ()) {
  Model Start;
  Fleet TestFleet(Instances, 1);
  rc::state::check(Start, TestFleet, plannedCommand);
}

RC_GTEST_PROP(FuzzTest, FaultsViolateNoGuarantee, ()) {
  Model Start;
  Fleet TestFleet(Instances, 1);
  rc::state::check(Start, TestFleet, anyCommand);
}

} // namespace
} // namespace indigopoint::fuzz
