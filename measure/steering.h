#pragma once

#include <ostream>

namespace indigopoint::measure {

/// Compares policies that choose the upstream of a new flow when answers do
/// not pass through the instances. Measures the imbalance of upstreams, the
/// time a request waits for a slot, and the share of flows that are lost when
/// one zone is cut off. Prints a table and one JSON line per run. Returns the
/// number of runs of the production policy with flows that cross zones and
/// would be lost with either zone.
int measureSteering(std::ostream &Table, std::ostream &JsonLines);

} // namespace indigopoint::measure
