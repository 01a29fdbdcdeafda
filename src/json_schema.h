#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "json_document.h"

namespace indigopoint {

struct ObjectSchema;

enum class ValueKind : uint8_t {
  Any,
  Text,
  Flag,
  Integer,
  Number,
  /// An array of objects that differ in ObjectSchema::NameKey.
  NamedObjects,
  Object,
  IntegerList
};

/// One key of an object and its values.
struct KeySchema {
  std::string_view Key;
  ValueKind Kind = ValueKind::Text;
  bool Required = false;
  double Min = 0;
  double Max = 0;
  const ObjectSchema *ElementSchema = nullptr;
  /// Returns what to use instead of a text; empty if the text is valid.
  std::function<std::string(const std::string &)> TextRemedy{};
};

struct ObjectSchema {
  std::vector<KeySchema> Keys;
  std::string_view NameKey = "name";

  const KeySchema *find(std::string_view Key) const;
};

/// Checks keys, types and ranges of an object. In an overlay, null removes a
/// value and an object may replace an array of named objects.
void checkSchema(const JsonNode &Value, const ObjectSchema &Schema,
                 bool IsOverlay, SiteErrors &Errors);

/// Checks that an object has all required keys.
void checkRequiredKeys(const JsonNode &Value, const ObjectSchema &Schema,
                       SiteErrors &Errors);

/// The candidate with the smallest edit distance to \p Word, or empty if no
/// candidate is close.
std::string_view nearestName(std::string_view Word,
                             const std::vector<std::string_view> &Candidates);

} // namespace indigopoint
