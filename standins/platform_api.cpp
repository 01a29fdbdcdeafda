#include "platform_api.h"

#include <algorithm>

namespace indigopoint::standin {

using Json = nlohmann::json;

namespace {

constexpr std::string_view KeyPath = "/v1/kv/";
constexpr std::string_view LeasePath = "/v1/lease";

// Items in one answer to a range read.
constexpr size_t PageItems = 100;

Json toJson(const KvEntry &Entry) {
  return {{"value", Entry.Value}, {"revision", Entry.Revision}};
}

Json toJson(const KvChange &Change) {
  if (!Change.Value)
    return {
        {"key", Change.Key}, {"revision", Change.Revision}, {"deleted", true}};
  return {{"key", Change.Key},
          {"revision", Change.Revision},
          {"value", *Change.Value}};
}

std::string parameter(const HttpRequest &Request, const std::string &Name) {
  const auto It = Request.Query.find(Name);
  return It == Request.Query.end() ? "" : It->second;
}

// The name under which a call is counted.
std::string kindOf(const HttpRequest &Request) {
  if (Request.Path.starts_with(KeyPath))
    return Request.Method == "GET"      ? "get"
           : Request.Method == "DELETE" ? "delete"
                                        : "put";
  if (Request.Path.starts_with(LeasePath))
    return "lease";
  if (Request.Path == "/v1/kv-list")
    return "list";
  if (Request.Path == "/v1/range")
    return "range";
  if (Request.Path == "/v1/watch")
    return "watch";
  return Request.Path == "/v1/instances" ? "instances" : "unknown";
}

} // namespace

PlatformApi::PlatformApi(TimerLoop &Loop)
    : Loop(Loop), Store([this](const std::string &Key) { onChange(Key); }) {
  constexpr std::chrono::milliseconds Period(10);
  Loop.every(Period, [this] {
    Store.expireLeases(this->Loop.now());
    endWatches();
  });
}

void PlatformApi::handle(const HttpRequest &Request,
                         const HttpReplyPtr &Reply) {
  if (Request.Path == "/v1/stats" || Request.Path == "/v1/fault") {
    handleControl(Request, Reply);
    return;
  }
  ++Calls[kindOf(Request)];
  if (Faults.outage(Loop.now())) {
    Reply->drop();
    return;
  }
  if (Faults.delay().count() == 0) {
    serve(Request, Reply);
    return;
  }
  Loop.after(Faults.delay(), [this, Request, Reply] {
    try {
      serve(Request, Reply);
    } catch (const std::exception &Error) {
      Reply->send(400, {{"error", Error.what()}});
    }
  });
}

// Paths for tests: faults do not apply to them, and their calls are not
// counted.
void PlatformApi::handleControl(const HttpRequest &Request,
                                const HttpReplyPtr &Reply) {
  if (Request.Path == "/v1/stats") {
    Reply->send(200, {{"calls", Calls}, {"waiting", Watches.size()}});
    return;
  }
  Faults.add(Json::parse(Request.Body), Loop.now());
  if (Faults.outage(Loop.now())) {
    for (const Watch &PendingWatch : Watches)
      PendingWatch.Reply->drop();
    Watches.clear();
  }
  Reply->send(200, Json::object());
}

void PlatformApi::serve(const HttpRequest &Request, const HttpReplyPtr &Reply) {
  if (Request.Path.starts_with(KeyPath))
    serveKey(Request.Path.substr(KeyPath.size()), Request, Reply);
  else if (Request.Path.starts_with(LeasePath))
    serveLease(Request.Path.substr(LeasePath.size()), Request, Reply);
  else if (Request.Path == "/v1/instances")
    serveInstances(Request, Reply);
  else if (Request.Path == "/v1/kv-list")
    Reply->send(200, {{"keys", Store.keys(parameter(Request, "prefix"))}});
  else if (Request.Path == "/v1/range")
    readRange(Request, Reply);
  else if (Request.Path == "/v1/watch")
    startWatch(Request, Reply);
  else
    Reply->send(404, {{"error", "no such path"}});
}

void PlatformApi::serveKey(const std::string &Key, const HttpRequest &Request,
                           const HttpReplyPtr &Reply) {
  if (Request.Method == "GET")
    read(Key, Reply);
  else
    write(Key, Request, Reply);
}

void PlatformApi::read(const std::string &Key, const HttpReplyPtr &Reply) {
  const auto Entry =
      Faults.consumeStaleRead() ? Store.findPrevious(Key) : Store.find(Key);
  if (Entry)
    Reply->send(200, toJson(*Entry));
  else
    Reply->send(404, {{"error", "no such key"}});
}

void PlatformApi::readRange(const HttpRequest &Request,
                            const HttpReplyPtr &Reply) {
  const std::string Prefix = parameter(Request, "prefix");
  const std::string AfterKey = parameter(Request, "after_key");
  const bool Stale = Faults.consumeStaleRead();
  Json Items = Json::array();
  bool MorePages = false;
  uint64_t Revision = Stale ? 0 : Store.revision();
  for (const std::string &Key : Store.keys(Prefix)) {
    const auto Entry = Stale ? Store.findPrevious(Key) : Store.find(Key);
    if (Key <= AfterKey || !Entry)
      continue;
    MorePages = Items.size() == PageItems;
    if (MorePages)
      break;
    Revision = std::max(Revision, Entry->Revision);
    Items.push_back(toJson(KvChange{Key, Entry->Value, Entry->Revision}));
  }
  Reply->send(200,
              {{"items", Items}, {"more", MorePages}, {"revision", Revision}});
}

void PlatformApi::startWatch(const HttpRequest &Request,
                             const HttpReplyPtr &Reply) {
  Watches.push_back(
      {parameter(Request, "prefix"), Request.number("after"),
       Loop.now() + std::chrono::milliseconds(Request.number("wait_ms")),
       Reply});
  if (answerWatch(Watches.back()))
    Watches.pop_back();
}

void PlatformApi::write(const std::string &Key, const HttpRequest &Request,
                        const HttpReplyPtr &Reply) {
  std::optional<uint64_t> Expected;
  if (Request.has("cas"))
    Expected = Request.number("cas");
  const KvStore::WriteResult Result =
      Request.Method == "DELETE"
          ? Store.remove(Key, Expected)
          : Store.put(Key, Request.Body, Expected, Request.number("lease"));
  if (Result.Status == WriteStatus::Written && Faults.consumeLostWriteAnswer())
    Reply->drop();
  else if (Result.Status == WriteStatus::Written)
    Reply->send(200, {{"revision", Result.Entry.Revision}});
  else if (Result.Status == WriteStatus::Conflict)
    Reply->send(409, toJson(Result.Entry));
  else if (Result.Status == WriteStatus::TooLarge)
    Reply->send(413, {{"error", "the value is larger than 1 MB"}});
  else
    Reply->send(404, {{"error", "no such lease"}});
}

void PlatformApi::serveLease(const std::string &Subpath,
                             const HttpRequest &Request,
                             const HttpReplyPtr &Reply) {
  constexpr std::string_view Renew = "/renew";
  if (Subpath.empty()) {
    const std::chrono::milliseconds TimeToLive(Request.number("ttl_ms"));
    Reply->send(200, {{"lease", Store.grantLease(Loop.now(), TimeToLive)}});
  } else if (Subpath.ends_with(Renew) &&
             Store.renewLease(std::stoull(Subpath.substr(1)), Loop.now()))
    Reply->send(200, Json::object());
  else
    Reply->send(404, {{"error", "no such lease"}});
}

void PlatformApi::serveInstances(const HttpRequest &Request,
                                 const HttpReplyPtr &Reply) {
  if (Request.Method == "PUT")
    Instances.set(Loop.now(), Json::parse(Request.Body).at("instances"));
  Reply->send(200, {{"instances", Instances.read(Loop.now())}});
}

bool PlatformApi::answerWatch(const Watch &PendingWatch) {
  Json Items = Json::array();
  for (const KvChange &Change :
       Store.changesAfter(PendingWatch.AfterRevision, PendingWatch.Prefix))
    Items.push_back(toJson(Change));
  const bool IsAnswered = !Items.empty() || PendingWatch.Deadline <= Loop.now();
  if (IsAnswered)
    PendingWatch.Reply->send(
        200, {{"items", Items}, {"revision", Store.revision()}});
  return IsAnswered;
}

void PlatformApi::onChange(const std::string &Key) {
  Watches.remove_if([&](const Watch &PendingWatch) {
    return Key.starts_with(PendingWatch.Prefix) && answerWatch(PendingWatch);
  });
}

void PlatformApi::endWatches() {
  Watches.remove_if([this](const Watch &PendingWatch) {
    return PendingWatch.Deadline <= Loop.now() && answerWatch(PendingWatch);
  });
}

} // namespace indigopoint::standin
