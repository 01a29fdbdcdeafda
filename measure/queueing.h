#pragma once

#include <ostream>

namespace indigopoint::measure {

/// Runs one upstream behind its owner instance at several loads and saturation
/// limits, with the same requests for each limit. Prints a table and one JSON
/// line per run. Returns the number of missed targets: overloaded runs in which
/// more requests ran past their deadline with the default saturation limit than
/// without a limit.
int measureQueueing(std::ostream &Table, std::ostream &JsonLines);

} // namespace indigopoint::measure
