#include "platform/command_evacuate.h"

#include <future>
#include <map>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sysexits.h>

#include "base64.h"
#include "http_server.h"
#include "loop_test_support.h"

namespace indigopoint::platform {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

// The command runs in a thread of its own against a store in this one.
class CommandEvacuateTest : public testing::Test {
protected:
  struct Item {
    std::string Value;
    uint64_t Revision = 0;
  };

  void SetUp() override {
    Store.route(
        "GET", "/kv-range",
        [this](const HttpRequest &Request, const HttpServer::Respond &Respond) {
          ++Reads;
          Respond(answerRange(Request));
        });
    Store.route(
        "POST", "/kv-txn",
        [this](const HttpRequest &Request, const HttpServer::Respond &Respond) {
          ++Transactions;
          answerTransaction(Request, Respond);
        });
    ASSERT_FALSE(Store.open(AnyPort));
    put("servers/i-1", registration("chat", "a"));
    put("servers/i-2", registration("chat", "b"));
    put("op/config", "{}");
  }

  static std::string registration(const std::string &Service,
                                  const std::string &Zone,
                                  const std::string &State = "ready") {
    return R"({"Service":")" + Service +
           R"(","Address":"127.0.0.1:9","Zone":")" + Zone +
           R"(","Version":"v1","Concurrency":2,"ColdLeftMs":0,"Seq":1,)"
           R"("State":")" +
           State + "\"}";
  }

  void put(const std::string &Key, const std::string &Value) {
    Items[Key] = {Value, ++Revision};
  }

  // Answers with one item a page.
  HttpResponse answerRange(const HttpRequest &Request) {
    if (Refusal != 0)
      return {Refusal, "{}"};
    const std::string Prefix = Request.Query.at("Prefix");
    const auto After = Request.Query.find("after");
    Json Body = {{"items", Json::array()},
                 {"HasMore", false},
                 {"StoreRevision", Revision}};
    for (const auto &[Key, Entry] : Items) {
      if (!Key.starts_with(Prefix) ||
          (After != Request.Query.end() && Key <= After->second))
        continue;
      if (!Body["items"].empty()) {
        Body["HasMore"] = true;
        break;
      }
      Body["items"].push_back({{"Key", Key},
                               {"Value", encodeBase64(Entry.Value)},
                               {"Revision", Entry.Revision},
                               {"CreateRev", Entry.Revision}});
    }
    return {200, Body.dump()};
  }

  void answerTransaction(const HttpRequest &Request,
                         const HttpServer::Respond &Respond) {
    if (TransactionRefusal != 0) {
      Respond({TransactionRefusal, "{}"});
      return;
    }
    if (BeforeTransaction)
      BeforeTransaction();
    const Json Body = Json::parse(Request.Body);
    for (const Json &Condition : Body.at("ExpectedRev")) {
      const auto It = Items.find(Condition.at("Key").get<std::string>());
      if ((It == Items.end() ? 0 : It->second.Revision) !=
          Condition.at("Revision").get<uint64_t>()) {
        Respond({412, R"({"items":[]})"});
        return;
      }
    }
    const auto Apply = [this, Body] {
      for (const Json &Put : Body.at("Puts")) {
        EXPECT_EQ(Put.at("Value"), "e30=");
        EXPECT_EQ(Put.at("Lease"), 0);
        put(Put.at("Key").get<std::string>(), "{}");
      }
      for (const Json &Key : Body.at("Remove"))
        Items.erase(Key.get<std::string>());
    };
    if (LosesAnswers) {
      // The answer is kept for good, so that the call ends without one.
      Lost.push_back(Respond);
      if (ApplyDelay)
        Later = LoopEvent::after(Loop, *ApplyDelay, Apply);
      return;
    }
    Apply();
    Respond({200, R"({"Revision":)" + std::to_string(Revision) + "}"});
  }

  // Runs the command and keeps what it printed.
  int run(Arguments Args, bool NamesStore = true) {
    Args.insert(Args.begin(), "indigopoint evacuate");
    if (NamesStore)
      Args.insert(Args.end(), {"--store", toString(Store.address())});
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    std::future<int> Code = std::async(std::launch::async, runEvacuate, Args);
    while (Code.wait_for(0s) != std::future_status::ready)
      runFor(Loop, 5ms);
    Output = testing::internal::GetCapturedStdout();
    Errors = testing::internal::GetCapturedStderr();
    return Code.get();
  }

  bool isEvacuated(const std::string &Zone) const {
    return Items.count("op/evacuate/" + Zone) > 0;
  }

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  EventLoop Loop;
  HttpServer Store{Loop};
  std::map<std::string, Item> Items;
  uint64_t Revision = 0;
  size_t Reads = 0;
  size_t Transactions = 0;
  int Refusal = 0;
  int TransactionRefusal = 0;
  std::function<void()> BeforeTransaction;
  bool LosesAnswers = false;
  /// When a transaction without an answer is carried out; never if empty.
  std::optional<Duration> ApplyDelay;
  std::vector<HttpServer::Respond> Lost;
  LoopEvent Later;
  std::string Output;
  std::string Errors;
};

TEST_F(CommandEvacuateTest, StartsListsAndEndsAnEvacuation) {
  EXPECT_EQ(run({}), EX_OK);
  EXPECT_EQ(Output, "no zone is evacuated\n");
  EXPECT_EQ(run({"a"}), EX_OK);
  EXPECT_EQ(Errors, "");
  EXPECT_TRUE(contains(Output, "zone a is evacuated")) << Output;
  EXPECT_TRUE(isEvacuated("a"));
  EXPECT_EQ(run({}), EX_OK);
  EXPECT_EQ(Output, "zone a is evacuated since revision 4; 1 upstreams are "
                    "registered there\n");
  EXPECT_EQ(run({"a", "--cancel"}), EX_OK);
  EXPECT_TRUE(contains(Output, "has ended")) << Output;
  EXPECT_FALSE(isEvacuated("a"));
}

// Guards against a repeat that fails or writes the key anew.
TEST_F(CommandEvacuateTest, RepeatsChangeNothing) {
  EXPECT_EQ(run({"a", "--cancel"}), EX_OK);
  EXPECT_TRUE(contains(Output, "is not evacuated; nothing was changed"));
  EXPECT_EQ(Transactions, 0U);
  run({"a"});
  EXPECT_EQ(run({"a"}), EX_OK);
  EXPECT_TRUE(contains(Output, "evacuated already; nothing was changed"));
  EXPECT_EQ(Transactions, 1U);
}

TEST_F(CommandEvacuateTest, UnknownZoneGivesAWarning) {
  EXPECT_EQ(run({"x"}), EX_OK);
  EXPECT_TRUE(contains(Errors, "no registration names zone x")) << Errors;
  EXPECT_TRUE(isEvacuated("x"));
}

// Guards against an operator who takes the last upstreams of a service away
// without notice. Draining upstreams, those of other evacuated zones and
// unreadable registrations are no replacement.
TEST_F(CommandEvacuateTest, RefusesToTakeTheLastUpstreamsOfAService) {
  put("servers/i-3", registration("photos", "a"));
  put("servers/i-4", registration("photos", "b", "draining"));
  put("servers/i-5", registration("photos", "c"));
  put("servers/i-6", R"({"Service":"photos","Zone":"b"})");
  put("op/evacuate/c", "{}");
  EXPECT_EQ(run({"a"}), EX_NOPERM);
  EXPECT_TRUE(contains(Errors, "ready upstream of: photos;")) << Errors;
  EXPECT_TRUE(contains(Errors, "--force")) << Errors;
  EXPECT_FALSE(isEvacuated("a"));
  EXPECT_EQ(run({"a", "--force"}), EX_OK);
  EXPECT_TRUE(contains(Errors, "warning")) << Errors;
  EXPECT_TRUE(isEvacuated("a"));
}

TEST_F(CommandEvacuateTest, ChangeOfAnotherOperatorIsNotOverwritten) {
  BeforeTransaction = [this] { put("op/evacuate/a", "{}"); };
  EXPECT_EQ(run({"a"}), EX_OK);
  EXPECT_EQ(run({"a", "--cancel"}), EX_CANTCREAT);
  EXPECT_TRUE(contains(Errors, "another operator")) << Errors;
  EXPECT_EQ(Errors.rfind("indigopoint evacuate: ", 0), 0U) << Errors;
  EXPECT_TRUE(isEvacuated("a"));
}

// Guards against a report of failure, or of success, while the opposite is in
// force.
TEST_F(CommandEvacuateTest, LostAnswerIsReportedByWhatIsInForce) {
  LosesAnswers = true;
  ApplyDelay = 2300ms;
  EXPECT_EQ(run({"a"}), EX_OK);
  EXPECT_TRUE(isEvacuated("a"));
  EXPECT_EQ(Transactions, 1U);
  ApplyDelay = std::nullopt;
  EXPECT_EQ(run({"a", "--cancel"}), EX_TEMPFAIL);
  EXPECT_TRUE(contains(Errors, "may come into force later")) << Errors;
}

TEST_F(CommandEvacuateTest, RefusalsOfTheStoreChangeNothing) {
  TransactionRefusal = 503;
  EXPECT_EQ(run({"a"}), EX_UNAVAILABLE);
  EXPECT_TRUE(contains(Errors, "nothing was changed")) << Errors;
  Refusal = 503;
  EXPECT_EQ(run({"a"}), EX_UNAVAILABLE);
  EXPECT_TRUE(contains(Errors, "the store refuses")) << Errors;
}

TEST_F(CommandEvacuateTest, FaultyArgumentsNameTheRemedy) {
  EXPECT_EQ(run({"a"}, false), EX_USAGE);
  EXPECT_EQ(run({"--cancel"}), EX_USAGE);
  EXPECT_EQ(run({""}), EX_USAGE);
  EXPECT_EQ(run({"a\n"}), EX_USAGE);
  EXPECT_EQ(run({"\xff"}), EX_USAGE);
  EXPECT_EQ(run({"a", "--store", "store:80"}, false), EX_USAGE);
  EXPECT_TRUE(contains(Errors, "127.0.0.1:8500")) << Errors;
  EXPECT_EQ(Reads, 0U);
}

} // namespace
} // namespace indigopoint::platform
