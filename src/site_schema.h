#pragma once

#include "json_schema.h"

namespace indigopoint {

/// Checks keys, types and ranges of one file. In an overlay, null removes a
/// value and an object may replace an array of named objects.
void checkSchema(const JsonNode &Root, bool IsOverlay, SiteErrors &Errors);

/// Checks that a merged configuration has all required keys.
void checkRequiredKeys(const JsonNode &Root, SiteErrors &Errors);

} // namespace indigopoint
