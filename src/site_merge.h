#pragma once

#include <string>

#include "json_document.h"

namespace indigopoint {

/// Merges \p Overlay into \p Base: objects merge by key, arrays of objects with
/// "name" merge by name, other values are replaced, and null removes a value.
/// An overlay object whose keys are names also merges into an array of named
/// objects, so that null can remove an element. Values keep their source file
/// and line.
void mergeOverlay(JsonNode &Base, const JsonNode &Overlay);

/// Formats a merged value as JSON. With \p ShowLocations each line of a value
/// ends with a comment that gives its file and line.
std::string formatJson(const JsonNode &Value, bool ShowLocations);

} // namespace indigopoint
