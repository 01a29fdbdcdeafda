#pragma once

#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace indigopoint {

// Every document that another program wrote is read here. The memory that this
// takes is bounded by the size of the document, whatever the document holds: a
// byte of MessagePack or two of JSON text can state a value, and a value takes
// up to 180 bytes as an object.

enum class DocumentFormat : uint8_t { Json, JsonWithComments, MessagePack };

/// A document that is malformed, or whose values would take too much memory.
class DocumentError : public std::runtime_error {
public:
  explicit DocumentError(const std::string &Reason, unsigned Line = 0)
      : std::runtime_error(Reason), Line(Line) {}

  /// The line of JSON text, counted from 1; 0 in MessagePack.
  unsigned line() const { return Line; }

private:
  unsigned Line;
};

/// How many bytes of memory the values of a document may take for each of its
/// bytes: if only single elements of its lists are kept, and if it is kept as a
/// whole. Objects with short names and values take 8 to 18 times their text.
constexpr size_t StreamedBytesPerByte = 4;
constexpr size_t WholeBytesPerByte = 24;

/// What this process has read since its start.
struct DocumentStatistics {
  /// The size of the largest document and the most memory that the values of a
  /// document took, in bytes.
  size_t LargestDocument = 0;
  size_t MostMemory = 0;
  /// Documents that were malformed or whose values would have taken too much
  /// memory.
  uint64_t Refused = 0;
};

DocumentStatistics documentStatistics();

/// The memory that the values of one document may take.
class MemoryBudget {
public:
  /// \p BytesPerByte is how many bytes the values may take for each byte of the
  /// document, beside a small base.
  MemoryBudget(size_t DocumentBytes, size_t BytesPerByte);
  ~MemoryBudget();
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  /// Throws a DocumentError if the budget is exceeded.
  void use(size_t Bytes);
  void release(size_t Bytes) { Used -= Bytes; }
  size_t used() const { return Used; }

private:
  size_t Limit;
  size_t Used = 0;
  size_t MostUsed = 0;
};

/// Receives the values of a document in their order. A function that returns
/// false ends the reading.
using DocumentHandler = nlohmann::json_sax<nlohmann::json>;

/// Passes the values of \p Bytes to \p Handler, which has to limit the depth;
/// the call stack grows with it. Sets \p Line to the line of the current value
/// if the document is text. Returns false if the handler ended the reading.
/// Throws a DocumentError if the document is malformed.
bool scanDocument(std::string_view Bytes, DocumentFormat Format,
                  DocumentHandler &Handler, unsigned *Line = nullptr);

/// A list of the document whose elements are passed on one by one and not kept.
struct RecordList {
  /// The member of the document that holds the list.
  std::string Name;
  std::function<void(nlohmann::json &Element)> OnElement;
};

/// Reads a document without keeping the elements of \p Lists, so that a long
/// list takes no more memory than its longest element. The document that is
/// returned has empty arrays in their place. What \p OnElement throws is passed
/// on. Throws a DocumentError.
nlohmann::json readDocument(std::string_view Bytes, DocumentFormat Format,
                            const std::vector<RecordList> &Lists = {});

/// Reads a document and keeps all of it, for readers that need its objects as
/// they are. Throws a DocumentError.
nlohmann::json readWholeDocument(std::string_view Bytes, DocumentFormat Format);

/// The same, with the members of objects in the order of the document.
nlohmann::ordered_json readOrderedDocument(std::string_view Bytes,
                                           DocumentFormat Format);

/// The document as JSON text in one line. Bytes that are not UTF-8 are
/// replaced. Throws a DocumentError.
std::string jsonTextOf(std::string_view Bytes, DocumentFormat Format);

} // namespace indigopoint
