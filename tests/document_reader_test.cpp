#include "document_reader.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

using Json = nlohmann::json;

// Guards against values that differ from those of the parser that the files and
// entries were written for, such as a wrong number in place of a large one.
TEST(DocumentReaderTest, ReadsTextAsTheReferenceParserDoes) {
  for (const std::string Text : {"0",
                                 "-0",
                                 "-1",
                                 "18446744073709551615",
                                 "18446744073709551616",
                                 "-9223372036854775808",
                                 "-9223372036854775809",
                                 "0.1",
                                 "-2.5e-3",
                                 "1e308",
                                 "1.8e308",
                                 "7.109276132394365e314",
                                 "1e-400",
                                 "01",
                                 "+1",
                                 "1.",
                                 "NaN",
                                 "\"\\ud83d\\ude00\"",
                                 "\"\\ud83d\"",
                                 "\"\\ude00\"",
                                 "\"\xff\"",
                                 "\"\t\"",
                                 "\"\\x\"",
                                 "[1,]",
                                 "{\"a\":1,\"a\":2}",
                                 "{\"a\":[{}, null]}",
                                 "[true, false, \"\\u0000\"]",
                                 "{\"a\" 1}",
                                 "",
                                 " ",
                                 "[] []",
                                 "\xEF\xBB\xBF[1]",
                                 "[1] // text"}) {
    const Json Reference = Json::parse(Text, nullptr, false);
    if (!Reference.is_discarded()) {
      EXPECT_EQ(readDocument(Text, DocumentFormat::Json), Reference) << Text;
      continue;
    }
    EXPECT_THROW(readDocument(Text, DocumentFormat::Json), DocumentError)
        << Text;
  }
  EXPECT_EQ(readDocument("/* a */ [1] // b", DocumentFormat::JsonWithComments),
            Json::array({1}));
  EXPECT_THROW(readDocument(std::string("[]\0x", 4), DocumentFormat::Json),
               DocumentError);
}

// Guards against an error that points at the wrong line of a file.
TEST(DocumentReaderTest, ErrorsNameTheLine) {
  for (const auto &[Text, Line] :
       std::vector<std::pair<std::string, unsigned>>{{"{\n\"a\": 1,\n}", 3},
                                                     {"{\n\"a\":\n7e999}", 3},
                                                     {"{\n\"a\": \"\n\"}", 2},
                                                     {"[\n1,\n\"\\ude00\"]", 3},
                                                     {"[\n1.8e308]", 2}})
    try {
      readDocument(Text, DocumentFormat::Json);
      ADD_FAILURE() << Text;
    } catch (const DocumentError &Error) {
      EXPECT_EQ(Error.line(), Line) << Text;
    }
}

// Guards against a list that is read twice or not at all.
TEST(DocumentReaderTest, ElementsOfListsArePassedOn) {
  std::vector<Json> Elements;
  const std::vector<RecordList> Lists = {
      {"list", [&](const Json &Element) { Elements.push_back(Element); }}};
  const Json Rest =
      readDocument(R"({"a":{"list":[1]},"list":[1,[2],{"list":[3]}],"b":2})",
                   DocumentFormat::Json, Lists);
  EXPECT_EQ(Rest, Json::parse(R"({"a":{"list":[1]},"list":[],"b":2})"));
  EXPECT_EQ(Elements, (std::vector<Json>{1, {2}, {{"list", {3}}}}));
  EXPECT_THROW(
      readDocument(R"({"list":[],"list":[]})", DocumentFormat::Json, Lists),
      DocumentError);
}

} // namespace
} // namespace indigopoint
