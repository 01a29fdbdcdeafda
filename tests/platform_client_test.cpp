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

TEST(PlatformClient, HttpStatusBecomesStoreStatus) {
  const StoreAnswer FoundAnswer =
      answerFor(200, R"({"value":"v","revision":4})");
  EXPECT_EQ(FoundAnswer.Status, StoreStatus::Found);
  EXPECT_EQ(FoundAnswer.Value, "v");
  EXPECT_EQ(FoundAnswer.Revision, 4U);
  EXPECT_EQ(answerFor(404, "").Status, StoreStatus::NotFound);
  EXPECT_EQ(answerFor(404, "").Revision, 9U);
  EXPECT_EQ(answerFor(304, "").Status, StoreStatus::Unchanged);
}

// Guards against an error of the store that is treated as a missing key.
TEST(PlatformClient, OtherAnswersAreFailures) {
  for (const int Status : {0, 301, 400, 500, 503})
    EXPECT_EQ(answerFor(Status, "").Status, StoreStatus::Failed);
  for (const std::string Body :
       {"", "{}", "[]", R"({"value":1,"revision":4})", R"({"value":"v"})",
        R"({"value":"v","revision":"4"})", R"({"value":"v")"}) {
    EXPECT_EQ(answerFor(200, Body).Status, StoreStatus::Failed) << Body;
    EXPECT_EQ(answerFor(200, Body).Value, "") << Body;
  }
}

TEST(PlatformClient, MalformedListsAreRejected) {
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

TEST(PlatformClient, HealthStatusIsParsed) {
  const auto StatusOf = [](int Status, const std::string &Body) {
    return parseHealthStatus({Status, Body, {}});
  };
  EXPECT_EQ(StatusOf(200, R"({"status":"healthy","load":0.5})"),
            HealthStatus::Healthy);
  EXPECT_EQ(StatusOf(200, R"({"status":"unhealthy"})"),
            HealthStatus::Unhealthy);
  EXPECT_EQ(StatusOf(200, R"({"status":"draining"})"), HealthStatus::Draining);
  for (const std::string Body : {"", "[]", "{}", R"({"status":1})"})
    EXPECT_EQ(StatusOf(200, Body), HealthStatus::NoAnswer) << Body;
  EXPECT_EQ(StatusOf(500, R"({"status":"healthy"})"), HealthStatus::NoAnswer);
}

TEST(PlatformClient, WatchRequestContainsRevisionAndWait) {
  EventLoop Loop;
  HttpServer Platform(Loop);
  ASSERT_FALSE(Platform.open(AnyPort));
  HttpRequest ReceivedRequest;
  Platform.route("GET", "/v1/kv/",
                 [&](const HttpRequest &Request, const auto &Respond) {
                   ReceivedRequest = Request;
                   Respond({304, ""});
                 });
  PlatformClient Client(Loop, Platform.address());
  StoreAnswer Answer;
  Client.call({StoreCallId(3), StoreCallKind::Watch, "indigopoint/change/1", 5,
               std::chrono::seconds(1)},
              [&](StoreAnswer Reply) { Answer = std::move(Reply); });
  EXPECT_TRUE(runUntil(Loop, [&] { return Answer.Call == StoreCallId(3); }));
  EXPECT_EQ(Answer.Status, StoreStatus::Unchanged);
  EXPECT_EQ(ReceivedRequest.Path, "/v1/kv/indigopoint/change/1");
  EXPECT_EQ(ReceivedRequest.Query.at("after"), "5");
  EXPECT_EQ(ReceivedRequest.Query.at("wait_ms"), "1000");
}

TEST(PlatformClient, CallToUnreachableStoreFails) {
  EventLoop Loop;
  PlatformClient Client(Loop, {0x7f000001, 1});
  StoreAnswer Answer{{}, StoreStatus::Found, 0, ""};
  Client.call({StoreCallId(3), StoreCallKind::Get, "k", 0, {}},
              [&](StoreAnswer Reply) { Answer = std::move(Reply); });
  EXPECT_TRUE(runUntil(Loop, [&] { return Answer.Call == StoreCallId(3); }));
  EXPECT_EQ(Answer.Status, StoreStatus::Failed);
}

} // namespace
} // namespace indigopoint
