#include "json_document.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <nlohmann/json.hpp>

namespace indigopoint {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 6> TypeNames = {
    "null", "boolean", "number", "string", "array", "object"};

struct ReadPosition {
  unsigned Line = 1;
  char LastChar = 0;
};

// Counts the lines that the parser has read. The parser copies its iterators,
// so the position is stored outside the iterator.
class CountingIterator {
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char *;
  using reference = const char &;

  CountingIterator(const char *Current, ReadPosition *Position)
      : Current(Current), Position(Position) {}
  reference operator*() const { return *Current; }
  CountingIterator &operator++() {
    Position->LastChar = *Current;
    if (*Current == '\n')
      ++Position->Line;
    ++Current;
    return *this;
  }
  CountingIterator operator++(int) {
    CountingIterator Previous = *this;
    ++*this;
    return Previous;
  }
  bool operator==(const CountingIterator &Other) const {
    return Current == Other.Current;
  }
  bool operator!=(const CountingIterator &Other) const {
    return Current != Other.Current;
  }

private:
  const char *Current;
  ReadPosition *Position;
};

std::string escapePointer(const std::string &Key) {
  std::string Escaped;
  for (char Character : Key) {
    if (Character == '~')
      Escaped += "~0";
    else if (Character == '/')
      Escaped += "~1";
    else
      Escaped += Character;
  }
  return Escaped;
}

// Builds the tree from parser events. The overrides implement the SAX interface
// of the parser.
class TreeBuilder : public nlohmann::json_sax<Json> {
public:
  TreeBuilder(const std::string &File, const ReadPosition &Position,
              const JsonLimits &Limits, SiteErrors &Errors)
      : File(std::make_shared<std::string>(File)), Position(Position),
        Limits(Limits), Errors(Errors) {}

  JsonNode Root;

  bool null() override { return add({}); }
  bool boolean(bool Value) override {
    JsonNode Node;
    Node.Type = JsonNode::ValueType::Boolean;
    Node.Boolean = Value;
    return add(std::move(Node));
  }
  bool number_integer(number_integer_t Value) override {
    return addNumber(static_cast<double>(Value), Value);
  }
  bool number_unsigned(number_unsigned_t Value) override {
    std::optional<int64_t> Integer;
    if (Value <= INT64_MAX)
      Integer = static_cast<int64_t>(Value);
    return addNumber(static_cast<double>(Value), Integer);
  }
  bool number_float(number_float_t Value, const string_t &) override {
    return addNumber(Value, std::nullopt);
  }
  bool string(string_t &Value) override {
    JsonNode Node;
    Node.Type = JsonNode::ValueType::String;
    Node.String = std::move(Value);
    return add(std::move(Node));
  }
  bool binary(binary_t &) override { return false; }
  bool start_object(std::size_t) override {
    return open(JsonNode::ValueType::Object);
  }
  bool start_array(std::size_t) override {
    return open(JsonNode::ValueType::Array);
  }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }
  bool key(string_t &Value) override;
  bool parse_error(std::size_t, const std::string &Token,
                   const nlohmann::detail::exception &Exception) override;

private:
  bool addNumber(double Value, std::optional<int64_t> Integer);
  JsonNode &addNode(JsonNode Node);
  bool add(JsonNode Node) {
    addNode(std::move(Node));
    return true;
  }
  bool open(JsonNode::ValueType Type);
  bool close();

  std::shared_ptr<const std::string> File;
  const ReadPosition &Position;
  const JsonLimits &Limits;
  SiteErrors &Errors;
  std::vector<JsonNode *> OpenContainers;
  std::string Key;
  unsigned KeyLine = 0;
};

bool TreeBuilder::addNumber(double Value, std::optional<int64_t> Integer) {
  JsonNode Node;
  Node.Type = JsonNode::ValueType::Number;
  Node.Number = Value;
  Node.Integer = Integer;
  JsonNode &NewNode = addNode(std::move(Node));
  // The parser reads one character past a number.
  if (Position.LastChar == '\n')
    --NewNode.Line;
  return true;
}

JsonNode &TreeBuilder::addNode(JsonNode Node) {
  Node.File = File;
  Node.Line = Position.Line;
  if (OpenContainers.empty())
    return Root = std::move(Node);
  JsonNode &Parent = *OpenContainers.back();
  if (Parent.Type == JsonNode::ValueType::Array) {
    Node.Pointer = Parent.Pointer + "/" + std::to_string(Parent.Items.size());
    Node.KeyLine = Node.Line;
    return Parent.Items.emplace_back(std::move(Node));
  }
  Node.Pointer = Parent.Pointer + "/" + escapePointer(Key);
  Node.KeyLine = KeyLine;
  return Parent.Members.emplace_back(Key, std::move(Node)).Value;
}

bool TreeBuilder::open(JsonNode::ValueType Type) {
  JsonNode Node;
  Node.Type = Type;
  JsonNode &NewNode = addNode(std::move(Node));
  OpenContainers.push_back(&NewNode);
  if (OpenContainers.size() <= Limits.MaxDepth)
    return true;
  Errors.push_back(
      NewNode.error(SiteErrorKind::NestedTooDeep,
                    "more than " + std::to_string(Limits.MaxDepth) + " levels",
                    "nest at most " + std::to_string(Limits.MaxDepth) +
                        " objects and arrays"));
  return false;
}

bool TreeBuilder::close() {
  // Large files have many small objects, whose spare room adds up.
  OpenContainers.back()->Items.shrink_to_fit();
  OpenContainers.back()->Members.shrink_to_fit();
  OpenContainers.pop_back();
  return true;
}

bool TreeBuilder::key(string_t &Value) {
  Key = Value;
  KeyLine = Position.Line;
  const JsonNode *FirstNode = OpenContainers.back()->find(Value);
  if (FirstNode == nullptr)
    return true;
  Errors.push_back(
      {SiteErrorKind::DuplicateKey, *File, KeyLine, FirstNode->Pointer,
       "the key \"" + Value + "\" twice",
       "remove it here or in line " + std::to_string(FirstNode->KeyLine)});
  return false;
}

bool TreeBuilder::parse_error(std::size_t, const std::string &Token,
                              const nlohmann::detail::exception &Exception) {
  // "[json.exception.parse_error.101] parse error at line ...: syntax error
  // while parsing value - unexpected ..."
  std::string Reason = Exception.what();
  const size_t Detail = Reason.find(" - ");
  if (Detail != std::string::npos)
    Reason.erase(0, Detail + 3);
  const unsigned Line = Position.LastChar == '\n' && Position.Line > 1
                            ? Position.Line - 1
                            : Position.Line;
  const std::string Pointer =
      OpenContainers.empty() ? "" : OpenContainers.back()->Pointer;
  Errors.push_back(
      {SiteErrorKind::Syntax, *File, Line, Pointer,
       Token.empty() ? Reason : "\"" + Token + "\" (" + Reason + ")",
       "correct the JSON before this position"});
  return false;
}

} // namespace

const JsonNode *JsonNode::find(std::string_view Key) const {
  for (const auto &[Name, Value] : Members)
    if (Name == Key)
      return &Value;
  return nullptr;
}

JsonNode *JsonNode::find(std::string_view Key) {
  return const_cast<JsonNode *>(std::as_const(*this).find(Key));
}

std::string JsonNode::brief() const {
  switch (Type) {
  case ValueType::Boolean:
    return Boolean ? "true" : "false";
  case ValueType::Number:
    return Integer ? std::to_string(*Integer) : Json(Number).dump();
  case ValueType::String:
    return Json(String.size() > 60 ? String.substr(0, 57) + "..." : String)
        .dump(-1, ' ', false, Json::error_handler_t::replace);
  default:
    return std::string(nameOf(Type));
  }
}

SiteError JsonNode::error(SiteErrorKind ErrorKind, std::string Actual,
                          std::string Remedy) const {
  return {ErrorKind, File ? *File : "", Line,
          Pointer,   std::move(Actual), std::move(Remedy)};
}

std::string_view nameOf(JsonNode::ValueType Type) {
  return TypeNames[static_cast<size_t>(Type)];
}

bool hasSameValue(const JsonNode &A, const JsonNode &B) {
  if (A.Type != B.Type || A.Boolean != B.Boolean || A.Number != B.Number ||
      A.Integer != B.Integer || A.String != B.String ||
      A.Members.size() != B.Members.size())
    return false;
  for (const auto &[Key, Value] : A.Members) {
    const JsonNode *Other = B.find(Key);
    if (Other == nullptr || !hasSameValue(Value, *Other))
      return false;
  }
  return std::equal(A.Items.begin(), A.Items.end(), B.Items.begin(),
                    B.Items.end(), hasSameValue);
}

std::string compactText(const JsonNode &Value) {
  const auto Quoted = [](const std::string &Text) {
    return Json(Text).dump(-1, ' ', false, Json::error_handler_t::replace);
  };
  std::string Out;
  switch (Value.Type) {
  case JsonNode::ValueType::String:
    return Quoted(Value.String);
  case JsonNode::ValueType::Array:
    for (const JsonNode &Item : Value.Items)
      Out += (Out.empty() ? "" : ",") + compactText(Item);
    return "[" + Out + "]";
  case JsonNode::ValueType::Object:
    for (const auto &[Key, Member] : Value.Members)
      Out += (Out.empty() ? "" : ",") + Quoted(Key) + ":" + compactText(Member);
    return "{" + Out + "}";
  default:
    return Value.brief();
  }
}

std::optional<JsonNode> parseJson(const std::string &File,
                                  const std::string &Text, SiteErrors &Errors,
                                  const JsonLimits &Limits) {
  if (Text.size() > Limits.MaxBytes) {
    Errors.push_back(
        {SiteErrorKind::FileTooLarge, File, 0, "",
         std::to_string(Text.size()) + " bytes",
         "keep the file within " + std::to_string(Limits.MaxBytes) + " bytes"});
    return std::nullopt;
  }
  ReadPosition Position;
  TreeBuilder Builder(File, Position, Limits, Errors);
  const CountingIterator Begin(Text.data(), &Position);
  const CountingIterator End(Text.data() + Text.size(), &Position);
  if (!Json::sax_parse(Begin, End, &Builder, Json::input_format_t::json, true,
                       Limits.AllowsComments))
    return std::nullopt;
  return std::move(Builder.Root);
}

} // namespace indigopoint
