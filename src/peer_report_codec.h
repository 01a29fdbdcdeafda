#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "peer_report.h"

namespace indigopoint {

/// Maximum size of an encoded report. It fits into one packet on every usual
/// link, so that the loss of one fragment does not lose a report.
constexpr size_t MaxReportBytes = 1200;

/// Encodes at most MaxReportBytes: the evidence, newest first, the placements
/// and then the queries. Leaves out what does not fit, and entries that a
/// receiver would reject. Returns an empty string if not even the sender and
/// the zone fit.
std::string encodePeerReport(const PeerReport &Report);

/// Decodes a report that the instance with the peer address \p Self received in
/// \p Zone. Returns nothing if the report is malformed, is not from another
/// instance of the zone, or has values that no instance reports.
std::optional<PeerReport> decodePeerReport(std::string_view Bytes,
                                           Endpoint Self,
                                           const std::string &Zone);

} // namespace indigopoint
