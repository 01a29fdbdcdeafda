// Entries of another writer: valid documents with one field changed.

#include <random>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "json_mutations.h"
#include "platform/store_codec.h"
#include "steady_clock.h"

namespace indigopoint::platform {
namespace {

using namespace std::chrono_literals;

constexpr Duration TimeLimit = 2s;
constexpr UpstreamId Id(0x7f3a91c2);

const Json Registration = Json::parse(
    R"({"Service":"chat","Address":"10.128.0.9:8080","Zone":"lim-a",)"
    R"("Version":"v1","Concurrency":2,"State":"ready","ColdLeftMs":900,)"
    R"("Seq":4,"born":1700000000000})");

const Json Configuration = Json::parse(
    R"({"Version":7,"Routes":[{"Name":"a","Host":"198.18.0.1",)"
    R"("Prefix":"/80/","RouteType":"idempotent","Priority":1,"AimMs":500,)"
    R"("TimeoutMs":2000,"Split":[{"Service":"chat","Weight":9},)"
    R"({"Service":"photos","Weight":1}]}],"Services":[{"Name":"chat",)"
    R"("ColdStartS":2.5,"ColdPerS":10},{"Name":"photos","ColdPerS":3}],)"
    R"("Limits":{"IdleTimeoutMs":9000}})");

DecodedItem decode(const std::string &Key, const std::string &Value) {
  return decodeItem({Key, Value, 12, 11, false});
}

bool isNumber(const Json &Document, const char *Field, uint64_t Min,
              uint64_t Max) {
  return Document.contains(Field) && Document[Field].is_number_unsigned() &&
         Document[Field].get<uint64_t>() >= Min &&
         Document[Field].get<uint64_t>() <= Max;
}

bool isText(const Json &Document, const char *Field) {
  return Document.contains(Field) && Document[Field].is_string() &&
         Document[Field].get_ref<const std::string &>().size() <= 256;
}

// Whether a registration names a usable upstream, judged without the codec.
bool isUsable(const Json &Document) {
  const uint64_t Any = std::numeric_limits<int64_t>::max();
  return isText(Document, "Service") && isText(Document, "Zone") &&
         Document.value("Address", Json()) == "10.128.0.9:8080" &&
         Document.value("State", Json()) == "ready" &&
         isNumber(Document, "Concurrency", 1, 1'000'000) &&
         isNumber(Document, "ColdLeftMs", 0, 86'400'000) &&
         isText(Document, "Version") &&
         isNumber(Document, "Seq", 0, std::numeric_limits<uint64_t>::max()) &&
         (!Document.contains("born") || isNumber(Document, "born", 0, Any));
}

// Guards against an entry of another writer that makes a wrong upstream usable,
// or takes the decision about another one.
TEST(StoreCodecMutationTest, RegistrationIsUsableOrNamesItsOwnUpstream) {
  size_t Usable = 0;
  size_t Unreadable = 0;
  forEachMutation(Registration, [&](const Json &Document, const auto &At) {
    for (const std::string &Value : formsOf(Document)) {
      const DecodedItem Result = decode("servers/i-7f3a91c2", Value);
      if (isUsable(Document)) {
        ++Usable;
        ASSERT_TRUE(std::holds_alternative<UpstreamRegistration>(Result))
            << At.to_string() << " " << Document;
        EXPECT_EQ(std::get<UpstreamRegistration>(Result).Id, Id);
      } else {
        ++Unreadable;
        ASSERT_TRUE(std::holds_alternative<UnreadableItem>(Result))
            << At.to_string() << " " << Document;
        EXPECT_EQ(std::get<UnreadableItem>(Result).Upstream, Id);
      }
    }
  });
  EXPECT_GE(Usable, 30U);
  EXPECT_GT(Unreadable, 250U);
}

// Guards against a service whose entry cannot be read and that keeps an older
// configuration in force.
TEST(StoreCodecMutationTest, ServicesNeverRefuseAConfiguration) {
  const auto Valid =
      std::get<RouteConfiguration>(decode("op/config", Configuration.dump()));
  forEachMutation(Configuration, [&](const Json &Document, const auto &At) {
    const std::string Path = At.to_string();
    for (const std::string &Value : formsOf(Document)) {
      const DecodedItem Result = decode("op/config", Value);
      const auto *Config = std::get_if<RouteConfiguration>(&Result);
      if (Path.starts_with("/Services") || Path.starts_with("/Limits")) {
        ASSERT_NE(Config, nullptr) << Path << " " << Document;
        EXPECT_EQ(Config->Routes, Valid.Routes);
      }
      if (Config == nullptr)
        continue;
      if (Path != "/Services" && !Path.starts_with("/Services/1")) {
        ASSERT_EQ(Config->Services.count("photos"), 1U) << Path;
        EXPECT_EQ(Config->Services.at("photos"), Valid.Services.at("photos"));
      }
      for (const auto &[Name, Service] : Config->Services) {
        EXPECT_TRUE(Service.WarmupRate == 0 ||
                    (Service.WarmupRate >= 1e-3 && Service.WarmupRate <= 1e6));
        EXPECT_GE(Service.WarmupTime, 0s);
        EXPECT_LE(Service.WarmupTime, 24h);
      }
      EXPECT_GE(Config->IdleTimeout, 0s);
      EXPECT_LE(Config->IdleTimeout, 24h);
    }
  });
}

// Guards against a configuration without routes that is taken from a faulty
// one.
TEST(StoreCodecMutationTest, RoutesOfAnotherTypeRefuseAConfiguration) {
  for (const Json &Value : replacements()) {
    if (Value.is_array() && Value.empty())
      continue;
    Json Document = Configuration;
    Document["Routes"] = Value;
    EXPECT_TRUE(std::holds_alternative<UnreadableItem>(
        decode("op/config", Document.dump())))
        << Value;
  }
}

TEST(StoreCodecMutationTest, EvacuationDependsOnItsKeyAlone) {
  const Json Value = {{"Since", 1}, {"By", {{"Name", "x"}}}};
  forEachMutation(Value, [&](const Json &Document, const auto &) {
    for (const std::string &Bytes : formsOf(Document))
      for (size_t Length = 0; Length <= Bytes.size() && Length < 40; ++Length) {
        const DecodedItem Result =
            decode("op/evacuate/lim-a", Bytes.substr(0, Length));
        ASSERT_TRUE(std::holds_alternative<ZoneEvacuation>(Result));
        EXPECT_EQ(std::get<ZoneEvacuation>(Result).Zone, "lim-a");
      }
  });
}

TEST(StoreCodecMutationTest, TruncatedBytesAreUnreadable) {
  for (const std::string &Value : formsOf(Registration))
    for (size_t Length = 0; Length < Value.size(); ++Length) {
      const DecodedItem Result =
          decode("servers/i-7f3a91c2", Value.substr(0, Length));
      ASSERT_TRUE(std::holds_alternative<UnreadableItem>(Result)) << Length;
      EXPECT_EQ(std::get<UnreadableItem>(Result).Upstream, Id);
    }
  const std::string Base64 = "eyJTZXJ2aWNlIjoiY2hhdCJ9Cg==";
  for (size_t Length = 0; Length <= Base64.size(); ++Length) {
    const Json Body = {{"items",
                        {{{"Key", "servers/i-7f3a91c2"},
                          {"Value", Base64.substr(0, Length)},
                          {"Revision", 1}}}},
                       {"StoreRevision", 1}};
    for (const std::string &Bytes : formsOf(Body)) {
      const StoreResult Result = decodeResult({}, {200, Bytes, {}});
      ASSERT_EQ(Result.ResultStatus, StoreResult::Status::Answered) << Length;
      ASSERT_EQ(Result.Items.size(), 1U);
      EXPECT_EQ(Result.Items[0].Value.empty(), Length % 4 != 0 || Length == 0);
      EXPECT_TRUE(
          std::holds_alternative<UnreadableItem>(decodeItem(Result.Items[0])));
    }
  }
}

// Guards against a stack overflow.
TEST(StoreCodecMutationTest, DeeplyNestedValuesAreUnreadable) {
  for (const std::string &Head :
       {std::string("\x91"), std::string("\x81\xa1x"), std::string("[")}) {
    std::string Value = Head == "[" ? R"({"Zone":)" : "";
    while (Value.size() < 400'000)
      Value += Head;
    EXPECT_TRUE(std::holds_alternative<UnreadableItem>(
        decode("servers/i-7f3a91c2", Value)));
    EXPECT_TRUE(
        std::holds_alternative<UnreadableItem>(decode("op/config", Value)));
    EXPECT_EQ(decodeResult({}, {200, Value, {}}).ResultStatus,
              StoreResult::Status::Failed);
  }
}

// Several changes at once, of fields and of bytes.
TEST(StoreCodecMutationTest, RandomChangesNeverThrow) {
  const SteadyClock TimeSource;
  const TimePoint End = TimeSource.now() + TimeLimit;
  std::mt19937 Random(11);
  const std::vector<Json> Values = replacements();
  for (int Round = 0; Round < 20000 && TimeSource.now() < End; ++Round) {
    const bool IsRegistration = Random() % 2 == 0;
    Json Document = IsRegistration ? Registration : Configuration;
    for (int Change = 0; Change < 3; ++Change) {
      const auto Fields = fieldsOf(Document);
      if (Fields.empty())
        break;
      const Json::json_pointer &At = Fields[Random() % Fields.size()];
      if (Random() % 4 == 0)
        removeField(Document, At);
      else
        Document.at(At) = Values[Random() % Values.size()];
    }
    std::string Value = formsOf(Document)[Random() % 2];
    if (Random() % 2 == 0)
      Value[Random() % Value.size()] = static_cast<char>(Random());
    const DecodedItem Result =
        decode(IsRegistration ? "servers/i-7f3a91c2" : "op/config", Value);
    if (const auto *Upstream = std::get_if<UpstreamRegistration>(&Result)) {
      ASSERT_TRUE(IsRegistration);
      EXPECT_EQ(Upstream->Id, Id);
      EXPECT_GE(Upstream->Slots, 1U);
    } else if (const auto *Entry = std::get_if<UnreadableItem>(&Result)) {
      EXPECT_EQ(Entry->Upstream.has_value(), IsRegistration);
    } else {
      ASSERT_TRUE(std::holds_alternative<RouteConfiguration>(Result));
    }
  }
}

} // namespace
} // namespace indigopoint::platform
