#include "platform_client.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace indigopoint {

namespace {

using Json = nlohmann::json;

// The platform answers within milliseconds; a longer time indicates an outage.
constexpr Duration CallTimeout = std::chrono::seconds(2);

uint64_t revisionOf(const HttpResult &Result) {
  uint64_t Revision = 0;
  const auto It = Result.Headers.find("x-revision");
  if (It != Result.Headers.end())
    std::from_chars(It->second.data(), It->second.data() + It->second.size(),
                    Revision);
  return Revision;
}

} // namespace

StoreAnswer toStoreAnswer(StoreCallId Call, const HttpResult &Result) {
  StoreAnswer Answer{Call, StoreStatus::Failed, 0, {}};
  if (Result.Status == 304 || Result.Status == 404) {
    Answer.Status =
        Result.Status == 304 ? StoreStatus::Unchanged : StoreStatus::NotFound;
    Answer.Revision = revisionOf(Result);
    return Answer;
  }
  if (Result.Status != 200)
    return Answer;
  try {
    const Json Body = Json::parse(Result.Body);
    Answer.Value = Body.at("value").get<std::string>();
    Answer.Revision = Body.at("revision").get<uint64_t>();
    Answer.Status = StoreStatus::Found;
  } catch (const Json::exception &) {
    Answer.Value.clear();
  }
  return Answer;
}

bool parseInstanceList(const std::string &Text, InstanceListObserved &Out) {
  try {
    const Json Body = Json::parse(Text);
    for (const Json &Item : Body.at("instances")) {
      ListedInstance Instance;
      Instance.Name = Item.at("name").get<std::string>();
      Instance.Zone = Item.at("zone").get<std::string>();
      Instance.Leaving = Item.value("leaving", false);
      if (!parseEndpoint(Item.at("address").get<std::string>(),
                         Instance.Address))
        return false;
      Out.Instances.push_back(std::move(Instance));
    }
  } catch (const Json::exception &) {
    return false;
  }
  return true;
}

PlatformClient::PlatformClient(EventLoop &Loop, Endpoint Platform)
    : Platform(Platform), Http(Loop) {}

void PlatformClient::call(const StoreCall &Call, AnswerHook OnAnswer) {
  HttpCall Request;
  Request.To = Platform;
  Request.Target = "/v1/kv/" + encodePath(Call.Key);
  Request.Timeout = CallTimeout;
  if (Call.Kind == StoreCallKind::Watch) {
    Request.Target += "?after=" + std::to_string(Call.After) +
                      "&wait_ms=" + std::to_string(millisecondsOf(Call.Wait));
    Request.Timeout += Call.Wait;
  }
  Http.call(Request, [Id = Call.Id, OnAnswer = std::move(OnAnswer)](
                         const HttpResult &Result) {
    OnAnswer(toStoreAnswer(Id, Result));
  });
}

void PlatformClient::listInstances(ListHook OnList) {
  HttpCall Request;
  Request.To = Platform;
  Request.Target = "/v1/instances";
  Request.Timeout = CallTimeout;
  Http.call(Request, [OnList = std::move(OnList)](const HttpResult &Result) {
    InstanceListObserved List;
    if (Result.Status == 200 && parseInstanceList(Result.Body, List))
      OnList(std::move(List));
  });
}

} // namespace indigopoint
