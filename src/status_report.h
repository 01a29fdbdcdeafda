#pragma once

#include <string>

#include "server.h"
#include "udp_endpoint.h"

namespace indigopoint {

struct Blackboard;

/// The state of one instance as JSON, for GET /status.
std::string statusReport(const Blackboard &Board, const DropCounters &Drops,
                         const UdpEndpoint::Counters &Datagrams);

/// The text form of the status report of a server or a forwarder; histograms
/// are drawn as bars. Empty if \p Report is malformed.
std::string statusText(const std::string &Report);

} // namespace indigopoint
