#include "platform_client.h"

#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>

#include "document_reader.h"
#include "json_fields.h"

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

// Reads an item of an answer; nothing if it has no key. An item without a
// readable value is malformed to its own decoder, and hides no other one.
std::optional<StoreItem> toItem(const Json &Item) {
  if (!Item.is_object())
    return std::nullopt;
  const auto Key = Item.find("key");
  if (Key == Item.end() || !Key->is_string())
    return std::nullopt;
  StoreItem Out;
  Out.Key = Key->get<std::string>();
  Out.Revision = tryReadNumber(Item, "revision", UINT64_MAX).value_or(0);
  const auto Deleted = Item.find("deleted");
  Out.Deleted = Deleted != Item.end() && *Deleted == true;
  const auto Value = Item.find("value");
  if (!Out.Deleted && Value != Item.end() && Value->is_string())
    Out.Value = Value->get<std::string>();
  return Out;
}

// Reads an instance of the list; nothing if the entry names none.
std::optional<ListedInstance> toInstance(const Json &Item) {
  try {
    ListedInstance Out;
    Out.Name = readName(Item, "name");
    Out.Zone = readName(Item, "zone");
    Out.Leaving = readFlag(Item, "leaving");
    Out.Address = readEndpoint(Item, "address");
    return Out;
  } catch (const std::invalid_argument &) {
    return std::nullopt;
  }
}

} // namespace

StoreResult toStoreResult(const HttpResult &Answer) {
  StoreResult Out;
  if (Answer.IsTooLarge) {
    Out.ResultStatus = StoreResult::Status::TooLarge;
    Out.Problem = "the answer is too large";
    return Out;
  }
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
    const Json Body = readDocument(Answer.Body, DocumentFormat::Json,
                                   {{"items", [&Out](const Json &Entry) {
                                       if (auto Item = toItem(Entry))
                                         Out.Items.push_back(std::move(*Item));
                                     }}});
    Out.Position = {eraOf(Answer), readNumber(Body, "revision", UINT64_MAX)};
    Out.MorePages = readFlag(Body, "more");
    if (!Body.at("items").is_array())
      throw std::invalid_argument("items is no list");
    Out.ResultStatus = StoreResult::Status::Answered;
  } catch (const std::exception &Error) {
    Out = {};
    Out.Problem = Error.what();
  }
  return Out;
}

bool parseInstanceList(const std::string &Text, InstanceListObserved &Out) {
  try {
    const Json Body =
        readDocument(Text, DocumentFormat::Json,
                     {{"instances", [&Out](const Json &Entry) {
                         if (auto Instance = toInstance(Entry))
                           Out.Instances.push_back(std::move(*Instance));
                       }}});
    return Body.at("instances").is_array();
  } catch (const std::exception &) {
    return false;
  }
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
