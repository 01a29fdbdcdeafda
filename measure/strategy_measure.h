#pragma once

#include <ostream>

namespace indigopoint::measure {

/// Runs every way through every scenario on the same seeds. Prints a table and
/// one JSON line per run. Returns the number of promises that this project's
/// own way broke.
int measureStrategies(std::ostream &Table, std::ostream &JsonLines);

} // namespace indigopoint::measure
