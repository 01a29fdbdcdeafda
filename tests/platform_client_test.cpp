#include "platform_client.h"

#include <gtest/gtest.h>

#include "health_poller.h"
#include "http_server.h"
#include "loop_test_support.h"

namespace indigopoint {
namespace {

using Status = StoreResult::Status;

StoreResult resultFor(int Code, const std::string &Body) {
  return toStoreResult({Code, Body, {{"x-store-era", "3"}}});
}

TEST(PlatformClient, AnswersBecomeStoreResults) {
  const StoreResult Found =
      resultFor(200, R"({"revision":9,"more":true,"items":[
               {"key":"a","value":"v","revision":4},
               {"key":"b","revision":5,"deleted":true}]})");
  EXPECT_EQ(Found.ResultStatus, Status::Answered);
  EXPECT_EQ(Found.Position, (StorePosition{3, 9}));
  EXPECT_TRUE(Found.MorePages);
  ASSERT_EQ(Found.Items.size(), 2U);
  EXPECT_EQ(Found.Items[0].Key, "a");
  EXPECT_EQ(Found.Items[0].Value, "v");
  EXPECT_EQ(Found.Items[0].Revision, 4U);
  EXPECT_FALSE(Found.Items[0].Deleted);
  EXPECT_TRUE(Found.Items[1].Deleted);
  EXPECT_EQ(resultFor(410, "").ResultStatus, Status::HistoryLost);
  EXPECT_EQ(resultFor(410, "").Position.Era, 3U);
}

// Guards against an error of the store that is treated as missing keys.
TEST(PlatformClient, OtherAnswersAreFailures) {
  for (const int Code : {0, 301, 304, 400, 404, 500, 503})
    EXPECT_EQ(resultFor(Code, "").ResultStatus, Status::Failed);
  for (const std::string Body :
       {"", "{}", "[]", R"({"items":[]})", R"({"revision":4})",
        R"({"revision":"4","items":[]})", R"({"revision":-4,"items":[]})",
        R"({"revision":1e300,"items":[]})", R"({"revision":4,"items":7})",
        R"({"revision":4,"more":1,"items":[]})",
        R"({"revision":4,"items":[])"}) {
    EXPECT_EQ(resultFor(200, Body).ResultStatus, Status::Failed) << Body;
    EXPECT_TRUE(resultFor(200, Body).Items.empty()) << Body;
    EXPECT_NE(resultFor(200, Body).Problem, "") << Body;
  }
}

// Guards against one odd item that hides the others of an answer, so that the
// configuration is not followed any more.
TEST(PlatformClient, OddItemHidesNoOther) {
  for (const std::string Odd :
       {"1", "null", "[]", "{}", R"({"key":7,"value":"v","revision":4})",
        R"({"key":"odd","value":1,"revision":4})",
        R"({"key":"odd","value":"v"})", R"({"key":"odd","revision":4})",
        R"({"key":"odd","value":"v","revision":1e300})",
        R"({"key":"odd","value":"v","revision":-1,"deleted":7})"}) {
    const StoreResult Found =
        resultFor(200, R"({"revision":4,"items":[)" + Odd +
                           R"(,{"key":"b","value":"w","revision":3}]})");
    ASSERT_EQ(Found.ResultStatus, Status::Answered) << Odd;
    ASSERT_FALSE(Found.Items.empty()) << Odd;
    EXPECT_EQ(Found.Items.back().Key, "b") << Odd;
    EXPECT_EQ(Found.Items.back().Value, "w") << Odd;
    EXPECT_EQ(Found.Items.back().Revision, 3U) << Odd;
  }
}

// Guards against one odd entry of the list that hides the other instances.
TEST(PlatformClient, OddInstanceHidesNoOther) {
  for (const std::string Odd :
       {"1", "null", "{}", R"({"name":"x","zone":"z","address":"x"})",
        R"({"name":"x","zone":"z","address":"127.0.0.1:99999"})",
        R"({"name":"x","zone":"z","address":"127.0.0.1:0"})",
        R"({"name":"x","zone":"z","address":"0.0.0.0:5"})",
        R"({"name":"x","zone":7,"address":"127.0.0.1:5"})",
        R"({"name":"x","zone":"z","address":"127.0.0.1:5","leaving":7})",
        R"({"name":"x","zone":"z","address":127})"}) {
    InstanceListObserved List;
    ASSERT_TRUE(parseInstanceList(
        R"({"instances":[)" + Odd +
            R"(,{"name":"a","zone":"z","address":"127.0.0.1:6"}]})",
        List))
        << Odd;
    ASSERT_EQ(List.Instances.size(), 1U) << Odd;
    EXPECT_EQ(List.Instances[0].Name, "a") << Odd;
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
       {"", "{}", "[]", R"({"instances":7})", R"({"instances":[)",
        R"({"instances":[{"name":"a"})"})
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

// Guards against calls that read keys of other programs or start over.
TEST(PlatformClient, RequestsContainPrefixPositionAndWait) {
  EventLoop Loop;
  HttpServer Platform(Loop);
  ASSERT_FALSE(Platform.open(AnyPort));
  HttpRequest ReceivedRequest;
  for (const char *Path : {"/v1/range", "/v1/watch"})
    Platform.route("GET", Path,
                   [&](const HttpRequest &Request, const auto &Respond) {
                     ReceivedRequest = Request;
                     Respond({200, R"({"revision":5,"items":[]})"});
                   });
  PlatformClient Client(Loop, Platform.address(), "a/");
  uint64_t LastCall = 0;
  const auto Call = [&](const StoreQuery &Query) {
    StoreAnswer Answer;
    Client.call({StoreCallId(++LastCall), Query},
                [&](StoreAnswer Reply) { Answer = std::move(Reply); });
    EXPECT_TRUE(
        runUntil(Loop, [&] { return Answer.Call == StoreCallId(LastCall); }));
    EXPECT_EQ(Answer.Result.ResultStatus, Status::Answered);
    EXPECT_EQ(ReceivedRequest.Query.at("prefix"), "a/");
  };
  StoreQuery Query;
  Query.AfterKey = "a/b";
  Query.Timeout = std::chrono::seconds(1);
  Call(Query);
  EXPECT_EQ(ReceivedRequest.Path, "/v1/range");
  EXPECT_EQ(ReceivedRequest.Query.at("after_key"), "a/b");
  Query.QueryKind = StoreQuery::Kind::Watch;
  Query.AfterRevision = 5;
  Query.Wait = std::chrono::seconds(1);
  Call(Query);
  EXPECT_EQ(ReceivedRequest.Path, "/v1/watch");
  EXPECT_EQ(ReceivedRequest.Query.at("after"), "5");
  EXPECT_EQ(ReceivedRequest.Query.at("wait_ms"), "1000");
}

TEST(PlatformClient, CallToUnreachableStoreFails) {
  EventLoop Loop;
  PlatformClient Client(Loop, {0x7f000001, 1}, "a/");
  StoreAnswer Answer;
  Answer.Result.ResultStatus = Status::Answered;
  StoreQuery Query;
  Query.Timeout = std::chrono::seconds(1);
  Client.call({StoreCallId(3), Query},
              [&](StoreAnswer Reply) { Answer = std::move(Reply); });
  EXPECT_TRUE(runUntil(Loop, [&] { return Answer.Call == StoreCallId(3); }));
  EXPECT_EQ(Answer.Result.ResultStatus, Status::Failed);
}

} // namespace
} // namespace indigopoint
