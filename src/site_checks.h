#pragma once

#include <string>

#include "json_document.h"

namespace indigopoint {

/// Checks that an overlay changes only the upstreams of its zone. Adds the zone
/// to upstreams without one.
void checkScopeAndSetZones(JsonNode &Overlay, const std::string &Site,
                           const JsonNode &Base, SiteErrors &Errors);

/// Checks a merged configuration for errors that the schema cannot express:
/// duplicates, unknown zones, services without upstreams, reused ids and hash
/// collisions.
void checkSemantics(const JsonNode &Root, SiteErrors &Errors);

} // namespace indigopoint
