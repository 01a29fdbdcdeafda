#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "json_document.h"

namespace indigopoint {

/// Checks keys, types and ranges of one file. In an overlay, null removes a
/// value and an object may replace an array of named objects.
void checkSchema(const JsonNode &Root, bool IsOverlay, SiteErrors &Errors);

/// Checks that a merged configuration has all required keys.
void checkRequiredKeys(const JsonNode &Root, SiteErrors &Errors);

/// The candidate with the smallest edit distance to \p Word, or empty if no
/// candidate is close.
std::string_view nearestName(std::string_view Word,
                             const std::vector<std::string_view> &Candidates);

} // namespace indigopoint
