#pragma once

#include <iosfwd>

namespace indigopoint::measure {

/// Measures in virtual time how long configuration changes take to become
/// current on all instances, how many bytes they cost per instance, and how
/// many store calls they need. Writes a table and one JSON line per run.
/// Returns the number of runs in which a change took more than 5 s.
int measureConfiguration(std::ostream &Table, std::ostream &JsonLines);

} // namespace indigopoint::measure
