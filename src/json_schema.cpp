#include "json_schema.h"

#include <algorithm>
#include <set>

namespace indigopoint {

namespace {

std::string numberText(double Value) {
  JsonNode Node;
  Node.Type = JsonNode::ValueType::Number;
  if (Value == static_cast<double>(static_cast<int64_t>(Value)))
    Node.Integer = static_cast<int64_t>(Value);
  Node.Number = Value;
  return Node.brief();
}

void reportMissingKey(const JsonNode &Object, std::string_view Key,
                      SiteErrors &Errors) {
  Errors.push_back(Object.error(SiteErrorKind::MissingKey,
                                "no key \"" + std::string(Key) + "\"",
                                "add \"" + std::string(Key) + "\""));
}

class SchemaCheck {
public:
  SchemaCheck(bool IsOverlay, SiteErrors &Errors)
      : IsOverlay(IsOverlay), Errors(Errors) {}

  void checkObject(const JsonNode &Value, const ObjectSchema &Schema);

private:
  void checkValue(const JsonNode &Value, const KeySchema &Schema);
  void checkNumber(const JsonNode &Value, const KeySchema &Schema);
  void checkText(const JsonNode &Value, const KeySchema &Schema);
  void checkNamedObjects(const JsonNode &Value,
                         const ObjectSchema &ElementSchema);
  void checkList(const JsonNode &Value, const KeySchema &Schema);
  void reportUnknownKey(const std::string &Key, const JsonNode &Value,
                        const ObjectSchema &Schema);
  bool expect(const JsonNode &Value, JsonNode::ValueType Type);

  bool IsOverlay;
  SiteErrors &Errors;
};

bool SchemaCheck::expect(const JsonNode &Value, JsonNode::ValueType Type) {
  if (Value.Type == Type)
    return true;
  Errors.push_back(Value.error(
      SiteErrorKind::WrongType,
      std::string(nameOf(Value.Type)) +
          (Value.Type == JsonNode::ValueType::Null ? "" : " " + Value.brief()),
      "use a value of type " + std::string(nameOf(Type))));
  return false;
}

void SchemaCheck::reportUnknownKey(const std::string &Key,
                                   const JsonNode &Value,
                                   const ObjectSchema &Schema) {
  std::vector<std::string_view> KnownKeys;
  std::string KeyList;
  for (const KeySchema &Candidate : Schema.Keys) {
    KnownKeys.push_back(Candidate.Key);
    KeyList += (KeyList.empty() ? "" : ", ") + std::string(Candidate.Key);
  }
  const std::string_view NearestKey = nearestName(Key, KnownKeys);
  SiteError Error = Value.error(
      SiteErrorKind::UnknownKey, "the unknown key \"" + Key + "\"",
      NearestKey.empty() ? "use one of " + KeyList
                         : "did you mean \"" + std::string(NearestKey) + "\"?");
  Error.Line = Value.KeyLine;
  Errors.push_back(std::move(Error));
}

void SchemaCheck::checkObject(const JsonNode &Value,
                              const ObjectSchema &Schema) {
  if (!expect(Value, JsonNode::ValueType::Object))
    return;
  for (const auto &[Key, Member] : Value.Members) {
    const KeySchema *SchemaOfKey = Schema.find(Key);
    if (SchemaOfKey == nullptr)
      reportUnknownKey(Key, Member, Schema);
    else if (!IsOverlay || Member.Type != JsonNode::ValueType::Null)
      checkValue(Member, *SchemaOfKey);
  }
}

void SchemaCheck::checkValue(const JsonNode &Value, const KeySchema &Schema) {
  switch (Schema.Kind) {
  case ValueKind::Any:
    return;
  case ValueKind::Text:
    return checkText(Value, Schema);
  case ValueKind::Flag:
    expect(Value, JsonNode::ValueType::Boolean);
    return;
  case ValueKind::Integer:
  case ValueKind::Number:
    return checkNumber(Value, Schema);
  case ValueKind::NamedObjects:
    return checkNamedObjects(Value, *Schema.ElementSchema);
  case ValueKind::Object:
    return checkObject(Value, *Schema.ElementSchema);
  case ValueKind::IntegerList:
    return checkList(Value, Schema);
  }
}

void SchemaCheck::checkNumber(const JsonNode &Value, const KeySchema &Schema) {
  if (!expect(Value, JsonNode::ValueType::Number))
    return;
  const bool MustBeInteger = Schema.Kind == ValueKind::Integer ||
                             Schema.Kind == ValueKind::IntegerList;
  if (Value.Number >= Schema.Min && Value.Number <= Schema.Max &&
      (!MustBeInteger || Value.Integer))
    return;
  Errors.push_back(Value.error(
      SiteErrorKind::OutOfRange, Value.brief(),
      std::string("use a ") + (MustBeInteger ? "whole " : "") + "number from " +
          numberText(Schema.Min) + " to " + numberText(Schema.Max)));
}

void SchemaCheck::checkText(const JsonNode &Value, const KeySchema &Schema) {
  if (!expect(Value, JsonNode::ValueType::String))
    return;
  std::string Remedy;
  if (Value.String.empty())
    Remedy = "use a text that is not empty";
  else if (Schema.TextRemedy)
    Remedy = Schema.TextRemedy(Value.String);
  if (!Remedy.empty())
    Errors.push_back(
        Value.error(SiteErrorKind::BadValue, Value.brief(), Remedy));
}

void SchemaCheck::checkNamedObjects(const JsonNode &Value,
                                    const ObjectSchema &ElementSchema) {
  if (IsOverlay && Value.Type == JsonNode::ValueType::Object) {
    for (const auto &[Name, Member] : Value.Members)
      if (Member.Type != JsonNode::ValueType::Null)
        checkObject(Member, ElementSchema);
    return;
  }
  if (!expect(Value, JsonNode::ValueType::Array))
    return;
  std::set<std::string> Names;
  for (const JsonNode &Item : Value.Items) {
    checkObject(Item, ElementSchema);
    if (Item.Type != JsonNode::ValueType::Object)
      continue;
    const JsonNode *Name = Item.find(ElementSchema.NameKey);
    if (Name == nullptr)
      reportMissingKey(Item, ElementSchema.NameKey, Errors);
    else if (!Names.insert(Name->String).second)
      Errors.push_back(Name->error(SiteErrorKind::DuplicateName,
                                   Name->brief() + " twice in one array",
                                   "give each element its own name"));
  }
}

void SchemaCheck::checkList(const JsonNode &Value, const KeySchema &Schema) {
  if (!expect(Value, JsonNode::ValueType::Array))
    return;
  for (const JsonNode &Item : Value.Items)
    checkNumber(Item, Schema);
}

size_t editDistance(std::string_view From, std::string_view To) {
  std::vector<size_t> Row(To.size() + 1);
  for (size_t Column = 0; Column <= To.size(); ++Column)
    Row[Column] = Column;
  for (size_t RowIndex = 1; RowIndex <= From.size(); ++RowIndex) {
    size_t Diagonal = Row[0];
    Row[0] = RowIndex;
    for (size_t Column = 1; Column <= To.size(); ++Column) {
      const size_t Above = Row[Column];
      Row[Column] =
          std::min({Above + 1, Row[Column - 1] + 1,
                    Diagonal + (From[RowIndex - 1] != To[Column - 1])});
      Diagonal = Above;
    }
  }
  return Row.back();
}

} // namespace

const KeySchema *ObjectSchema::find(std::string_view Key) const {
  for (const KeySchema &Candidate : Keys)
    if (Candidate.Key == Key)
      return &Candidate;
  return nullptr;
}

void checkSchema(const JsonNode &Value, const ObjectSchema &Schema,
                 bool IsOverlay, SiteErrors &Errors) {
  SchemaCheck(IsOverlay, Errors).checkObject(Value, Schema);
}

void checkRequiredKeys(const JsonNode &Value, const ObjectSchema &Schema,
                       SiteErrors &Errors) {
  if (Value.Type != JsonNode::ValueType::Object)
    return;
  for (const KeySchema &SchemaOfKey : Schema.Keys) {
    const JsonNode *Member = Value.find(SchemaOfKey.Key);
    if (Member == nullptr && SchemaOfKey.Required)
      reportMissingKey(Value, SchemaOfKey.Key, Errors);
    if (Member == nullptr || SchemaOfKey.Kind != ValueKind::NamedObjects)
      continue;
    for (const JsonNode &Item : Member->Items)
      checkRequiredKeys(Item, *SchemaOfKey.ElementSchema, Errors);
  }
}

std::string_view nearestName(std::string_view Word,
                             const std::vector<std::string_view> &Candidates) {
  std::string_view Best;
  size_t BestDistance = std::max<size_t>(2, Word.size() / 3) + 1;
  for (std::string_view Candidate : Candidates) {
    const size_t Distance = editDistance(Word, Candidate);
    if (Distance < BestDistance) {
      Best = Candidate;
      BestDistance = Distance;
    }
  }
  return Best;
}

} // namespace indigopoint
