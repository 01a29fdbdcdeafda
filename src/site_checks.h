#pragma once

#include <string>

#include "json_document.h"

namespace indigopoint {

/// Checks that an overlay touches only what belongs to its site: upstreams in
/// that zone. Adds the zone to upstreams that name none.
void checkOverlayScope(JsonNode &Overlay, const std::string &Site,
                       const JsonNode &Base, SiteErrors &Errors);

/// Checks a merged configuration beyond types: duplicates, unknown zones,
/// services without upstreams, retired ids, colliding hashes.
void checkSemantics(const JsonNode &Root, SiteErrors &Errors);

} // namespace indigopoint
