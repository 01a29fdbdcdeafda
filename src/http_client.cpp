#include "http_client.h"

#include <cctype>
#include <list>
#include <utility>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "event_loop.h"

namespace indigopoint {

namespace {

// Larger answers than any list of keys. They end the call.
constexpr ev_ssize_t MaxBodyBytes = ev_ssize_t{8} * 1024 * 1024;

evhttp_cmd_type commandOf(const std::string &Method) {
  if (Method == "POST")
    return EVHTTP_REQ_POST;
  if (Method == "PUT")
    return EVHTTP_REQ_PUT;
  return Method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

HttpResult resultOf(evhttp_request *Answer) {
  HttpResult Result;
  if (Answer == nullptr)
    return Result;
  Result.Status = evhttp_request_get_response_code(Answer);
  evbuffer *Body = evhttp_request_get_input_buffer(Answer);
  Result.Body.resize(evbuffer_get_length(Body));
  evbuffer_copyout(Body, Result.Body.data(), Result.Body.size());
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Answer);
  for (const evkeyval *At = Headers->tqh_first; At != nullptr;
       At = At->next.tqe_next) {
    std::string Name = At->key;
    for (char &Letter : Name)
      Letter = static_cast<char>(std::tolower(Letter));
    Result.Headers[Name] = At->value;
  }
  return Result;
}

} // namespace

struct HttpClient::Impl {
  // One call and its connection.
  struct Pending {
    ~Pending() {
      if (Connection != nullptr)
        evhttp_connection_free(Connection);
    }

    Impl *Owner = nullptr;
    std::list<Pending>::iterator Self;
    evhttp_connection *Connection = nullptr;
    LoopEvent Limit;
    ResultHook OnResult;
    HttpResult Result;
    bool Done = false;
  };

  explicit Impl(EventLoop &Loop) : Loop(Loop) {}

  void start(Pending &Call, const HttpCall &Given);
  void finish(Pending &Call, HttpResult Result);
  void report();

  static void onAnswer(evhttp_request *Answer, void *Context) {
    auto &Call = *static_cast<Pending *>(Context);
    Call.Owner->finish(Call, resultOf(Answer));
  }

  EventLoop &Loop;
  std::list<Pending> Calls;
  std::list<Pending> Finished;
  LoopEvent Report;
};

void HttpClient::Impl::start(Pending &Call, const HttpCall &Given) {
  const std::string Target = toString(Given.To);
  const std::string Host = Target.substr(0, Target.find(':'));
  Call.Connection = evhttp_connection_base_new(Loop.base(), nullptr,
                                               Host.c_str(), Given.To.Port);
  evhttp_request *Request = evhttp_request_new(onAnswer, &Call);
  if (Call.Connection == nullptr || Request == nullptr) {
    if (Request != nullptr)
      evhttp_request_free(Request);
    finish(Call, {});
    return;
  }
  evhttp_connection_set_max_body_size(Call.Connection, MaxBodyBytes);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", Target.c_str());
  evhttp_add_header(Headers, "Connection", "close");
  if (!Given.Body.empty())
    evbuffer_add(evhttp_request_get_output_buffer(Request), Given.Body.data(),
                 Given.Body.size());
  if (evhttp_make_request(Call.Connection, Request, commandOf(Given.Method),
                          Given.Target.c_str()) != 0)
    finish(Call, {});
}

// libevent may still use the connection when it reports an answer, so the
// connection is freed and the hook called from a later turn of the loop.
void HttpClient::Impl::finish(Pending &Call, HttpResult Result) {
  if (Call.Done)
    return;
  Call.Done = true;
  Call.Result = std::move(Result);
  const bool First = Finished.empty();
  Finished.splice(Finished.end(), Calls, Call.Self);
  if (First)
    Report = LoopEvent::after(Loop, Duration(0), [this] { report(); });
}

void HttpClient::Impl::report() {
  std::list<Pending> Ready;
  Ready.swap(Finished);
  for (Pending &Call : Ready)
    Call.OnResult(std::move(Call.Result));
}

HttpClient::HttpClient(EventLoop &Loop) : PImpl(std::make_unique<Impl>(Loop)) {}
HttpClient::~HttpClient() = default;

void HttpClient::call(const HttpCall &Call, ResultHook OnResult) {
  Impl::Pending &Started = PImpl->Calls.emplace_back();
  Started.Owner = PImpl.get();
  Started.Self = std::prev(PImpl->Calls.end());
  Started.OnResult = std::move(OnResult);
  Started.Limit = LoopEvent::after(
      PImpl->Loop, Call.Timeout,
      [Owner = PImpl.get(), &Started] { Owner->finish(Started, {}); });
  PImpl->start(Started, Call);
}

std::string encodePath(std::string_view Text) {
  constexpr std::string_view Hex = "0123456789ABCDEF";
  constexpr std::string_view Plain = "-._~/";
  std::string Out;
  for (const char Letter : Text) {
    const auto Byte = static_cast<unsigned char>(Letter);
    if (std::isalnum(Byte) != 0 || Plain.find(Letter) != Plain.npos)
      Out += Letter;
    else
      Out += {'%', Hex[Byte >> 4], Hex[Byte & 15]};
  }
  return Out;
}

} // namespace indigopoint
