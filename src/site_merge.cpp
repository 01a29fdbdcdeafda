#include "site_merge.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace indigopoint {

namespace {

bool isArrayOfNamedObjects(const JsonNode &Value) {
  return Value.Type == JsonNode::ValueType::Array && !Value.Items.empty() &&
         std::all_of(Value.Items.begin(), Value.Items.end(),
                     [](const JsonNode &Item) {
                       const JsonNode *Name = Item.find("name");
                       return Name != nullptr &&
                              Name->Type == JsonNode::ValueType::String;
                     });
}

std::vector<JsonNode>::iterator findNamed(JsonNode &Array,
                                          const std::string &Name) {
  return std::find_if(
      Array.Items.begin(), Array.Items.end(),
      [&](const JsonNode &Item) { return Item.find("name")->String == Name; });
}

// Removes nulls from a value that is absent in the base.
JsonNode withoutNulls(JsonNode Value) {
  std::erase_if(Value.Members, [](const auto &Member) {
    return Member.Value.Type == JsonNode::ValueType::Null;
  });
  for (auto &[Key, Member] : Value.Members)
    Member = withoutNulls(std::move(Member));
  for (JsonNode &Item : Value.Items)
    Item = withoutNulls(std::move(Item));
  return Value;
}

void mergeElementByName(JsonNode &Array, const std::string &Name,
                        const JsonNode &Overlay) {
  const auto It = findNamed(Array, Name);
  if (Overlay.Type == JsonNode::ValueType::Null) {
    if (It != Array.Items.end())
      Array.Items.erase(It);
  } else if (It != Array.Items.end()) {
    mergeOverlay(*It, Overlay);
  } else {
    JsonNode NewItem = withoutNulls(Overlay);
    if (NewItem.find("name") == nullptr) {
      JsonNode NameNode = Overlay;
      NameNode.Type = JsonNode::ValueType::String;
      NameNode.Members.clear();
      NameNode.String = Name;
      NewItem.Members.emplace(NewItem.Members.begin(), "name",
                              std::move(NameNode));
    }
    Array.Items.push_back(std::move(NewItem));
  }
}

void mergeObjects(JsonNode &Base, const JsonNode &Overlay) {
  for (const auto &[Key, Value] : Overlay.Members) {
    if (Value.Type == JsonNode::ValueType::Null)
      std::erase_if(Base.Members, [&Name = Key](const auto &Member) {
        return Member.Key == Name;
      });
    else if (JsonNode *Existing = Base.find(Key))
      mergeOverlay(*Existing, Value);
    else
      Base.Members.emplace_back(Key, withoutNulls(Value));
  }
}

std::string locationComment(const JsonNode &Value) {
  return " // " + *Value.File + ":" + std::to_string(Value.Line);
}

bool isContainer(const JsonNode &Value) {
  return Value.Type == JsonNode::ValueType::Array ||
         Value.Type == JsonNode::ValueType::Object;
}

void format(const JsonNode &Value, bool ShowLocations, size_t Indent,
            std::string &Out);

void formatEntry(const std::string &Prefix, const JsonNode &Value, bool IsLast,
                 bool ShowLocations, size_t Indent, std::string &Out) {
  Out += std::string(Indent, ' ') + Prefix;
  format(Value, ShowLocations, Indent, Out);
  if (!IsLast)
    Out += ",";
  if (ShowLocations && !isContainer(Value))
    Out += locationComment(Value);
  Out += "\n";
}

void format(const JsonNode &Value, bool ShowLocations, size_t Indent,
            std::string &Out) {
  using nlohmann::json;
  const bool IsObject = Value.Type == JsonNode::ValueType::Object;
  if (!isContainer(Value)) {
    Out += Value.Type == JsonNode::ValueType::String
               ? json(Value.String)
                     .dump(-1, ' ', false, json::error_handler_t::replace)
               : Value.brief();
    return;
  }
  Out += IsObject ? "{\n" : "[\n";
  const size_t Count = IsObject ? Value.Members.size() : Value.Items.size();
  for (size_t Index = 0; Index < Count; ++Index) {
    const bool IsLast = Index + 1 == Count;
    if (IsObject)
      formatEntry(json(Value.Members[Index].Key).dump() + ": ",
                  Value.Members[Index].Value, IsLast, ShowLocations, Indent + 2,
                  Out);
    else
      formatEntry("", Value.Items[Index], IsLast, ShowLocations, Indent + 2,
                  Out);
  }
  Out += std::string(Indent, ' ') + (IsObject ? "}" : "]");
}

} // namespace

void mergeOverlay(JsonNode &Base, const JsonNode &Overlay) {
  if (Base.Type == JsonNode::ValueType::Object &&
      Overlay.Type == JsonNode::ValueType::Object)
    return mergeObjects(Base, Overlay);
  if (isArrayOfNamedObjects(Base) && isArrayOfNamedObjects(Overlay)) {
    for (const JsonNode &Item : Overlay.Items)
      mergeElementByName(Base, Item.find("name")->String, Item);
    return;
  }
  const bool IsEmptyArray =
      Base.Type == JsonNode::ValueType::Array && Base.Items.empty();
  if ((isArrayOfNamedObjects(Base) || IsEmptyArray) &&
      Overlay.Type == JsonNode::ValueType::Object) {
    for (const auto &[Name, Value] : Overlay.Members)
      mergeElementByName(Base, Name, Value);
    return;
  }
  Base = withoutNulls(Overlay);
}

std::string formatJson(const JsonNode &Value, bool ShowLocations) {
  std::string Out;
  format(Value, ShowLocations, 0, Out);
  return Out + "\n";
}

} // namespace indigopoint
