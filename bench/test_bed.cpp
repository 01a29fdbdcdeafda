#include "test_bed.h"

#include <memory>
#include <system_error>

#include <ctime>
#include <nlohmann/json.hpp>

#include "config_codec.h"
#include "wire_codec.h"

namespace indigopoint {

namespace {

void throwOnError(std::error_code Error) {
  if (Error)
    throw std::system_error(Error);
}

int64_t threadCpuMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return Time.tv_sec * 1'000'000 + Time.tv_nsec / 1000;
}

ConfigChange oneService(Endpoint Address) {
  ConfigChange Change;
  Change.Version = ConfigVersion(1);
  Change.ChangeId = "bench";
  Change.Zones.emplace().push_back({"lim-a", "lim"});
  ServiceConfig &Service = Change.ChangedServices.emplace_back();
  Service.Id = ServiceId(1);
  Service.Name = "chat-core";
  Service.Tenant = "andina";
  Service.Saturation = 0; // no limit
  UpstreamConfig &Upstream = Service.Upstreams.emplace_back();
  Upstream.Name = "chat-1";
  Upstream.Id = upstreamIdOf(Service.Name, Upstream.Name);
  Upstream.Zone = "lim-a";
  Upstream.Address = Address;
  Upstream.Slots = 1000;
  Upstream.Connections = 1'000'000;
  return Change;
}

} // namespace

LoopThread::LoopThread(std::function<std::shared_ptr<void>(EventLoop &)> Start)
    : Thread([this, Start = std::move(Start)] { run(Start); }) {
  while (!Started)
    std::this_thread::yield();
}

LoopThread::~LoopThread() {
  Stopping = true;
  Thread.join();
}

void LoopThread::run(
    const std::function<std::shared_ptr<void>(EventLoop &)> &Start) {
  EventLoop Loop;
  const std::shared_ptr<void> Components = Start(Loop);
  const LoopEvent StopCheck =
      LoopEvent::every(Loop, std::chrono::milliseconds(10), [&] {
        CpuMicroseconds = threadCpuMicroseconds();
        if (Stopping)
          Loop.stop();
      });
  Started = true;
  Loop.run();
}

AnsweringUpstream::AnsweringUpstream(EventLoop &Loop) {
  throwOnError(
      Socket.open(Loop, AnyPort, [this](Endpoint From, std::string_view Bytes) {
        answer(From, Bytes);
      }));
}

void AnsweringUpstream::answer(Endpoint From, std::string_view Bytes) {
  Sender Origin;
  Message Body;
  if (decodeDatagram(Bytes, Origin, Body))
    return;
  Message Answer;
  if (auto *DispatchBody = std::get_if<Dispatch>(&Body))
    Answer =
        DispatchResult{DispatchBody->Connection, DispatchBody->Id,
                       DispatchStatus::Done, std::move(DispatchBody->Payload)};
  else if (auto *RequestBody = std::get_if<Request>(&Body))
    Answer = Reply{RequestBody->Flow,
                   RequestBody->Id,
                   Outcome::Answered,
                   {},
                   std::move(RequestBody->Payload)};
  else if (const auto *PingBody = std::get_if<Ping>(&Body))
    Answer = Pong{PingBody->Connection};
  else
    return;
  if (!encodeDatagram({}, Answer, Socket.nextBuffer()))
    Socket.commit(From);
}

BareForwarder::BareForwarder(EventLoop &Loop, Endpoint Upstream)
    : Upstream(Upstream) {
  throwOnError(
      Socket.open(Loop, AnyPort, [this](Endpoint From, std::string_view Bytes) {
        forward(From, Bytes);
      }));
}

void BareForwarder::forward(Endpoint From, std::string_view Bytes) {
  if (From != Upstream)
    Caller = From;
  Socket.nextBuffer() = Bytes;
  Socket.commit(From == Upstream ? Caller : Upstream);
}

OneServicePlatform::OneServicePlatform(EventLoop &Loop, Endpoint Upstream)
    : Http(Loop) {
  throwOnError(Http.open(AnyPort));
  const nlohmann::json StoredValue = {
      {"revision", 1}, {"value", encodeChange(oneService(Upstream))}};
  Http.route(
      "GET", "/v1/kv/",
      [this, Body = StoredValue.dump()](const HttpRequest &HttpCall,
                                        const HttpServer::Respond &Respond) {
        if (HttpCall.Path.ends_with("/change/1"))
          Respond({200, Body});
        else if (HttpCall.Query.contains("after"))
          WaitingReplies.push_back(Respond);
        else
          Respond({404, ""});
      });
  Http.route("GET", "/v1/instances",
             [](const HttpRequest &, const HttpServer::Respond &Respond) {
               Respond({200, R"({"instances":[]})"});
             });
}

} // namespace indigopoint
