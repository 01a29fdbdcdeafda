#include "platform_client.h"

#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

namespace indigopoint {

namespace {

using Json = nlohmann::json;

// The platform answers within milliseconds; a longer time indicates an outage.
constexpr Duration CallTimeout = std::chrono::seconds(2);

// Rises each time the store returns from an older copy.
constexpr const char *EraHeader = "x-store-era";

uint64_t eraOf(const HttpResult &Answer) {
  uint64_t Era = 0;
  const auto It = Answer.Headers.find(EraHeader);
  if (It != Answer.Headers.end())
    std::from_chars(It->second.data(), It->second.data() + It->second.size(),
                    Era);
  return Era;
}

StoreItem toItem(const Json &Item) {
  StoreItem Out;
  Out.Key = Item.at("key").get<std::string>();
  Out.Revision = Item.at("revision").get<uint64_t>();
  Out.Deleted = Item.value("deleted", false);
  if (!Out.Deleted)
    Out.Value = Item.at("value").get<std::string>();
  return Out;
}

} // namespace

StoreResult toStoreResult(const HttpResult &Answer) {
  StoreResult Out;
  if (Answer.Status == 410) {
    Out.ResultStatus = StoreResult::Status::HistoryLost;
    Out.Position.Era = eraOf(Answer);
    return Out;
  }
  if (Answer.Status != 200) {
    Out.Problem = Answer.Status == 0
                      ? "no answer in time"
                      : "status " + std::to_string(Answer.Status);
    return Out;
  }
  try {
    const Json Body = Json::parse(Answer.Body);
    for (const Json &Item : Body.at("items"))
      Out.Items.push_back(toItem(Item));
    Out.MorePages = Body.value("more", false);
    Out.Position = {eraOf(Answer), Body.at("revision").get<uint64_t>()};
    Out.ResultStatus = StoreResult::Status::Answered;
  } catch (const Json::exception &Error) {
    Out = {};
    Out.Problem = Error.what();
  }
  return Out;
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

PlatformClient::PlatformClient(EventLoop &Loop, Endpoint Platform,
                               std::string StorePrefix)
    : Platform(Platform), StorePrefix(std::move(StorePrefix)), Http(Loop) {}

void PlatformClient::call(const StoreCall &Call, AnswerHook OnAnswer) {
  const StoreQuery &Query = Call.Query;
  const std::string Prefix = "?prefix=" + encodePath(StorePrefix);
  HttpCall Request;
  Request.To = Platform;
  Request.Target =
      Query.QueryKind == StoreQuery::Kind::Snapshot
          ? "/v1/range" + Prefix + "&after_key=" + encodePath(Query.AfterKey)
          : "/v1/watch" + Prefix +
                "&after=" + std::to_string(Query.AfterRevision) +
                "&wait_ms=" + std::to_string(millisecondsOf(Query.Wait));
  Request.Timeout = Query.Timeout;
  Request.IdleTimeout = Query.IdleTimeout;
  Http.call(Request, [Id = Call.Id, OnAnswer = std::move(OnAnswer)](
                         const HttpResult &Answer) {
    OnAnswer({Id, toStoreResult(Answer)});
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
