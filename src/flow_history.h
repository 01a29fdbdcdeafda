#pragma once

#include <istream>
#include <string>
#include <vector>

#include "types.h"

namespace indigopoint {

/// The event log lines of all instances about one flow: the lines that contain
/// the flow, and those about its upstreams and its instances during its
/// lifetime.
struct FlowHistory {
  /// Ordered by time.
  std::vector<std::string> Lines;
  /// Number of input lines that are not events.
  size_t UnreadableLines = 0;
};

/// Reads event logs and collects the history of \p Flow, written as
/// "CLIENT:PORT>SERVICE:PORT". Lines about upstreams and instances are included
/// from \p Margin before the first line of the flow to \p Margin after the
/// last.
FlowHistory readFlowHistory(std::istream &Logs, const std::string &Flow,
                            Duration Margin);

} // namespace indigopoint
