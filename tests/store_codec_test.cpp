#include "platform/store_codec.h"

#include <random>

#include <gtest/gtest.h>

namespace indigopoint::platform {
namespace {

using namespace std::chrono_literals;

// The registration that the platform's page shows, and its base64 text.
const std::string Registration =
    R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"lim-a",)"
    R"("Version":"v1","Concurrency":2,"State":"ready","ColdLeftMs":0,"Seq":4})";

StoreItem registered(const std::string &Value,
                     const std::string &Key = "servers/i-7f3a91c2") {
  return {Key, Value, 12, 11, false};
}

StoreItem configured(const std::string &Value) {
  return {"op/config", Value, 12, 12, false};
}

HttpResult answer(const std::string &Body, int Status = 200) {
  return {Status, Body, {}};
}

StoreQuery watch(uint64_t After, Duration Wait) {
  StoreQuery Query;
  Query.QueryKind = StoreQuery::Kind::Watch;
  Query.AfterRevision = After;
  Query.Wait = Wait;
  return Query;
}

TEST(StoreCodec, ReadsARegistration) {
  const DecodedItem Fact = decodeItem(registered(Registration));
  ASSERT_TRUE(std::holds_alternative<UpstreamRegistration>(Fact));
  const auto &Got = std::get<UpstreamRegistration>(Fact);
  EXPECT_EQ(Got.Id, UpstreamId(0x7f3a91c2));
  EXPECT_EQ(Got.Service, "huvo11a");
  EXPECT_EQ(toString(Got.Address), "10.128.0.9:8080");
  EXPECT_EQ(Got.Zone, "lim-a");
  EXPECT_EQ(Got.Slots, 2U);
  EXPECT_FALSE(Got.Draining);
}

TEST(StoreCodec, IdsMayBeLongerThan32Bits) {
  const DecodedItem Fact =
      decodeItem(registered(Registration, "servers/i-9540c481a2"));
  EXPECT_EQ(std::get<UpstreamRegistration>(Fact).Id, UpstreamId(0x9540c481a2));
}

// An entry of another writer names no upstream to use; the others hold.
TEST(StoreCodec, AnUnreadableRegistrationNamesItsUpstream) {
  for (const std::string &Value :
       {std::string(), std::string("{"), std::string("[]"),
        std::string("\xff\xfe"), std::string(R"({"Service":"a"})"),
        std::string(R"({"Service":7,"Address":"1.2.3.4:5","Zone":"a",)"
                    R"("Concurrency":2,"State":"ready"})"),
        std::string(R"({"Service":"a","Address":"x","Zone":"a",)"
                    R"("Concurrency":2,"State":"ready"})"),
        std::string(R"({"Service":"a","Address":"1.2.3.4:5","Zone":"a",)"
                    R"("Concurrency":2,"State":"asleep"})"),
        std::string(R"({"Service":"a","Address":"1.2.3.4:5","Zone":"a",)"
                    R"("Concurrency":"2","State":"ready"})")}) {
    const DecodedItem Fact = decodeItem(registered(Value));
    ASSERT_TRUE(std::holds_alternative<UnreadableItem>(Fact)) << Value;
    EXPECT_EQ(std::get<UnreadableItem>(Fact).Upstream, UpstreamId(0x7f3a91c2));
    EXPECT_FALSE(std::get<UnreadableItem>(Fact).Reason.empty());
  }
}

TEST(StoreCodec, AKeyWithoutAnIdNamesNoUpstream) {
  for (const std::string Key :
       {"servers/", "servers/i-", "servers/i-0", "servers/i-xyz",
        "servers/i-11112222333344445"}) {
    const DecodedItem Fact = decodeItem(registered(Registration, Key));
    ASSERT_TRUE(std::holds_alternative<UnreadableItem>(Fact)) << Key;
    EXPECT_FALSE(std::get<UnreadableItem>(Fact).Upstream);
  }
}

TEST(StoreCodec, ADeletedRegistrationIsAnUpstreamGone) {
  StoreItem Item = registered("");
  Item.Deleted = true;
  const DecodedItem Fact = decodeItem(Item);
  EXPECT_EQ(std::get<UpstreamRemoval>(Fact).Id, UpstreamId(0x7f3a91c2));
}

TEST(StoreCodec, ReadsAConfiguration) {
  const DecodedItem Fact = decodeItem(configured(
      R"({"Version":7,"Routes":[{"Name":"a","Host":"198.18.0.1",)"
      R"("Prefix":"/8080/","RouteType":"non_idempotent","Service":"chat"},)"
      R"({"Name":"b","Host":"198.18.0.1","Prefix":"/8443/",)"
      R"("RouteType":"idempotent","Split":[{"Service":"chat","Weight":90},)"
      R"({"Service":"photos","Weight":10}]}],"Services":[],)"
      R"("Limits":{"IdleTimeoutMs":9000}})"));
  ASSERT_TRUE(std::holds_alternative<RouteConfiguration>(Fact));
  const auto &Got = std::get<RouteConfiguration>(Fact);
  EXPECT_EQ(Got.Version, ConfigVersion(7));
  EXPECT_EQ(Got.IdleTimeout, 9s);
  ASSERT_EQ(Got.Routes.size(), 2U);
  EXPECT_EQ(toString(Got.Routes[0].Address), "198.18.0.1:8080");
  EXPECT_FALSE(Got.Routes[0].Idempotent);
  EXPECT_TRUE(Got.Routes[1].Idempotent);
  EXPECT_EQ(Got.Routes[1].Shares,
            (std::vector<RouteShare>{{"chat", 90}, {"photos", 10}}));
}

TEST(StoreCodec, AnUnreadableConfigurationIsRefusedWhole) {
  for (const std::string Value :
       {"", "7", R"({"Routes":[]})", R"({"Version":"7","Routes":[]})",
        R"({"Version":7,"Routes":[{"Name":"a"}]})",
        R"({"Version":7,"Routes":[{"Name":"a","Host":"h","Prefix":"/1/",)"
        R"("Service":"x"}]})",
        R"({"Version":7,"Routes":[{"Name":"a","Host":"1.2.3.4",)"
        R"("Prefix":"/99999/","Service":"x"}]})"})
    EXPECT_TRUE(
        std::holds_alternative<UnreadableItem>(decodeItem(configured(Value))))
        << Value;
}

TEST(StoreCodec, OtherKeysAreIgnored) {
  EXPECT_TRUE(std::holds_alternative<IgnoredItem>(
      decodeItem({"status/x", "{}", 1, 1, false})));
}

TEST(StoreCodec, CallsHaveTheirForm) {
  StoreQuery Page;
  Page.AfterKey = "servers/i-1 2";
  EXPECT_EQ(encodeQuery({}).Target, "/kv-range?Prefix=");
  EXPECT_EQ(encodeQuery(Page).Target,
            "/kv-range?Prefix=&after=servers/i-1%202");
  EXPECT_EQ(encodeQuery(watch(411, 3100ms)).Target,
            "/kv-watch?Prefix=&after=411&WaitMs=3100");
}

TEST(StoreCodec, ReadsEvents) {
  const StoreResult Got =
      decodeResult(watch(411, 0s),
                   answer(R"({"events":[{"Key":"my/leader","Value":"bm9kZS0x",)"
                          R"("Revision":412,"CreateRev":410,"Lease":77120},)"
                          R"({"Key":"my/old","Revision":413,"Deleted":true}],)"
                          R"("StoreRevision":413})"));
  ASSERT_EQ(Got.ResultStatus, StoreResult::Status::Answered);
  ASSERT_EQ(Got.Items.size(), 2U);
  EXPECT_EQ(Got.Items[0].Value, "node-1");
  EXPECT_EQ(Got.Items[0].CreatedRevision, 410U);
  EXPECT_TRUE(Got.Items[1].Deleted);
  EXPECT_EQ(Got.Revision, 413U);
}

TEST(StoreCodec, ReadsValuesOfAnyLength) {
  const std::vector<std::pair<std::string, std::string>> Pairs = {
      {"", ""},
      {"YQ==", "a"},
      {"YWI=", "ab"},
      {"YWJj", "abc"},
      {"AAD/", std::string("\0\0\xff", 3)}};
  for (const auto &[Text, Value] : Pairs) {
    const StoreResult Got =
        decodeResult({}, answer(R"({"items":[{"Key":"k","Value":")" + Text +
                                R"(","Revision":1}],"StoreRevision":1})"));
    ASSERT_EQ(Got.Items.size(), 1U) << Text;
    EXPECT_EQ(Got.Items[0].Value, Value);
  }
}

TEST(StoreCodec, TellsKindsOfFailureApart) {
  using Status = StoreResult::Status;
  EXPECT_EQ(decodeResult(watch(1, 0s), answer("", 410)).ResultStatus,
            Status::HistoryLost);
  EXPECT_EQ(decodeResult(watch(1, 0s), answer("", 503)).ResultStatus,
            Status::Refused);
  EXPECT_EQ(decodeResult(watch(1, 0s), answer("", 429)).ResultStatus,
            Status::Refused);
  EXPECT_EQ(decodeResult(watch(1, 0s), answer("", 0)).ResultStatus,
            Status::Failed);
  for (const std::string Body :
       {"", "{", "[]", "{}", R"({"events":7,"StoreRevision":1})",
        R"({"events":[{"Key":"k","Value":"###","Revision":1}],)"
        R"("StoreRevision":1})",
        R"({"events":[{"Key":"k","Value":"YQ=","Revision":1}],)"
        R"("StoreRevision":1})"})
    EXPECT_EQ(decodeResult(watch(1, 0s), answer(Body)).ResultStatus,
              Status::Failed)
        << Body;
}

// Mutations of valid answers and values: each is decoded or refused.
TEST(StoreCodec, DamagedTextDoesNoHarm) {
  const std::string Body =
      R"({"items":[{"Key":"servers/i-1","Value":"YWJj","Revision":1}],)"
      R"("HasMore":false,"StoreRevision":1})";
  std::mt19937 Random(11);
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Damaged = Random() % 2 == 0 ? Body : Registration;
    for (int Change = 0; Change < 3; ++Change)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    decodeResult({}, answer(Damaged));
    decodeItem(registered(Damaged));
    decodeItem(configured(Damaged));
  }
}

} // namespace
} // namespace indigopoint::platform
