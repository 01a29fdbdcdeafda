#include "json_document.h"

#include <gtest/gtest.h>

namespace indigopoint {
namespace {

JsonNode parseValid(const std::string &Text) {
  SiteErrors Errors;
  std::optional<JsonNode> Root = parseJson("f.json", Text, Errors);
  EXPECT_TRUE(Errors.empty()) << Errors[0].message();
  return Root ? *Root : JsonNode();
}

SiteError firstError(const std::string &Text, const JsonLimits &Limits = {}) {
  SiteErrors Errors;
  EXPECT_FALSE(parseJson("f.json", Text, Errors, Limits));
  return Errors.empty() ? SiteError() : Errors[0];
}

// Guards against lines that are off by one, in particular after numbers, where
// the parser reads ahead.
TEST(JsonDocumentTest, ValuesHaveLineAndPointer) {
  const JsonNode Root =
      parseValid("// comment\n{\n\"a\": 1\n,\"b\":\n[2,\n3 ],\n"
                 "/* two\nlines */ \"c/d\": {\"e\": \"x\"}\n}");
  EXPECT_EQ(Root.Line, 2U);
  EXPECT_EQ(Root.find("a")->Line, 3U);
  EXPECT_EQ(Root.find("b")->KeyLine, 4U);
  EXPECT_EQ(Root.find("b")->Line, 5U);
  EXPECT_EQ(Root.find("b")->Items[0].Line, 5U);
  EXPECT_EQ(Root.find("b")->Items[1].Line, 6U);
  EXPECT_EQ(Root.find("b")->Items[1].Pointer, "/b/1");
  EXPECT_EQ(Root.find("c/d")->find("e")->Line, 8U);
  EXPECT_EQ(Root.find("c/d")->find("e")->Pointer, "/c~1d/e");
}

// Guards against a later value that silently replaces an earlier one.
TEST(JsonDocumentTest, DuplicateKeyErrorGivesBothLines) {
  const SiteError Error = firstError("{\"a\": 1,\n\"b\": 2,\n\"a\": 3}");
  EXPECT_EQ(Error.Kind, SiteErrorKind::DuplicateKey);
  EXPECT_EQ(Error.Line, 3U);
  EXPECT_NE(Error.message().find("line 1"), std::string::npos);
}

TEST(JsonDocumentTest, SyntaxErrorGivesTheLine) {
  const SiteError Error = firstError("{\n\"a\": 1\n\"b\": 2}");
  EXPECT_EQ(Error.Kind, SiteErrorKind::Syntax);
  EXPECT_EQ(Error.Line, 3U);
}

// Guards against deep nesting that exhausts the stack of recursive checks.
TEST(JsonDocumentTest, NestingErrorGivesTheLimit) {
  const SiteError Error = firstError(std::string(100000, '['));
  EXPECT_EQ(Error.Kind, SiteErrorKind::NestedTooDeep);
  EXPECT_NE(Error.message().find("16"), std::string::npos);
}

TEST(JsonDocumentTest, SizeErrorGivesTheLimit) {
  const SiteError Error = firstError("[1,2,3]", {4, 16});
  EXPECT_EQ(Error.Kind, SiteErrorKind::FileTooLarge);
  EXPECT_NE(Error.message().find("found 7 bytes; keep the file within 4 bytes"),
            std::string::npos);
}

} // namespace
} // namespace indigopoint
