#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "site_error.h"

namespace indigopoint {

struct JsonMember;

/// A JSON value with its position in the source file.
struct JsonNode {
  enum class ValueType : uint8_t {
    Null,
    Boolean,
    Number,
    String,
    Array,
    Object
  };

  ValueType Type = ValueType::Null;
  bool Boolean = false;
  /// Set for integers in the range of int64_t.
  std::optional<int64_t> Integer;
  double Number = 0;
  std::string String;
  std::vector<JsonNode> Items;
  /// In the order of the file.
  std::vector<JsonMember> Members;

  std::shared_ptr<const std::string> File;
  /// Line of the value and, in an object, of its key; counted from 1.
  unsigned Line = 0;
  unsigned KeyLine = 0;
  /// JSON pointer within File.
  std::string Pointer;

  const JsonNode *find(std::string_view Key) const;
  JsonNode *find(std::string_view Key);

  /// A short text form of the value for messages.
  std::string brief() const;

  /// Creates an error at the position of this value.
  SiteError error(SiteErrorKind ErrorKind, std::string Actual,
                  std::string Remedy) const;
};

/// One key of an object.
struct JsonMember {
  JsonMember(std::string Key, JsonNode Value)
      : Key(std::move(Key)), Value(std::move(Value)) {}

  std::string Key;
  JsonNode Value;
};

std::string_view nameOf(JsonNode::ValueType Type);

/// Whether two values are the same, whatever the order of keys.
bool hasSameValue(const JsonNode &A, const JsonNode &B);

/// The whole value as JSON in one line.
std::string compactText(const JsonNode &Value);

struct JsonLimits {
  size_t MaxBytes = size_t{16} * 1024 * 1024;
  size_t MaxDepth = 16;
  bool AllowsComments = true;
};

/// Parses JSON, with comments if \p Limits allows them. On failure, adds to \p
/// Errors and returns std::nullopt.
std::optional<JsonNode> parseJson(const std::string &File,
                                  const std::string &Text, SiteErrors &Errors,
                                  const JsonLimits &Limits = {});

} // namespace indigopoint
