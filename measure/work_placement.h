#pragma once

#include <ostream>

namespace indigopoint::measure {

/// Compares policies that place new flows by remaining work when requests have
/// very different costs, by the age of what an instance knows of the exchanges
/// of other instances. Prints a table, the shares of variance that predictors
/// of the cost explain, and one JSON line per run. Returns the number of cases
/// in which the production policy with CountRemainingWork, without reports of
/// peers, closes less than half of the difference in p99 between least flows
/// and perfect knowledge. Cases in which the seeds differ by more than the
/// policies do not count.
int measureWorkPlacement(std::ostream &Table, std::ostream &JsonLines);

} // namespace indigopoint::measure
