#include "platform/command_check_config.h"

#include <filesystem>
#include <fstream>
#include <future>

#include <gtest/gtest.h>
#include <sysexits.h>

#include "base64.h"
#include "example_configuration.h"
#include "golden_file.h"
#include "http_server.h"
#include "loop_test_support.h"

namespace indigopoint::platform {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

class CommandCheckConfigTest : public testing::Test {
protected:
  void SetUp() override {
    Folder = std::filesystem::path(testing::TempDir()) /
             ("check-config-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder);
    write("old.json", exampleConfiguration().dump(1));
  }
  void TearDown() override { std::filesystem::remove_all(Folder); }

  std::string pathOf(const std::string &Name) const {
    return (Folder / Name).string();
  }

  void write(const std::string &Name, const std::string &Text) const {
    std::ofstream(pathOf(Name)) << Text;
  }

  // Returns the exit code and what was printed, without the folder.
  static std::string capture(const std::function<int()> &Run,
                             const std::string &Folder) {
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    const int Code = Run();
    std::string Text = testing::internal::GetCapturedStderr() +
                       testing::internal::GetCapturedStdout() + "exit code " +
                       std::to_string(Code) + "\n";
    for (size_t At = 0; (At = Text.find(Folder)) != std::string::npos;)
      Text.erase(At, Folder.size());
    return Text;
  }

  std::string run(Arguments Args) const {
    Args.insert(Args.begin(), "indigopoint check-config");
    return capture([&] { return runCheckConfig(Args); }, Folder.string() + "/");
  }

  std::filesystem::path Folder;
};

struct GoldenCase {
  std::string Name;
  std::function<void(Json &)> Edit;
  bool IsJson = false;
};

const std::vector<GoldenCase> GoldenCases = {
    {"unchanged", [](Json &) {}},
    {"version in force",
     [](Json &Config) { Config["Routes"][0]["AimMs"] = 200; }},
    {"schema errors",
     [](Json &Config) {
       Config["Version"] = "8";
       Config["Routes"][0]["Host"] = "chat.example";
       Config["Routes"][0].erase("Service");
       Config["Routes"][1]["Split"][0]["Weight"] = -1;
       Config["Routes"][1]["Prefix"] = "8443";
       Config["Routes"][2]["RouteType"] = "read";
       Config["Services"][0]["TLS"] = true;
       Config["Limits"]["IdleTimeoutMs"] = 0;
     }},
    {"no effect and contradictions",
     [](Json &Config) {
       Config["Version"] = 8;
       Config["Routes"][0]["Prefix"] = "/8443/";
       Config["Routes"][0]["AimMs"] = 1501;
       Config["Routes"][0]["Service"] = "chatt";
       Config["Routes"][1]["Service"] = "chat";
       Config["Routes"][1]["Split"][1]["Weight"] = 0;
       Config["Routes"].push_back(Config["Routes"][1]);
       Config["Routes"][3]["Prefix"] = "/9000/";
       Config["Routes"][3]["Split"][0]["Weight"] = 0;
       Config["Services"][0]["ColdPerS"] = 0.5;
       Config["Services"].push_back({{"Name", "spare"}});
       Config["Limits"]["IdleTimeoutMs"] = 1500;
     }},
    {"large change",
     [](Json &Config) {
       Config["Version"] = 9;
       Config["Routes"].erase(0);
       Config["Routes"][0].erase("Split");
       Config["Routes"][0]["Service"] = "photos";
       Config["Routes"].push_back(Config["Routes"][1]);
       Config["Routes"][2]["Host"] = "198.18.0.3";
       Config["Routes"][2]["Name"] = "poster";
       Config["Services"].erase(0);
       Config["Limits"]["MaxBodyBytes"] = 1000;
     }},
    {"as JSON",
     [](Json &Config) {
       Config["Version"] = 8;
       Config["Routes"][2]["AimMs"] = 4001;
       Config["Routes"][1]["Split"][0]["Weight"] = 40;
       Config["Services"].push_back({{"Name", "spare"}});
     },
     true},
};

// Guards against output that changes unnoticed, since scripts read it.
TEST_F(CommandCheckConfigTest, PrintsWhatTheGoldenFileHas) {
  std::string Actual;
  for (const GoldenCase &Case : GoldenCases) {
    Json Config = exampleConfiguration();
    Case.Edit(Config);
    write("new.json", Config.dump(1));
    Arguments Args = {pathOf("new.json"), "--in-force", pathOf("old.json")};
    if (Case.IsJson)
      Args.emplace_back("--json");
    Actual += "== " + Case.Name + "\n" + run(Args);
  }
  EXPECT_EQ(compareWithGolden("check_config", Actual), "");
}

TEST_F(CommandCheckConfigTest, FaultyArgumentsAndFilesHaveTheirExitCodes) {
  write("comment.json", "{} // comment");
  write("broken.json", "{\"Version\":7,\n\"Routes\":[}");
  const struct {
    Arguments Args;
    std::string Part;
    int Code;
  } Cases[] = {
      {{}, "", EX_USAGE},
      {{pathOf("none.json")}, "none.json: found no readable file", EX_NOINPUT},
      {{pathOf("old.json"), "-i", pathOf("none.json")}, "none", EX_NOINPUT},
      {{pathOf("old.json"), "-i", pathOf("broken.json")}, ":2", EX_DATAERR},
      {{pathOf("old.json"), "-i", "127.0.0.1:1"}, "no answer", EX_UNAVAILABLE},
      {{pathOf("comment.json")}, "comment.json:1", EX_CONFIG},
      {{pathOf("broken.json")}, "broken.json:2 /Routes", EX_CONFIG},
      // An unreachable store does not hide the errors of the file.
      {{pathOf("broken.json"), "-i", "127.0.0.1:1"}, ":2 /Routes", EX_CONFIG},
  };
  for (const auto &Case : Cases) {
    const std::string Text = run(Case.Args);
    EXPECT_NE(Text.find(Case.Part), std::string::npos) << Text;
    EXPECT_TRUE(Text.ends_with("exit code " + std::to_string(Case.Code) + "\n"))
        << Text;
  }
}

// Guards against a service that is sent flows before it has upstreams. Draining
// upstreams and those of evacuated zones take none.
TEST_F(CommandCheckConfigTest, ReadsConfigurationAndUpstreamsFromTheStore) {
  EventLoop Loop;
  HttpServer Store(Loop);
  std::string Packed;
  Json::to_msgpack(exampleConfiguration(), Packed);
  const auto RegistrationOf = [](const std::string &Zone,
                                 const std::string &State) {
    return R"({"Service":"photos","Address":"127.0.0.1:9","Version":"v1",)"
           R"("Concurrency":2,"ColdLeftMs":0,"Seq":1,"Zone":")" +
           Zone + R"(","State":")" + State + "\"}";
  };
  std::map<std::string, std::string> Items = {
      {"op/config", Packed},
      {"op/evacuate/b", "{}"},
      {"servers/i-1", RegistrationOf("a", "draining")},
      {"servers/i-2", RegistrationOf("b", "ready")}};
  Store.route(
      "GET", "/kv-range",
      [&](const HttpRequest &Request, const HttpServer::Respond &Respond) {
        Json Body = {
            {"items", Json::array()}, {"HasMore", false}, {"StoreRevision", 9}};
        for (const auto &[Key, Value] : Items)
          if (Key.starts_with(Request.Query.at("Prefix")))
            Body["items"].push_back({{"Key", Key},
                                     {"Value", encodeBase64(Value)},
                                     {"Revision", 1}});
        Respond({200, Body.dump()});
      });
  ASSERT_FALSE(Store.open(AnyPort));
  const auto Run = [&] {
    const Arguments Args = {"indigopoint check-config", pathOf("old.json"),
                            "--in-force", toString(Store.address())};
    return capture(
        [&] {
          auto Code = std::async(std::launch::async, runCheckConfig, Args);
          while (Code.wait_for(0s) != std::future_status::ready)
            runFor(Loop, 5ms);
          return Code.get();
        },
        Folder.string() + "/");
  };
  const std::string Text = Run();
  for (const std::string Part :
       {"\"photos\" without an upstream that takes new flows (routes to it: 2)",
        "\"chat\" without an upstream", "0 added, 0 removed, 0 changed",
        "exit code 1"})
    EXPECT_NE(Text.find(Part), std::string::npos) << Text;
  Items["servers/i-3"] = RegistrationOf("a", "ready");
  EXPECT_EQ(Run().find("\"photos\""), std::string::npos);
  Items["op/config"] = "{";
  EXPECT_NE(Run().find("exit code 65"), std::string::npos);
  Items.erase("op/config");
  EXPECT_NE(Run().find("the store has no configuration"), std::string::npos);
}

} // namespace
} // namespace indigopoint::platform
