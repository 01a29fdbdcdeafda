#include "platform_client.h"

#include <gtest/gtest.h>

#include "health_poller.h"
#include "http_server.h"
#include "loop_test_support.h"

namespace indigopoint {
namespace {

StoreAnswer answerFor(int Status, const std::string &Body) {
  return toStoreAnswer(StoreCallId(1), {Status, Body, {{"x-revision", "9"}}});
}

TEST(PlatformClient, StoreAnswersAreToldApart) {
  const StoreAnswer Found = answerFor(200, R"({"value":"v","revision":4})");
  EXPECT_EQ(Found.Status, StoreStatus::Found);
  EXPECT_EQ(Found.Value, "v");
  EXPECT_EQ(Found.Revision, 4U);
  EXPECT_EQ(answerFor(404, "").Status, StoreStatus::NotFound);
  EXPECT_EQ(answerFor(404, "").Revision, 9U);
  EXPECT_EQ(answerFor(304, "").Status, StoreStatus::Unchanged);
}

// A store in trouble must never look like a store without the key.
TEST(PlatformClient, EverythingElseIsAFailure) {
  for (const int Status : {0, 301, 400, 500, 503})
    EXPECT_EQ(answerFor(Status, "").Status, StoreStatus::Failed);
  for (const std::string Body :
       {"", "{}", "[]", R"({"value":1,"revision":4})", R"({"value":"v"})",
        R"({"value":"v","revision":"4"})", R"({"value":"v")"}) {
    EXPECT_EQ(answerFor(200, Body).Status, StoreStatus::Failed) << Body;
    EXPECT_EQ(answerFor(200, Body).Value, "") << Body;
  }
}

TEST(PlatformClient, MalformedListsAreRefused) {
  InstanceListObserved List;
  EXPECT_TRUE(parseInstanceList(
      R"({"instances":[{"name":"a","zone":"z","address":"127.0.0.1:5",
                        "leaving":true}]})",
      List));
  ASSERT_EQ(List.Instances.size(), 1U);
  EXPECT_TRUE(List.Instances[0].Leaving);
  EXPECT_EQ(List.Instances[0].Address.Port, 5);
  for (const std::string Text :
       {"", "{}", R"({"instances":[1]})",
        R"({"instances":[{"name":"a","zone":"z","address":"x"}]})"})
    EXPECT_FALSE(parseInstanceList(Text, List)) << Text;
}

TEST(PlatformClient, HealthAnswersAreToldApart) {
  const auto HintOf = [](int Status, const std::string &Body) {
    return parseHealthStatus({Status, Body, {}});
  };
  EXPECT_EQ(HintOf(200, R"({"status":"healthy","load":0.5})"),
            HealthStatus::Healthy);
  EXPECT_EQ(HintOf(200, R"({"status":"unhealthy"})"), HealthStatus::Unhealthy);
  EXPECT_EQ(HintOf(200, R"({"status":"draining"})"), HealthStatus::Draining);
  for (const std::string Body : {"", "[]", "{}", R"({"status":1})"})
    EXPECT_EQ(HintOf(200, Body), HealthStatus::NoAnswer) << Body;
  EXPECT_EQ(HintOf(500, R"({"status":"healthy"})"), HealthStatus::NoAnswer);
}

TEST(PlatformClient, WatchesNameTheirRevisionAndWait) {
  EventLoop Loop;
  HttpServer Platform(Loop);
  ASSERT_FALSE(Platform.open(AnyPort));
  HttpRequest Got;
  Platform.route("GET", "/v1/kv/",
                 [&](const HttpRequest &Request, const auto &Respond) {
                   Got = Request;
                   Respond({304, ""});
                 });
  PlatformClient Client(Loop, Platform.address());
  StoreAnswer Answer;
  Client.call({StoreCallId(3), StoreCallKind::Watch, "indigopoint/change/1", 5,
               std::chrono::seconds(1)},
              [&](StoreAnswer Given) { Answer = std::move(Given); });
  EXPECT_TRUE(runUntil(Loop, [&] { return Answer.Call == StoreCallId(3); }));
  EXPECT_EQ(Answer.Status, StoreStatus::Unchanged);
  EXPECT_EQ(Got.Path, "/v1/kv/indigopoint/change/1");
  EXPECT_EQ(Got.Query.at("after"), "5");
  EXPECT_EQ(Got.Query.at("wait_ms"), "1000");
}

TEST(PlatformClient, AnUnreachableStoreFails) {
  EventLoop Loop;
  PlatformClient Client(Loop, {0x7f000001, 1});
  StoreAnswer Answer{{}, StoreStatus::Found, 0, ""};
  Client.call({StoreCallId(3), StoreCallKind::Get, "k", 0, {}},
              [&](StoreAnswer Given) { Answer = std::move(Given); });
  EXPECT_TRUE(runUntil(Loop, [&] { return Answer.Call == StoreCallId(3); }));
  EXPECT_EQ(Answer.Status, StoreStatus::Failed);
}

} // namespace
} // namespace indigopoint
