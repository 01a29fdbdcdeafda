#include "http_service.h"

#include <cerrno>
#include <system_error>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>

#include "timer_loop.h"

namespace indigopoint::standin {

using Json = nlohmann::json;

namespace {

// Above the platform's limit for a value, so that the platform itself refuses
// larger ones.
constexpr ev_ssize_t MaxBodyBytes = 16 << 20;

std::string methodOf(evhttp_request *Request) {
  switch (evhttp_request_get_command(Request)) {
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  default:
    return "GET";
  }
}

std::string decodeUri(const char *Text) {
  size_t Size = 0;
  char *Decoded = evhttp_uridecode(Text, 0, &Size);
  std::string Out(Decoded == nullptr ? "" : Decoded, Decoded ? Size : 0);
  std::free(Decoded);
  return Out;
}

HttpRequest readRequest(evhttp_request *Request) {
  HttpRequest Out;
  Out.Method = methodOf(Request);
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *Path = evhttp_uri_get_path(Uri);
  Out.Path = decodeUri(Path == nullptr ? "" : Path);
  evkeyvalq Parameters{};
  if (const char *Query = evhttp_uri_get_query(Uri);
      Query != nullptr && evhttp_parse_query_str(Query, &Parameters) == 0) {
    for (const evkeyval *It = Parameters.tqh_first; It != nullptr;
         It = It->next.tqe_next)
      Out.Query[It->key] = It->value;
    evhttp_clear_headers(&Parameters);
  }
  evbuffer *Body = evhttp_request_get_input_buffer(Request);
  Out.Body.resize(evbuffer_get_length(Body));
  evbuffer_copyout(Body, Out.Body.data(), Out.Body.size());
  return Out;
}

} // namespace

uint64_t HttpRequest::number(const std::string &Name, uint64_t Default) const {
  const auto It = Query.find(Name);
  return It == Query.end() ? Default : std::stoull(It->second);
}

HttpReply::HttpReply(TimerLoop &Loop, evhttp_request *Request)
    : Loop(Loop), Request(Request) {}

void HttpReply::send(int Status, const Json &Body) {
  if (Request == nullptr)
    return;
  evbuffer *Buffer = evbuffer_new();
  if (!Body.is_null()) {
    const std::string Text =
        Body.dump(-1, ' ', false, Json::error_handler_t::replace);
    evbuffer_add(Buffer, Text.data(), Text.size());
    evhttp_add_header(evhttp_request_get_output_headers(Request),
                      "Content-Type", "application/json");
  }
  evhttp_send_reply(Request, Status, nullptr, Buffer);
  evbuffer_free(Buffer);
  Request = nullptr;
}

void HttpReply::drop() {
  if (Request == nullptr)
    return;
  // evhttp still uses the connection until the request handler has returned.
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  Loop.after(Duration(0), [Connection] { evhttp_connection_free(Connection); });
  Request = nullptr;
}

HttpService::HttpService(TimerLoop &Loop, Handler OnRequest)
    : Loop(Loop), OnRequest(std::move(OnRequest)),
      Server(evhttp_new(Loop.base())) {
  evhttp_set_allowed_methods(Server, EVHTTP_REQ_GET | EVHTTP_REQ_PUT |
                                         EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
  evhttp_set_max_body_size(Server, MaxBodyBytes);
  evhttp_set_gencb(
      Server,
      [](evhttp_request *Request, void *Self) {
        static_cast<HttpService *>(Self)->handle(Request);
      },
      this);
  evhttp_bound_socket *Bound =
      evhttp_bind_socket_with_handle(Server, "127.0.0.1", 0);
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  if (Bound == nullptr ||
      getsockname(evhttp_bound_socket_get_fd(Bound),
                  reinterpret_cast<sockaddr *>(&Address), &Size) < 0)
    throw std::system_error(errno, std::system_category(),
                            "cannot listen for HTTP on 127.0.0.1");
  BoundAddress = {ntohl(Address.sin_addr.s_addr), ntohs(Address.sin_port)};
}

HttpService::~HttpService() { evhttp_free(Server); }

void HttpService::handle(evhttp_request *Request) {
  auto Reply = std::make_shared<HttpReply>(Loop, Request);
  try {
    OnRequest(readRequest(Request), Reply);
  } catch (const std::logic_error &Error) {
    Reply->send(400, {{"error", Error.what()}});
  } catch (const Json::exception &Error) {
    Reply->send(400, {{"error", Error.what()}});
  }
}

} // namespace indigopoint::standin
