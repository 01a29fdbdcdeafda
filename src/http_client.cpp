#include "http_client.h"

#include <cctype>
#include <list>
#include <optional>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "connection_progress.h"
#include "event_loop.h"
#include "http_body.h"
#include "steady_clock.h"

namespace indigopoint {

namespace {

constexpr size_t MaxHeaderBytes = size_t{64} * 1024;

// Turns of the loop in which the largest response is read, with a reserve.
constexpr uint32_t MaxTurnsToRead = 1024;

// libevent ends a connection whose timeout has passed before it reads what
// arrived meanwhile, so its own timeout never passes.
constexpr int LibraryTimeoutSeconds = 24 * 60 * 60;

evhttp_cmd_type commandOf(const std::string &Method) {
  if (Method == "POST")
    return EVHTTP_REQ_POST;
  if (Method == "PUT")
    return EVHTTP_REQ_PUT;
  return Method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

HttpResult resultOf(evhttp_request *Response) {
  HttpResult Result;
  if (Response == nullptr)
    return Result;
  Result.Status = evhttp_request_get_response_code(Response);
  Result.Body = takeBody(evhttp_request_get_input_buffer(Response));
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Response);
  for (const evkeyval *Header = Headers->tqh_first; Header != nullptr;
       Header = Header->next.tqe_next) {
    std::string Name = Header->key;
    for (char &Letter : Name)
      Letter = static_cast<char>(std::tolower(Letter));
    Result.Headers[Name] = Header->value;
  }
  return Result;
}

} // namespace

struct HttpClient::Impl {
  // A call in progress and its connection.
  struct PendingCall {
    ~PendingCall() {
      if (Connection != nullptr)
        evhttp_connection_free(Connection);
    }

    Impl *Owner = nullptr;
    std::list<PendingCall>::iterator Position;
    evhttp_connection *Connection = nullptr;
    std::optional<ConnectionProgress> Progress;
    Duration IdleTimeout{};
    LoopEvent IdleTimer;
    LoopEvent TimeoutTimer;
    /// The bytes that had arrived when the call timed out.
    uint64_t BytesInTime = 0;
    uint32_t TurnsAfterTimeout = 0;
    ResultHook OnResult;
    HttpResult Result;
    bool IsFinished = false;
    bool IsTooLarge = false;
    size_t ReceivedBytes = 0;
    size_t MaxBodyBytes = 0;
  };

  explicit Impl(EventLoop &Loop) : Loop(Loop) {}

  void start(PendingCall &Call, const HttpCall &Parameters);
  void setIdleTimer(PendingCall &Call, Duration Delay);
  void onIdleTimer(PendingCall &Call);
  void setTimeoutTimer(PendingCall &Call, Duration Delay);
  void onTimeoutTimer(PendingCall &Call);
  void finish(PendingCall &Call, HttpResult Result);
  void report();

  static void onResponse(evhttp_request *Response, void *Context) {
    auto &Call = *static_cast<PendingCall *>(Context);
    HttpResult Result = resultOf(Response);
    Result.IsTooLarge = Call.IsTooLarge;
    Result.ArrivedAt = Call.Progress->lastArrival();
    Call.Owner->finish(Call, std::move(Result));
  }

  static void onInput(evbuffer *, const evbuffer_cb_info *Info, void *Context) {
    auto &Call = *static_cast<PendingCall *>(Context);
    Call.ReceivedBytes += Info->n_added;
    // The library limits neither trailers nor what separates the chunks of a
    // body.
    if (Call.ReceivedBytes <= Call.MaxBodyBytes + 2 * MaxHeaderBytes)
      return;
    HttpResult Result;
    Result.IsTooLarge = true;
    Call.Owner->finish(Call, std::move(Result));
  }

  // Called before onResponse.
  static void onError(evhttp_request_error Error, void *Context) {
    static_cast<PendingCall *>(Context)->IsTooLarge =
        Error == EVREQ_HTTP_DATA_TOO_LONG;
  }

  EventLoop &Loop;
  std::list<PendingCall> Calls;
  std::list<PendingCall> FinishedCalls;
  LoopEvent ReportTimer;
};

void HttpClient::Impl::start(PendingCall &Call, const HttpCall &Parameters) {
  const std::string HostAndPort = toString(Parameters.To);
  const std::string Host = HostAndPort.substr(0, HostAndPort.find(':'));
  Call.Connection = evhttp_connection_base_new(
      Loop.base(), nullptr, Host.c_str(), Parameters.To.Port);
  evhttp_request *Request = evhttp_request_new(onResponse, &Call);
  if (Call.Connection == nullptr || Request == nullptr) {
    if (Request != nullptr)
      evhttp_request_free(Request);
    finish(Call, {});
    return;
  }
  evhttp_request_set_error_cb(Request, onError);
  evbuffer_add_cb(
      bufferevent_get_input(evhttp_connection_get_bufferevent(Call.Connection)),
      onInput, &Call);
  evhttp_connection_set_max_body_size(
      Call.Connection, static_cast<ev_ssize_t>(Call.MaxBodyBytes));
  evhttp_connection_set_max_headers_size(Call.Connection, MaxHeaderBytes);
  evhttp_connection_set_timeout(Call.Connection, LibraryTimeoutSeconds);
  Call.Progress.emplace(evhttp_connection_get_bufferevent(Call.Connection));
  Call.IdleTimeout = Parameters.IdleTimeout;
  if (Call.IdleTimeout > Duration())
    setIdleTimer(Call, Call.IdleTimeout);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", HostAndPort.c_str());
  evhttp_add_header(Headers, "Connection", "close");
  if (!Parameters.Body.empty())
    evbuffer_add(evhttp_request_get_output_buffer(Request),
                 Parameters.Body.data(), Parameters.Body.size());
  if (evhttp_make_request(Call.Connection, Request,
                          commandOf(Parameters.Method),
                          Parameters.Target.c_str()) != 0)
    finish(Call, {});
}

void HttpClient::Impl::setIdleTimer(PendingCall &Call, Duration Delay) {
  Call.IdleTimer =
      LoopEvent::after(Loop, Delay, [this, &Call] { onIdleTimer(Call); });
}

// A process that was stalled has not seen yet what arrived meanwhile. It judges
// the peer's silence when there is nothing left to handle.
void HttpClient::Impl::onIdleTimer(PendingCall &Call) {
  if (Call.IsFinished)
    return;
  const Duration Silence = SteadyClock().now() - Call.Progress->lastTransfer();
  if (Silence < Call.IdleTimeout)
    setIdleTimer(Call, Call.IdleTimeout - Silence);
  else if (Call.Progress->isReady())
    setIdleTimer(Call, Duration());
  else
    finish(Call, {});
}

void HttpClient::Impl::setTimeoutTimer(PendingCall &Call, Duration Delay) {
  Call.TimeoutTimer =
      LoopEvent::after(Loop, Delay, [this, &Call] { onTimeoutTimer(Call); });
}

// What had arrived when the time was over still counts, what arrives later does
// not: otherwise a peer that sends for ever would prolong the call.
void HttpClient::Impl::onTimeoutTimer(PendingCall &Call) {
  if (Call.IsFinished)
    return;
  const ConnectionProgress &Progress = *Call.Progress;
  const bool IsFirstTurn = Call.TurnsAfterTimeout++ == 0;
  if (IsFirstTurn)
    Call.BytesInTime = Progress.bytesRead() + Progress.unreadBytes();
  const bool IsUnread =
      Progress.bytesRead() < Call.BytesInTime || Progress.hasUnreportedEnd();
  if (IsFirstTurn || (IsUnread && Call.TurnsAfterTimeout < MaxTurnsToRead))
    setTimeoutTimer(Call, Duration());
  else
    finish(Call, {});
}

// libevent may still use the connection when it reports a response, so a later
// iteration of the loop calls the hook and frees the connection.
void HttpClient::Impl::finish(PendingCall &Call, HttpResult Result) {
  if (Call.IsFinished)
    return;
  Call.IsFinished = true;
  Call.Result = std::move(Result);
  Call.Result.ReceivedBytes = Call.ReceivedBytes;
  const bool First = FinishedCalls.empty();
  FinishedCalls.splice(FinishedCalls.end(), Calls, Call.Position);
  if (First)
    ReportTimer = LoopEvent::after(Loop, Duration(0), [this] { report(); });
}

void HttpClient::Impl::report() {
  std::list<PendingCall> CallsToReport;
  CallsToReport.swap(FinishedCalls);
  for (PendingCall &Call : CallsToReport)
    Call.OnResult(std::move(Call.Result));
}

HttpClient::HttpClient(EventLoop &Loop) : PImpl(std::make_unique<Impl>(Loop)) {}
HttpClient::~HttpClient() = default;

void HttpClient::call(const HttpCall &Call, ResultHook OnResult) {
  Impl::PendingCall &NewCall = PImpl->Calls.emplace_back();
  NewCall.Owner = PImpl.get();
  NewCall.Position = std::prev(PImpl->Calls.end());
  NewCall.OnResult = std::move(OnResult);
  NewCall.MaxBodyBytes = Call.MaxBodyBytes;
  PImpl->setTimeoutTimer(NewCall, Call.Timeout);
  PImpl->start(NewCall, Call);
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
