#pragma once

#include <istream>
#include <string>
#include <vector>

#include "types.h"

namespace indigopoint {

/// What the event logs of all instances tell of one flow: its own lines, and
/// the lines on its upstreams and on the instances it passed while it lived.
struct FlowHistory {
  /// In the order of time.
  std::vector<std::string> Lines;
  /// Lines of the input that are no event.
  size_t UnreadableLines = 0;
};

/// Reads event logs and collects the story of \p Flow, written as
/// "CLIENT:PORT>SERVICE:PORT". Lines on upstreams and instances count from
/// \p Margin before the flow's first line to \p Margin after its last one.
FlowHistory readFlowHistory(std::istream &Logs, const std::string &Flow,
                            Duration Margin);

} // namespace indigopoint
