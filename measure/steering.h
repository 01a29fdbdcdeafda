#pragma once

#include <ostream>

namespace indigopoint::measure {

/// Compares ways of choosing the upstream of a new flow when answers do not
/// pass through the instances: imbalance, waiting for a slot, and flows that a
/// cut of one zone would silence. Prints a table and one JSON line per run.
/// Returns the number of runs of the way in use in which a cut would silence
/// flows between other zones.
int measureSteering(std::ostream &Table, std::ostream &JsonLines);

} // namespace indigopoint::measure
