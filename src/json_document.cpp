#include "json_document.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <numeric>

#include "document_reader.h"

namespace indigopoint {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 6> TypeNames = {
    "null", "boolean", "number", "string", "array", "object"};

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
class TreeBuilder : public DocumentHandler {
public:
  TreeBuilder(const std::string &File, size_t TextBytes,
              const JsonLimits &Limits, SiteErrors &Errors)
      : File(std::make_shared<std::string>(File)), Limits(Limits),
        Errors(Errors), Budget(TextBytes, WholeBytesPerByte) {}

  JsonNode Root;
  /// The line of the current value.
  unsigned Line = 1;

  void addSyntaxError(const DocumentError &Error);

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
  // Text is no MessagePack, whose errors are reported here.
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  bool addNumber(double Value, std::optional<int64_t> Integer);
  JsonNode &addNode(JsonNode Node);
  bool add(JsonNode Node) {
    addNode(std::move(Node));
    return true;
  }
  bool open(JsonNode::ValueType Type);
  bool close();
  bool hasUniqueKeys(const std::vector<JsonMember> &Members);

  // Makes room for one more value, whose texts take \p TextBytes.
  template <typename Values> void reserveNext(Values &List, size_t TextBytes) {
    Budget.use(TextBytes);
    if (List.size() == List.capacity())
      resize(List, List.size() + List.size() / 2 + 1);
  }

  // The old values and the new ones exist at the same time.
  template <typename Values> void resize(Values &List, size_t Capacity) {
    using Value = typename Values::value_type;
    const size_t OldBytes = List.capacity() * sizeof(Value);
    Budget.use(Capacity * sizeof(Value));
    Values Resized;
    Resized.reserve(Capacity);
    std::move(List.begin(), List.end(), std::back_inserter(Resized));
    List = std::move(Resized);
    Budget.release(OldBytes);
  }

  std::shared_ptr<const std::string> File;
  const JsonLimits &Limits;
  SiteErrors &Errors;
  MemoryBudget Budget;
  std::vector<JsonNode *> OpenContainers;
  std::string Key;
  unsigned KeyLine = 0;
};

bool TreeBuilder::addNumber(double Value, std::optional<int64_t> Integer) {
  JsonNode Node;
  Node.Type = JsonNode::ValueType::Number;
  Node.Number = Value;
  Node.Integer = Integer;
  return add(std::move(Node));
}

JsonNode &TreeBuilder::addNode(JsonNode Node) {
  Node.File = File;
  Node.Line = Line;
  if (OpenContainers.empty())
    return Root = std::move(Node);
  JsonNode &Parent = *OpenContainers.back();
  if (Parent.Type == JsonNode::ValueType::Array) {
    Node.Pointer = Parent.Pointer + "/" + std::to_string(Parent.Items.size());
    Node.KeyLine = Node.Line;
    reserveNext(Parent.Items, Node.Pointer.capacity() + Node.String.capacity());
    return Parent.Items.emplace_back(std::move(Node));
  }
  Node.Pointer = Parent.Pointer + "/" + escapePointer(Key);
  Node.KeyLine = KeyLine;
  reserveNext(Parent.Members, Key.capacity() + Node.Pointer.capacity() +
                                  Node.String.capacity());
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
  if (!hasUniqueKeys(OpenContainers.back()->Members))
    return false;
  // Large files have many small objects, whose spare room adds up.
  resize(OpenContainers.back()->Items, OpenContainers.back()->Items.size());
  resize(OpenContainers.back()->Members, OpenContainers.back()->Members.size());
  OpenContainers.pop_back();
  return true;
}

bool TreeBuilder::key(string_t &Value) {
  Key = std::move(Value);
  KeyLine = Line;
  return true;
}

// Compares neighbours in the order of their keys: an object may have very many.
bool TreeBuilder::hasUniqueKeys(const std::vector<JsonMember> &Members) {
  Budget.use(Members.size() * sizeof(size_t));
  std::vector<size_t> Sorted(Members.size());
  std::iota(Sorted.begin(), Sorted.end(), 0);
  std::sort(Sorted.begin(), Sorted.end(), [&Members](size_t A, size_t B) {
    return std::pair(std::string_view(Members[A].Key), A) <
           std::pair(std::string_view(Members[B].Key), B);
  });
  const auto First = std::adjacent_find(
      Sorted.begin(), Sorted.end(), [&Members](size_t A, size_t B) {
        return Members[A].Key == Members[B].Key;
      });
  Budget.release(Members.size() * sizeof(size_t));
  if (First == Sorted.end())
    return true;
  const auto &[Name, FirstNode] = Members[*First];
  Errors.push_back(
      {SiteErrorKind::DuplicateKey, *File,
       Members[*std::next(First)].Value.KeyLine, FirstNode.Pointer,
       "the key \"" + Name + "\" twice",
       "remove it here or in line " + std::to_string(FirstNode.KeyLine)});
  return false;
}

void TreeBuilder::addSyntaxError(const DocumentError &Error) {
  Errors.push_back(
      {SiteErrorKind::Syntax, *File, Error.line() == 0 ? Line : Error.line(),
       OpenContainers.empty() ? "" : OpenContainers.back()->Pointer,
       Error.what(), "correct the JSON before this position"});
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
  TreeBuilder Builder(File, Text.size(), Limits, Errors);
  try {
    if (!scanDocument(Text,
                      Limits.AllowsComments ? DocumentFormat::JsonWithComments
                                            : DocumentFormat::Json,
                      Builder, &Builder.Line))
      return std::nullopt;
  } catch (const DocumentError &Error) {
    Builder.addSyntaxError(Error);
    return std::nullopt;
  }
  return std::move(Builder.Root);
}

} // namespace indigopoint
