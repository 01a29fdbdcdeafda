#include "store_client.h"

#include <utility>

#include "document_reader.h"
#include "event_loop.h"
#include "http_client.h"

namespace indigopoint {

namespace {

// The store answers within milliseconds; a value of 1 MB takes a little longer.
constexpr std::chrono::seconds CallTimeout(5);

StoreReply::Status statusOf(int Code) {
  switch (Code) {
  case 200:
    return StoreReply::Status::Done;
  case 404:
    return StoreReply::Status::Absent;
  case 409:
    return StoreReply::Status::Conflict;
  case 413:
    return StoreReply::Status::TooLarge;
  default:
    return StoreReply::Status::NoAnswer;
  }
}

StoreReply toReply(int Code, const std::string &Body) {
  StoreReply Reply;
  Reply.Result = statusOf(Code);
  if (Reply.Result == StoreReply::Status::NoAnswer)
    Reply.Detail =
        Code == 0 ? "no answer in time" : "status " + std::to_string(Code);
  if (Reply.Result != StoreReply::Status::Done &&
      Reply.Result != StoreReply::Status::Conflict)
    return Reply;
  try {
    const auto JsonBody = readWholeDocument(Body, DocumentFormat::Json);
    Reply.Revision = JsonBody.value("revision", uint64_t{0});
    Reply.Value = JsonBody.value("value", std::string());
    Reply.Keys = JsonBody.value("keys", std::vector<std::string>());
  } catch (const std::exception &) {
    Reply.Result = StoreReply::Status::NoAnswer;
    Reply.Detail = "a malformed answer";
  }
  return Reply;
}

} // namespace

struct StoreClient::Impl {
  explicit Impl(Endpoint Platform) : Platform(Platform), Http(Loop) {}

  StoreReply call(const char *Method, const std::string &Target,
                  const std::string &Value = {});

  Endpoint Platform;
  EventLoop Loop;
  HttpClient Http;
};

StoreReply StoreClient::Impl::call(const char *Method,
                                   const std::string &Target,
                                   const std::string &Value) {
  HttpCall Call;
  Call.To = Platform;
  Call.Method = Method;
  Call.Target = Target;
  Call.Body = Value;
  Call.Timeout = CallTimeout;
  HttpResult HttpAnswer;
  Http.call(Call, [&](HttpResult Result) {
    HttpAnswer = std::move(Result);
    Loop.stop();
  });
  Loop.run();
  return toReply(HttpAnswer.Status, HttpAnswer.Body);
}

StoreClient::StoreClient(Endpoint Platform)
    : PImpl(std::make_unique<Impl>(Platform)) {}

StoreClient::~StoreClient() = default;

StoreReply StoreClient::get(const std::string &Key) {
  return PImpl->call("GET", "/v1/kv/" + encodePath(Key));
}

StoreReply StoreClient::put(const std::string &Key, const std::string &Value,
                            uint64_t Revision) {
  return PImpl->call(
      "PUT", "/v1/kv/" + encodePath(Key) + "?cas=" + std::to_string(Revision),
      Value);
}

StoreReply StoreClient::remove(const std::string &Key) {
  return PImpl->call("DELETE", "/v1/kv/" + encodePath(Key));
}

StoreReply StoreClient::list(const std::string &Prefix) {
  return PImpl->call("GET", "/v1/kv-list?prefix=" + encodePath(Prefix));
}

} // namespace indigopoint
