#include "large_documents.h"

#include <nlohmann/json.hpp>

namespace indigopoint {

namespace {

// \p Head and \p Tail with \p Part between them as often as it fits.
std::string filled(const std::string &Head, const std::string &Part,
                   const std::string &Tail, size_t Size) {
  std::string Out = Head;
  while (Out.size() + Part.size() + Tail.size() <= Size)
    Out += Part;
  return Out + Tail;
}

// MessagePack that states the number of its elements, of one byte each if not
// said otherwise.
std::string packed(char Type, const std::string &Part, size_t Size,
                   const std::string &Before = "") {
  const size_t Count = (Size - Before.size() - 5) / Part.size();
  std::string Out = Before + Type;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out += static_cast<char>(Count >> Shift);
  return filled(Out, Part, "", Out.size() + Count * Part.size());
}

} // namespace

std::vector<LargeDocument> largeDocuments(size_t Size) {
  constexpr char PackedList = '\xdd';
  constexpr char PackedMap = '\xdf';
  constexpr char PackedText = '\xdb';
  constexpr char PackedBytes = '\xc6';
  std::vector<LargeDocument> Out = {
      {"PackedEmptyMaps", packed(PackedList, "\x80", Size)},
      {"PackedEmptyLists", packed(PackedList, "\x90", Size)},
      {"PackedNulls", packed(PackedList, "\xc0", Size)},
      {"PackedMapsOfAnEmptyKey", packed(PackedList, "\x81\xa0\x80", Size)},
      {"PackedShortTexts", packed(PackedList, "\xa1x", Size)},
      {"PackedEqualKeys", packed(PackedMap, "\xa1x\x80", Size)},
      {"PackedText", packed(PackedText, "x", Size)},
      {"PackedBytes", packed(PackedBytes, "x", Size)},
      {"PackedLevels", filled("", "\x91", "", Size)},
      {"TextOfLists", filled("{\"x\":[[]", ",[]", "]}", Size)},
      {"TextOfObjects", filled("{\"x\":[{}", ",{}", "]}", Size)},
      {"TextOfNumbers", filled("{\"x\":[1", ",1", "]}", Size)},
      {"TextOfALongText", filled("{\"x\":\"", "x", "\"}", Size)},
      {"TextOfEscapes", filled("{\"x\":\"", "\\n", "\"}", Size)},
      {"TextOfALongNumber", filled("{\"x\":1", "1", "}", Size)},
      {"TextOfLineFeeds", filled("{", "\n", "}", Size)},
      {"UnfinishedLineFeeds", filled("{", "\n", "", Size)},
      {"UnfinishedText", filled("{\"x\":\"", "x", "", Size)},
      {"UnfinishedLists", filled("{\"x\":", "[", "", Size)},
      {"UnfinishedObjects", filled("", "{\"x\":", "", Size)},
      {"UnfinishedComment", filled("{/*", "\n", "", Size)},
  };
  // The lists that readers look for, with elements that they cannot use.
  for (const std::string List :
       {"Routes", "Services", "items", "events", "instances", "services"}) {
    const std::string Name =
        "\x82\xa1x\x80" + std::string(1, char(0xa0 + List.size())) + List;
    Out.push_back(
        {"PackedListOf_" + List, packed(PackedList, "\x80", Size, Name)});
    Out.push_back({"TextListOf_" + List,
                   filled("{\"" + List + "\":[{}", ",{}", "]}", Size)});
  }
  std::string Keys = "{\"k\":0";
  for (int Number = 0; Keys.size() < Size; ++Number)
    Keys += ",\"" + std::to_string(Number) + "\":{}";
  Out.push_back({"TextOfManyKeys", Keys + "}"});
  return Out;
}

std::string paddedRegistration(size_t Size) {
  nlohmann::json Entry = {{"Service", "chat"}, {"Address", "10.0.0.99:80"},
                          {"Zone", "a"},       {"Version", "v1"},
                          {"Concurrency", 2},  {"State", "ready"},
                          {"ColdLeftMs", 0},   {"Seq", 1},
                          {"born", 1}};
  Entry["Notes"] = std::string(Size, 'x');
  return Entry.dump();
}

} // namespace indigopoint
