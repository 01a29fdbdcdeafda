#pragma once

#include <ostream>

namespace indigopoint {

/// Measures the membership traffic of regions of 8, 50 and 400 instances in
/// virtual time. Writes a table and one JSON line per run.
/// Returns 0 on success.
int measureMembership(std::ostream &Table, std::ostream &JsonLines);

} // namespace indigopoint
