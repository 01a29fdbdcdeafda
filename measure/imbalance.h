#pragma once

#include <ostream>

namespace indigopoint::measure {

/// Compares admission policies for new flows by the imbalance of upstreams:
/// hash only, redirects at several thresholds, and an ideal choice of the
/// least loaded upstream. Prints a table and one JSON line per run. Returns
/// the number of runs of the production policy whose imbalance of flows or
/// slots exceeds 1.15.
int measureImbalance(std::ostream &Table, std::ostream &JsonLines);

} // namespace indigopoint::measure
