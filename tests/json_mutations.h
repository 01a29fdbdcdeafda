#pragma once

// Documents of another writer: valid ones with one field removed or replaced.

#include <limits>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace indigopoint {

using Json = nlohmann::json;

// Values of every type, and extreme ones.
inline std::vector<Json> replacements() {
  Json Nested = 1;
  for (int Level = 0; Level < 200; ++Level)
    Nested = Json::array({std::move(Nested)});
  return {nullptr,
          true,
          false,
          0U,
          -1,
          1.5,
          -0.0,
          1e300,
          1e-300,
          std::numeric_limits<int64_t>::min(),
          std::numeric_limits<uint64_t>::max(),
          "",
          "x",
          std::string("\0\x7f", 2),
          std::string(5000, '9'),
          Json::array(),
          Json::object(),
          Json::array({Json::object(), 7, nullptr}),
          Json::object({{"Name", "chat"}}),
          std::move(Nested)};
}

// The positions of all values below the root.
inline std::vector<Json::json_pointer> fieldsOf(const Json &Document) {
  std::vector<Json::json_pointer> Out;
  const auto Visit = [&](const auto &Self, const Json &Value,
                         const Json::json_pointer &At) -> void {
    if (!At.empty())
      Out.push_back(At);
    if (Value.is_object())
      for (const auto &[Key, Member] : Value.items())
        Self(Self, Member, At / Key);
    else if (Value.is_array())
      for (size_t Index = 0; Index < Value.size(); ++Index)
        Self(Self, Value[Index], At / Index);
  };
  Visit(Visit, Document, Json::json_pointer());
  return Out;
}

inline void removeField(Json &Document, const Json::json_pointer &At) {
  Json &Parent = Document.at(At.parent_pointer());
  if (Parent.is_array())
    Parent.erase(std::stoul(At.back()));
  else
    Parent.erase(At.back());
}

// The JSON and the MessagePack form of a document.
inline std::vector<std::string> formsOf(const Json &Document) {
  std::string Packed;
  Json::to_msgpack(Document, Packed);
  return {Document.dump(), Packed};
}

// Calls Check with each document that has one field of Valid removed or
// replaced. The field is empty for the unchanged document.
template <typename Hook> void forEachMutation(const Json &Valid, Hook Check) {
  Check(Valid, Json::json_pointer());
  for (const Json::json_pointer &At : fieldsOf(Valid)) {
    Json Document = Valid;
    removeField(Document, At);
    Check(Document, At);
    for (const Json &Value : replacements()) {
      Document = Valid;
      Document.at(At) = Value;
      Check(Document, At);
    }
  }
}

} // namespace indigopoint
