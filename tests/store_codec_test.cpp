#include "platform/store_codec.h"

#include <random>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace indigopoint::platform {
namespace {

using namespace std::chrono_literals;

// The registration from the platform's specification.
const std::string Registration =
    R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"lim-a",)"
    R"("Version":"v1","Concurrency":2,"State":"ready","ColdLeftMs":0,"Seq":4})";

StoreItem registrationItem(const std::string &Value,
                           const std::string &Key = "servers/i-7f3a91c2") {
  return {Key, Value, 12, 11, false};
}

StoreItem configurationItem(const std::string &Value) {
  return {"op/config", Value, 12, 12, false};
}

HttpResult response(const std::string &Body, int Status = 200) {
  return {Status, Body, {}};
}

// The MessagePack form of a JSON text.
std::string toMessagePack(const std::string &Text) {
  std::string Out;
  nlohmann::json::to_msgpack(nlohmann::json::parse(Text), Out);
  return Out;
}

StoreQuery watch(uint64_t After, Duration Wait) {
  StoreQuery Query;
  Query.QueryKind = StoreQuery::Kind::Watch;
  Query.AfterRevision = After;
  Query.Wait = Wait;
  return Query;
}

TEST(StoreCodecTest, DecodesARegistration) {
  const DecodedItem Result = decodeItem(registrationItem(Registration));
  ASSERT_TRUE(std::holds_alternative<UpstreamRegistration>(Result));
  const auto &Actual = std::get<UpstreamRegistration>(Result);
  EXPECT_EQ(Actual.Id, UpstreamId(0x7f3a91c2));
  EXPECT_EQ(Actual.Service, "huvo11a");
  EXPECT_EQ(toString(Actual.Address), "10.128.0.9:8080");
  EXPECT_EQ(Actual.Zone, "lim-a");
  EXPECT_EQ(Actual.Slots, 2U);
  EXPECT_FALSE(Actual.Draining);
}

TEST(StoreCodecTest, DecodesMessagePack) {
  const auto FromText = std::get<UpstreamRegistration>(
      decodeItem(registrationItem(Registration)));
  const DecodedItem Result =
      decodeItem(registrationItem(toMessagePack(Registration)));
  ASSERT_TRUE(std::holds_alternative<UpstreamRegistration>(Result));
  EXPECT_EQ(std::get<UpstreamRegistration>(Result), FromText);
  const std::string Body =
      R"({"items":[{"Key":"k","Value":"YWJj","Revision":1}],)"
      R"("HasMore":true,"StoreRevision":9})";
  const StoreResult Page = decodeResult({}, response(toMessagePack(Body)));
  ASSERT_EQ(Page.ResultStatus, StoreResult::Status::Answered);
  ASSERT_EQ(Page.Items.size(), 1U);
  EXPECT_EQ(Page.Items[0].Value, "abc");
  EXPECT_TRUE(Page.MorePages);
  EXPECT_EQ(Page.Position.Revision, 9U);
}

// Guards against numbers of another type that a conversion would accept: a
// negative slot count would become a very large one and attract all flows.
TEST(StoreCodecTest, RejectsNumbersOfAnotherType) {
  const auto WithNumbers = [](const std::string &Slots,
                              const std::string &Warmup,
                              const std::string &Start) {
    return R"({"Service":"a","Address":"1.2.3.4:5","Zone":"a",)"
           R"("Version":"v1","Seq":1,"State":"ready","Concurrency":)" +
           Slots + R"(,"ColdLeftMs":)" + Warmup + R"(,"born":)" + Start + "}";
  };
  EXPECT_TRUE(std::holds_alternative<UpstreamRegistration>(
      decodeItem(registrationItem(WithNumbers("2", "0", "1700000000000")))));
  for (const std::string &Value :
       {WithNumbers("-1", "0", "1"), WithNumbers("2.5", "0", "1"),
        WithNumbers("true", "0", "1"), WithNumbers("4000000000", "0", "1"),
        WithNumbers("2", "-1", "1"), WithNumbers("2", "1e12", "1"),
        WithNumbers("2", "0", "true"), WithNumbers("2", "0", "null")})
    for (const std::string &Form : {Value, toMessagePack(Value)}) {
      const DecodedItem Result = decodeItem(registrationItem(Form));
      ASSERT_TRUE(std::holds_alternative<UnreadableItem>(Result)) << Value;
      EXPECT_NE(std::get<UnreadableItem>(Result).Reason.find(" is not a whole"),
                std::string::npos);
    }
}

TEST(StoreCodecTest, DecodesIdsLongerThan32Bits) {
  const DecodedItem Result =
      decodeItem(registrationItem(Registration, "servers/i-9540c481a2"));
  EXPECT_EQ(std::get<UpstreamRegistration>(Result).Id,
            UpstreamId(0x9540c481a2));
}

// An invalid registration must be reported with the id of its upstream, so that
// only this upstream is affected.
TEST(StoreCodecTest, UnreadableRegistrationNamesTheUpstream) {
  for (const std::string &Value :
       {std::string(), std::string("{"), std::string("[]"),
        std::string("\xff\xfe"), std::string(R"({"Service":"a"})"),
        std::string(
            R"({"Service":7,"Address":"1.2.3.4:5","Zone":"a","Version":"v1",)"
            R"("ColdLeftMs":0,"Seq":1,"Concurrency":2,"State":"ready"})"),
        std::string(
            R"({"Service":"a","Address":"x","Zone":"a","Version":"v1",)"
            R"("ColdLeftMs":0,"Seq":1,"Concurrency":2,"State":"ready"})"),
        std::string(
            R"({"Service":"a","Address":"1.2.3.4:5","Zone":"a","Version":"v1",)"
            R"("ColdLeftMs":0,"Seq":1,"Concurrency":2,"State":"asleep"})"),
        std::string(
            R"({"Service":"a","Address":"1.2.3.4:5","Zone":"a","Version":"v1",)"
            R"("ColdLeftMs":0,"Seq":1,"Concurrency":"2","State":"ready"})")}) {
    const DecodedItem Result = decodeItem(registrationItem(Value));
    ASSERT_TRUE(std::holds_alternative<UnreadableItem>(Result)) << Value;
    EXPECT_EQ(std::get<UnreadableItem>(Result).Upstream,
              UpstreamId(0x7f3a91c2));
    EXPECT_FALSE(std::get<UnreadableItem>(Result).Reason.empty());
  }
}

TEST(StoreCodecTest, KeyWithoutAnIdNamesNoUpstream) {
  for (const std::string Key :
       {"servers/", "servers/i-", "servers/i-0", "servers/i-xyz",
        "servers/i-11112222333344445"}) {
    const DecodedItem Result = decodeItem(registrationItem(Registration, Key));
    ASSERT_TRUE(std::holds_alternative<UnreadableItem>(Result)) << Key;
    EXPECT_FALSE(std::get<UnreadableItem>(Result).Upstream);
  }
}

TEST(StoreCodecTest, DeletedRegistrationRemovesTheUpstream) {
  StoreItem Item = registrationItem("");
  Item.Deleted = true;
  const DecodedItem Result = decodeItem(Item);
  EXPECT_EQ(std::get<UpstreamRemoval>(Result).Id, UpstreamId(0x7f3a91c2));
}

TEST(StoreCodecTest, DecodesAConfiguration) {
  const DecodedItem Result = decodeItem(configurationItem(
      R"({"Version":7,"Routes":[{"Name":"a","Host":"198.18.0.1",)"
      R"("Prefix":"/8080/","RouteType":"non_idempotent","Service":"chat"},)"
      R"({"Name":"b","Host":"198.18.0.1","Prefix":"/8443/",)"
      R"("RouteType":"idempotent","Split":[{"Service":"chat","Weight":90},)"
      R"({"Service":"photos","Weight":10}]}],"Services":[],)"
      R"("Limits":{"IdleTimeoutMs":9000}})"));
  ASSERT_TRUE(std::holds_alternative<RouteConfiguration>(Result));
  const auto &Actual = std::get<RouteConfiguration>(Result);
  EXPECT_EQ(Actual.Version, ConfigVersion(7));
  EXPECT_EQ(Actual.IdleTimeout, 9s);
  ASSERT_EQ(Actual.Routes.size(), 2U);
  EXPECT_EQ(toString(Actual.Routes[0].Address), "198.18.0.1:8080");
  EXPECT_FALSE(Actual.Routes[0].Idempotent);
  EXPECT_TRUE(Actual.Routes[1].Idempotent);
  EXPECT_EQ(Actual.Routes[1].Shares,
            (std::vector<RouteShare>{{"chat", 90}, {"photos", 10}}));
}

// A time that cannot be used must not keep the configuration's other changes
// from coming into force.
TEST(StoreCodecTest, ImplausibleTimesLeaveARouteWithoutThem) {
  const auto Route = [](const std::string &Fields) {
    return std::get<RouteConfiguration>(
               decodeItem(configurationItem(
                   R"({"Version":7,"Routes":[{"Name":"a","Host":"1.2.3.4",)"
                   R"("Prefix":"/80/","Service":"chat")" +
                   Fields + "}]}")))
        .Routes.at(0);
  };
  const auto Timed = Route(R"(,"Priority":1,"AimMs":500,"TimeoutMs":2000)");
  EXPECT_EQ(Timed.Aim, 500ms);
  EXPECT_EQ(Timed.TimeLimit, 2s);
  for (const std::string Fields :
       {"", R"(,"Priority":-1,"AimMs":"500","TimeoutMs":true)",
        R"(,"Priority":1.5,"AimMs":1e30,"TimeoutMs":null)"}) {
    const auto Untimed = Route(Fields);
    EXPECT_EQ(Untimed.Aim, 0ms) << Fields;
    EXPECT_EQ(Untimed.TimeLimit, 0ms) << Fields;
  }
}

TEST(StoreCodecTest, DecodesTheWarmupOfServices) {
  const auto Config = std::get<RouteConfiguration>(decodeItem(configurationItem(
      R"({"Version":7,"Routes":[],"Services":[)"
      R"({"Name":"a","ColdStartS":2.5,"ColdPerS":10},{"Name":"b"},)"
      R"({"Name":"c","ColdStartS":-1,"ColdPerS":"10"}]})")));
  EXPECT_EQ(Config.Services.at("a"), (ServiceSettings{2500ms, 10}));
  EXPECT_EQ(Config.Services.at("b"), ServiceSettings());
  EXPECT_EQ(Config.Services.at("c"), ServiceSettings());
}

TEST(StoreCodecTest, RejectsAnInvalidConfigurationAsAWhole) {
  for (const std::string Value :
       {"", "7", R"({"Routes":[]})", R"({"Version":"7","Routes":[]})",
        R"({"Version":7,"Routes":[{"Name":"a"}]})",
        R"({"Version":7,"Routes":[{"Name":"a","Host":"h","Prefix":"/1/",)"
        R"("Service":"x"}]})",
        R"({"Version":7,"Routes":[{"Name":"a","Host":"1.2.3.4",)"
        R"("Prefix":"/99999/","Service":"x"}]})"})
    EXPECT_TRUE(std::holds_alternative<UnreadableItem>(
        decodeItem(configurationItem(Value))))
        << Value;
}

TEST(StoreCodecTest, DecodesAnEvacuationByItsKeyAlone) {
  for (const std::string Value : {"{}", "", "x", R"({"Since":true})"}) {
    const auto Started = std::get<ZoneEvacuation>(
        decodeItem({"op/evacuate/lim-a", Value, 5, 5, false}));
    EXPECT_EQ(Started.Zone, "lim-a");
    EXPECT_FALSE(Started.IsEnded);
  }
  EXPECT_TRUE(std::get<ZoneEvacuation>(
                  decodeItem({"op/evacuate/lim-a", "", 6, 0, true}))
                  .IsEnded);
  EXPECT_TRUE(std::holds_alternative<UnreadableItem>(
      decodeItem({"op/evacuate/", "{}", 5, 5, false})));
}

TEST(StoreCodecTest, IgnoresOtherKeys) {
  EXPECT_TRUE(std::holds_alternative<IgnoredItem>(
      decodeItem({"status/x", "{}", 1, 1, false})));
}

TEST(StoreCodecTest, EncodesQueryTargets) {
  StoreQuery Page;
  Page.AfterKey = "servers/i-1 2";
  EXPECT_EQ(encodeQuery({}).Target, "/kv-range?Prefix=");
  EXPECT_EQ(encodeQuery(Page).Target,
            "/kv-range?Prefix=&after=servers/i-1%202");
  EXPECT_EQ(encodeQuery(watch(411, 3100ms)).Target,
            "/kv-watch?Prefix=&after=411&WaitMs=3100");
  // The store refuses a longer wait.
  EXPECT_EQ(encodeQuery(watch(411, 60s)).Target,
            "/kv-watch?Prefix=&after=411&WaitMs=30000");
}

TEST(StoreCodecTest, DecodesEvents) {
  const StoreResult Actual = decodeResult(
      watch(411, 0s),
      response(R"({"events":[{"Key":"my/leader","Value":"bm9kZS0x",)"
               R"("Revision":412,"CreateRev":410,"Lease":77120},)"
               R"({"Key":"my/old","Revision":413,"Deleted":true}],)"
               R"("StoreRevision":413})"));
  ASSERT_EQ(Actual.ResultStatus, StoreResult::Status::Answered);
  ASSERT_EQ(Actual.Items.size(), 2U);
  EXPECT_EQ(Actual.Items[0].Value, "node-1");
  EXPECT_EQ(Actual.Items[0].CreatedRevision, 410U);
  EXPECT_TRUE(Actual.Items[1].Deleted);
  EXPECT_EQ(Actual.Position.Revision, 413U);
}

// Guards against a restored store that is taken for the same one, or for none.
TEST(StoreCodecTest, ReadsTheEraOfEveryAnswer) {
  HttpResult Response = response(R"({"events":[],"StoreRevision":9})");
  EXPECT_EQ(decodeResult(watch(1, 0s), Response).Position,
            (StorePosition{0, 9}));
  Response.Headers["store-era"] = "3";
  EXPECT_EQ(decodeResult(watch(1, 0s), Response).Position,
            (StorePosition{3, 9}));
  Response.Status = 410;
  const StoreResult Gone = decodeResult(watch(1, 0s), Response);
  EXPECT_EQ(Gone.ResultStatus, StoreResult::Status::HistoryLost);
  EXPECT_EQ(Gone.Position.Era, 3U);
}

// Guards against a damaged header that is read as an older era, or as that of a
// store without eras.
TEST(StoreCodecTest, AnswerWithUnreadableEraIsNotUsed) {
  for (const char *Text : {"", "x", "3x", "-1", "0", "99999999999999999999"}) {
    HttpResult Response = response(R"({"events":[],"StoreRevision":9})");
    Response.Headers["store-era"] = Text;
    const StoreResult Result = decodeResult(watch(1, 0s), Response);
    EXPECT_EQ(Result.ResultStatus, StoreResult::Status::Failed) << Text;
    EXPECT_FALSE(Result.Problem.empty());
  }
}

TEST(StoreCodecTest, DecodesValuesOfAnyLength) {
  const std::vector<std::pair<std::string, std::string>> Pairs = {
      {"", ""},
      {"YQ==", "a"},
      {"YWI=", "ab"},
      {"YWJj", "abc"},
      {"AAD/", std::string("\0\0\xff", 3)}};
  for (const auto &[Text, Value] : Pairs) {
    const StoreResult Actual =
        decodeResult({}, response(R"({"items":[{"Key":"k","Value":")" + Text +
                                  R"(","Revision":1}],"StoreRevision":1})"));
    ASSERT_EQ(Actual.Items.size(), 1U) << Text;
    EXPECT_EQ(Actual.Items[0].Value, Value);
  }
}

TEST(StoreCodecTest, DistinguishesKindsOfFailure) {
  using Status = StoreResult::Status;
  EXPECT_EQ(decodeResult(watch(1, 0s), response("", 410)).ResultStatus,
            Status::HistoryLost);
  EXPECT_EQ(decodeResult(watch(1, 0s), response("", 503)).ResultStatus,
            Status::Refused);
  EXPECT_EQ(decodeResult(watch(1, 0s), response("", 429)).ResultStatus,
            Status::Refused);
  EXPECT_EQ(decodeResult(watch(1, 0s), response("", 0)).ResultStatus,
            Status::Failed);
  for (const std::string Body :
       {"", "{", "[]", "{}", R"({"events":7,"StoreRevision":1})",
        R"({"events":[],"StoreRevision":-1})",
        R"({"events":[],"StoreRevision":1e300})",
        R"({"events":[],"HasMore":7,"StoreRevision":1})"})
    EXPECT_EQ(decodeResult(watch(1, 0s), response(Body)).ResultStatus,
              Status::Failed)
        << Body;
}

// Guards against one odd item of an answer that hides the others, so that the
// list is not followed any more.
TEST(StoreCodecTest, OddItemHidesNoOther) {
  for (const std::string Odd :
       {"1", "null", "[]", "{}", R"({"Key":7,"Value":"YQ==","Revision":1})",
        R"({"Key":"odd","Value":"###","Revision":1})",
        R"({"Key":"odd","Value":"YQ=","Revision":1})",
        R"({"Key":"odd","Value":7,"Revision":1})",
        R"({"Key":"odd","Value":"YQ=="})",
        R"({"Key":"odd","Value":"YQ==","Revision":-1,"CreateRev":1e300})",
        R"({"Key":"odd","Revision":1,"Deleted":"yes"})"}) {
    const StoreResult Found = decodeResult(
        watch(1, 0s), response(R"({"events":[)" + Odd +
                               R"(,{"Key":"k","Value":"YQ==","Revision":3}],)"
                               R"("StoreRevision":4})"));
    ASSERT_EQ(Found.ResultStatus, StoreResult::Status::Answered) << Odd;
    ASSERT_FALSE(Found.Items.empty()) << Odd;
    EXPECT_EQ(Found.Items.back().Key, "k") << Odd;
    EXPECT_EQ(Found.Items.back().Value, "a") << Odd;
    EXPECT_EQ(Found.Items.back().Revision, 3U) << Odd;
  }
}

// Guards against a crash on damaged input. Each mutation of a valid response or
// value must be decoded or rejected.
TEST(StoreCodecTest, HandlesDamagedBytes) {
  const std::string Body =
      R"({"items":[{"Key":"servers/i-1","Value":"YWJj","Revision":1}],)"
      R"("HasMore":false,"StoreRevision":1})";
  const std::vector<std::string> Valid = {
      Body, Registration, toMessagePack(Body), toMessagePack(Registration)};
  std::mt19937 Random(11);
  for (int Round = 0; Round < 10000; ++Round) {
    std::string Damaged = Valid[Random() % Valid.size()];
    for (int Change = 0; Change < 3; ++Change)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    decodeResult({}, response(Damaged));
    decodeItem(registrationItem(Damaged));
    decodeItem(configurationItem(Damaged));
  }
}

} // namespace
} // namespace indigopoint::platform
