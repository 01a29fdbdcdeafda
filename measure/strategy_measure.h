#pragma once

#include <ostream>

namespace indigopoint::measure {

/// Runs every strategy through every scenario with the same seeds. Prints a
/// table and one JSON line per run. Returns how often the production engine
/// violated a guarantee: flows that changed upstream in a planned scenario,
/// misdelivered requests, non-idempotent requests that ran twice, and requests
/// that were refused as not run although they ran.
int measureStrategies(std::ostream &Table, std::ostream &JsonLines);

} // namespace indigopoint::measure
