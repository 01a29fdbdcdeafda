#include "document_reader.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <optional>

#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace indigopoint {

namespace {

using Json = nlohmann::json;

// Enough for the values of any document of some kilobytes, such as a file of
// settings.
constexpr size_t BaseMemoryBytes = size_t{256} * 1024;

// The parsers and the destructors of values work by recursion.
constexpr size_t MaxDepth = 256;

// What a value takes with the overhead of its allocations: in an array, which
// has twice its size reserved while it grows, in an object, and as a container
// or text of its own.
constexpr size_t ElementBytes = 3 * sizeof(Json);
constexpr size_t MemberBytes = 160;
constexpr size_t HeapValueBytes = 64;

constexpr size_t MaxReasonBytes = 200;

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

// Documents may be read by several threads.
std::atomic<size_t> LargestDocument = 0;
std::atomic<size_t> MostMemory = 0;
std::atomic<uint64_t> RefusedDocuments = 0;

void raise(std::atomic<size_t> &Maximum, size_t Value) {
  size_t Known = Maximum;
  while (Known < Value && !Maximum.compare_exchange_weak(Known, Value))
    continue;
}

// Passes the events of the text parser on in the interface of the library that
// reads MessagePack.
class TextEvents {
public:
  TextEvents(std::string_view Text, rapidjson::InsituStringStream &Stream,
             DocumentHandler &Handler, unsigned &Line)
      : Text(Text), Stream(Stream), Handler(Handler), Line(Line) {}

  // The names are those that the parser calls.
  // NOLINTBEGIN(readability-identifier-naming)
  bool Null() { return countLines() && Handler.null(); }
  bool Bool(bool Value) { return countLines() && Handler.boolean(Value); }
  bool RawNumber(const char *, rapidjson::SizeType Size, bool) {
    countLines();
    // The parser reads a number on a copy of the stream.
    const size_t Begin = Stream.Tell();
    return passNumber(std::string(Text.substr(Begin, Size)));
  }
  // Numbers are passed as text.
  bool Int(int) { return false; }
  bool Uint(unsigned) { return false; }
  bool Int64(int64_t) { return false; }
  bool Uint64(uint64_t) { return false; }
  bool Double(double) { return false; }
  bool String(const char *Begin, rapidjson::SizeType Size, bool) {
    std::string Value = textOf(Begin, Size);
    return Handler.string(Value);
  }
  bool Key(const char *Begin, rapidjson::SizeType Size, bool) {
    std::string Value = textOf(Begin, Size);
    return Handler.key(Value);
  }
  bool StartObject() { return countLines() && Handler.start_object(SIZE_MAX); }
  bool EndObject(rapidjson::SizeType) { return Handler.end_object(); }
  bool StartArray() { return countLines() && Handler.start_array(SIZE_MAX); }
  bool EndArray(rapidjson::SizeType) { return Handler.end_array(); }
  // NOLINTEND(readability-identifier-naming)

  // Sets the line of the position up to which the text has been parsed.
  bool countLines() { return countLines(Stream.Tell()); }
  bool countLines(size_t Position) {
    const size_t End = std::min(Position, Text.size());
    for (; Counted < End; ++Counted)
      Line += Text[Counted] == '\n' ? 1 : 0;
    return true;
  }

private:
  // The parser's own conversion gives wrong values for some numbers beyond the
  // range of double.
  bool passNumber(const std::string &Number) {
    const char *Begin = Number.data();
    const char *End = Begin + Number.size();
    uint64_t Unsigned = 0;
    if (const auto Parsed = std::from_chars(Begin, End, Unsigned);
        Parsed.ptr == End && Parsed.ec == std::errc())
      return Handler.number_unsigned(Unsigned);
    int64_t Signed = 0;
    if (const auto Parsed = std::from_chars(Begin, End, Signed);
        Parsed.ptr == End && Parsed.ec == std::errc())
      return Handler.number_integer(Signed);
    const double Fraction = std::strtod(Begin, nullptr);
    if (!std::isfinite(Fraction))
      throw DocumentError("A number is too large.", Line);
    return Handler.number_float(Fraction, "");
  }

  // The parser accepts the second half of a surrogate pair alone, which gives
  // bytes that are not UTF-8; they begin with 0xED and a byte from 0xA0 on.
  std::string textOf(const char *Begin, size_t Size) {
    countLines();
    std::string Out(Begin, Size);
    for (size_t At = Out.find('\xED'); At != Out.npos;
         At = Out.find('\xED', At + 1))
      if (At + 1 < Out.size() && static_cast<uint8_t>(Out[At + 1]) >= 0xA0)
        throw DocumentError("A text has half a surrogate pair.", Line);
    return Out;
  }

  std::string_view Text;
  rapidjson::InsituStringStream &Stream;
  DocumentHandler &Handler;
  unsigned &Line;
  size_t Counted = 0;
};

// The text parser of nlohmann::json copies what it has read since the last text
// or number into its errors, several times and with eight characters for a line
// feed: 50 MB for a megabyte. This parser reads a text in its place and reports
// an error as a number.
bool scanText(std::string_view Text, bool AllowsComments,
              DocumentHandler &Handler, unsigned &Line) {
  constexpr unsigned Flags = rapidjson::kParseInsituFlag |
                             rapidjson::kParseValidateEncodingFlag |
                             rapidjson::kParseNumbersAsStringsFlag;
  if (Text.starts_with(ByteOrderMark))
    Text.remove_prefix(ByteOrderMark.size());
  std::string Copy(Text);
  rapidjson::InsituStringStream Stream(Copy.data());
  rapidjson::Reader Reader;
  Line = 1;
  TextEvents Events(Text, Stream, Handler, Line);
  rapidjson::ParseResult Result;
  try {
    Result = AllowsComments
                 ? Reader.Parse<Flags | rapidjson::kParseCommentsFlag>(Stream,
                                                                       Events)
                 : Reader.Parse<Flags>(Stream, Events);
  } catch (const DocumentError &Error) {
    throw DocumentError(Error.what(), Line);
  }
  if (Result.Code() == rapidjson::kParseErrorTermination)
    return false;
  // A zero byte ends the text for the parser.
  const bool IsCut = !Result.IsError() && Stream.Tell() < Text.size();
  if (!Result.IsError() && !IsCut)
    return true;
  Events.countLines(IsCut ? Stream.Tell() : Result.Offset());
  throw DocumentError(IsCut ? "The document has a zero byte."
                            : rapidjson::GetParseError_En(Result.Code()),
                      Line);
}

// "[json.exception.parse_error.112] parse error at byte 3: ..."
std::string reasonOf(const std::exception &Error) {
  const std::string Text = Error.what();
  const size_t Start = Text.find("] ");
  return Text.substr(Start == Text.npos ? 0 : Start + 2, MaxReasonBytes);
}

DocumentError tooDeep() {
  return DocumentError("the document has more than " +
                       std::to_string(MaxDepth) + " levels");
}

// Builds the value of a document within a budget.
template <typename Value> class ValueBuilder : public DocumentHandler {
public:
  ValueBuilder(MemoryBudget &Budget, const std::vector<RecordList> &Lists)
      : Budget(Budget), Lists(Lists) {}

  Value take() { return std::move(Root); }

  bool null() override { return add(nullptr, 0); }
  bool boolean(bool Content) override { return add(Content, 0); }
  bool number_integer(number_integer_t Content) override {
    return add(Content, 0);
  }
  bool number_unsigned(number_unsigned_t Content) override {
    return add(Content, 0);
  }
  bool number_float(number_float_t Content, const string_t &) override {
    return add(Content, 0);
  }
  bool string(string_t &Content) override {
    const size_t Cost = HeapValueBytes + Content.capacity();
    return add(std::move(Content), Cost);
  }
  bool binary(binary_t &Content) override {
    const size_t Cost = HeapValueBytes + Content.capacity();
    return add(Value::binary(std::move(Content)), Cost);
  }
  bool key(string_t &Content) override {
    Key = std::move(Content);
    return true;
  }
  bool start_object(size_t) override { return open(Value::object()); }
  bool start_array(size_t) override { return open(Value::array()); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }
  bool parse_error(size_t, const std::string &,
                   const nlohmann::detail::exception &Error) override {
    throw DocumentError(reasonOf(Error));
  }

private:
  // The document and one of its lists are open.
  bool isInList() const { return List != nullptr && Open.size() == 2; }

  bool add(Value Content, size_t Cost) {
    place(std::move(Content), Cost);
    return endElementIfComplete();
  }

  // Returns the value at its place.
  Value &place(Value Content, size_t Cost) {
    Budget.use(Cost);
    if (Open.empty())
      return Root = std::move(Content);
    if (isInList()) {
      UsedBefore = Budget.used() - Cost;
      return Element.emplace(std::move(Content));
    }
    Value &Parent = *Open.back();
    if (Parent.is_array()) {
      Budget.use(ElementBytes);
      Parent.push_back(std::move(Content));
      return Parent.back();
    }
    Budget.use(MemberBytes + Key.capacity());
    return Parent[std::move(Key)] = std::move(Content);
  }

  bool open(Value Container) {
    if (Open.size() == MaxDepth)
      throw tooDeep();
    const RecordList *NewList =
        Open.size() == 1 && Container.is_array() ? findList() : nullptr;
    Open.push_back(&place(std::move(Container), HeapValueBytes));
    if (NewList != nullptr)
      List = NewList;
    return true;
  }

  const RecordList *findList() {
    const auto It =
        std::find_if(Lists.begin(), Lists.end(), [this](const RecordList &L) {
          return L.Name == Key && Root.is_object();
        });
    if (It == Lists.end())
      return nullptr;
    if (Root.contains(Key))
      throw DocumentError("the member " + Key + " stands twice");
    return &*It;
  }

  bool close() {
    Open.pop_back();
    if (Open.size() == 1)
      List = nullptr;
    return endElementIfComplete();
  }

  // Only documents with lists have elements, and these are of the type that
  // the hook takes.
  bool endElementIfComplete() {
    if constexpr (std::is_same_v<Value, Json>) {
      if (isInList() && Element) {
        List->OnElement(*Element);
        Element.reset();
        Budget.release(Budget.used() - UsedBefore);
      }
    }
    return true;
  }

  MemoryBudget &Budget;
  const std::vector<RecordList> &Lists;
  Value Root;
  std::vector<Value *> Open;
  std::string Key;
  /// The list that is being read, if its elements are passed on.
  const RecordList *List = nullptr;
  std::optional<Value> Element;
  size_t UsedBefore = 0;
};

template <typename Value>
Value build(std::string_view Bytes, DocumentFormat Format, size_t BytesPerByte,
            const std::vector<RecordList> &Lists) {
  MemoryBudget Budget(Bytes.size(), BytesPerByte);
  ValueBuilder<Value> Builder(Budget, Lists);
  scanDocument(Bytes, Format, Builder);
  return Builder.take();
}

// Writes the values of a document as text while they are read.
class TextWriter : public DocumentHandler {
public:
  bool null() override { return Writer.Null(); }
  bool boolean(bool Content) override { return Writer.Bool(Content); }
  bool number_integer(number_integer_t Content) override {
    return Writer.Int64(Content);
  }
  bool number_unsigned(number_unsigned_t Content) override {
    return Writer.Uint64(Content);
  }
  bool number_float(number_float_t Content, const string_t &) override {
    return write(Content, rapidjson::kNumberType);
  }
  bool string(string_t &Content) override {
    return write(std::move(Content), rapidjson::kStringType);
  }
  bool binary(binary_t &) override {
    throw DocumentError("the document has bytes that are no text");
  }
  bool key(string_t &Content) override { return string(Content); }
  bool start_object(size_t) override {
    return countLevel() && Writer.StartObject();
  }
  bool start_array(size_t) override {
    return countLevel() && Writer.StartArray();
  }
  bool end_object() override {
    --Depth;
    return Writer.EndObject();
  }
  bool end_array() override {
    --Depth;
    return Writer.EndArray();
  }
  bool parse_error(size_t, const std::string &,
                   const nlohmann::detail::exception &Error) override {
    throw DocumentError(reasonOf(Error));
  }

  std::string text() const { return {Buffer.GetString(), Buffer.GetSize()}; }

private:
  bool countLevel() {
    if (++Depth > MaxDepth)
      throw tooDeep();
    return true;
  }

  bool write(const Json &Value, rapidjson::Type Type) {
    const std::string Text =
        Value.dump(-1, ' ', false, Json::error_handler_t::replace);
    return Writer.RawValue(Text.data(), Text.size(), Type);
  }

  rapidjson::StringBuffer Buffer;
  rapidjson::Writer<rapidjson::StringBuffer> Writer{Buffer};
  size_t Depth = 0;
};

} // namespace

DocumentStatistics documentStatistics() {
  return {LargestDocument, MostMemory, RefusedDocuments};
}

MemoryBudget::MemoryBudget(size_t DocumentBytes, size_t BytesPerByte)
    : Limit(BaseMemoryBytes + DocumentBytes * BytesPerByte) {
  raise(LargestDocument, DocumentBytes);
}

MemoryBudget::~MemoryBudget() { raise(MostMemory, MostUsed); }

void MemoryBudget::use(size_t Bytes) {
  Used += Bytes;
  MostUsed = std::max(MostUsed, Used);
  if (Used > Limit)
    throw DocumentError("the values of the document take more than " +
                        std::to_string(Limit) + " bytes of memory");
}

bool scanDocument(std::string_view Bytes, DocumentFormat Format,
                  DocumentHandler &Handler, unsigned *Line) {
  unsigned OwnLine = 0;
  try {
    return Format == DocumentFormat::MessagePack
               ? Json::sax_parse(Bytes.begin(), Bytes.end(), &Handler,
                                 Json::input_format_t::msgpack)
               : scanText(Bytes, Format == DocumentFormat::JsonWithComments,
                          Handler, Line == nullptr ? OwnLine : *Line);
  } catch (const DocumentError &) {
    ++RefusedDocuments;
    throw;
  }
}

Json readDocument(std::string_view Bytes, DocumentFormat Format,
                  const std::vector<RecordList> &Lists) {
  return build<Json>(Bytes, Format, StreamedBytesPerByte, Lists);
}

Json readWholeDocument(std::string_view Bytes, DocumentFormat Format) {
  return build<Json>(Bytes, Format, WholeBytesPerByte, {});
}

nlohmann::ordered_json readOrderedDocument(std::string_view Bytes,
                                           DocumentFormat Format) {
  return build<nlohmann::ordered_json>(Bytes, Format, WholeBytesPerByte, {});
}

std::string jsonTextOf(std::string_view Bytes, DocumentFormat Format) {
  TextWriter Writer;
  scanDocument(Bytes, Format, Writer);
  return Writer.text();
}

} // namespace indigopoint
