#include "http_server.h"

#include <cerrno>
#include <new>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include "event_loop.h"
#include "http_body.h"
#include "socket_address.h"

namespace indigopoint {

namespace {

constexpr ev_ssize_t MaxBodyBytes = ev_ssize_t{2} * 1024 * 1024;
constexpr ev_ssize_t MaxHeaderBytes = ev_ssize_t{16} * 1024;

std::string_view methodOf(evhttp_cmd_type Command) {
  switch (Command) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  default:
    return "";
  }
}

std::string decodePath(const char *Text) {
  if (Text == nullptr)
    return "/";
  size_t Size = 0;
  char *Decoded = evhttp_uridecode(Text, 0, &Size);
  std::string Out(Decoded == nullptr ? "" : Decoded,
                  Decoded == nullptr ? 0 : Size);
  free(Decoded);
  return Out;
}

HttpRequest requestOf(evhttp_request *LibeventRequest) {
  HttpRequest Out;
  Out.Method = methodOf(evhttp_request_get_command(LibeventRequest));
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(LibeventRequest);
  Out.Path = decodePath(evhttp_uri_get_path(Uri));
  evkeyvalq Query{};
  const char *QueryText = evhttp_uri_get_query(Uri);
  if (QueryText != nullptr && evhttp_parse_query_str(QueryText, &Query) == 0) {
    for (const evkeyval *Parameter = Query.tqh_first; Parameter != nullptr;
         Parameter = Parameter->next.tqe_next)
      Out.Query[Parameter->key] = Parameter->value;
    evhttp_clear_headers(&Query);
  }
  Out.Body = takeBody(evhttp_request_get_input_buffer(LibeventRequest));
  return Out;
}

// A request without a response yet. libevent frees the request when its
// connection closes, so the close callback clears the pointer.
class Exchange {
public:
  explicit Exchange(evhttp_request *LibeventRequest)
      : LibeventRequest(LibeventRequest) {
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(LibeventRequest), onClose, this);
  }
  ~Exchange() { respond({500, "", "text/plain", {}}); }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  void respond(const HttpResponse &Response) {
    if (LibeventRequest == nullptr)
      return;
    evhttp_request *Request = std::exchange(LibeventRequest, nullptr);
    evhttp_connection_set_closecb(evhttp_request_get_connection(Request),
                                  nullptr, nullptr);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
    evhttp_add_header(Headers, "Content-Type", Response.ContentType.c_str());
    for (const auto &[Name, Value] : Response.Headers)
      evhttp_add_header(Headers, Name.c_str(), Value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(Request),
                 Response.Body.data(), Response.Body.size());
    evhttp_send_reply(Request, Response.Status, nullptr, nullptr);
  }

private:
  static void onClose(evhttp_connection *, void *Context) {
    static_cast<Exchange *>(Context)->LibeventRequest = nullptr;
  }

  evhttp_request *LibeventRequest;
};

} // namespace

struct HttpServer::Impl {
  struct Route {
    std::string Method;
    std::string Path;
    Handler OnRequest;
  };

  Impl(EventLoop &Loop, Duration IdleTimeout) : Http(evhttp_new(Loop.base())) {
    if (Http == nullptr)
      throw std::bad_alloc();
    const timeval Idle = toTimeval(IdleTimeout);
    evhttp_set_timeout_tv(Http, &Idle);
    evhttp_set_max_body_size(Http, 0);
    evhttp_set_max_headers_size(Http, MaxHeaderBytes);
    evhttp_set_gencb(Http, onRequest, this);
  }
  ~Impl() { evhttp_free(Http); }

  static void onRequest(evhttp_request *LibeventRequest, void *Context) {
    static_cast<Impl *>(Context)->handle(LibeventRequest);
  }

  void handle(evhttp_request *LibeventRequest) const;
  const Route *find(const HttpRequest &Request, bool &PathKnown) const;

  evhttp *Http;
  Endpoint BoundAddress;
  std::vector<Route> Routes;
};

const HttpServer::Impl::Route *
HttpServer::Impl::find(const HttpRequest &Request, bool &PathKnown) const {
  for (const Route &Candidate : Routes) {
    const bool Matches = Candidate.Path.ends_with('/')
                             ? Request.Path.starts_with(Candidate.Path)
                             : Request.Path == Candidate.Path;
    PathKnown |= Matches;
    if (Matches && Request.Method == Candidate.Method)
      return &Candidate;
  }
  return nullptr;
}

void HttpServer::Impl::handle(evhttp_request *LibeventRequest) const {
  auto PendingExchange = std::make_shared<Exchange>(LibeventRequest);
  const HttpRequest Request = requestOf(LibeventRequest);
  bool PathKnown = false;
  const Route *Match = find(Request, PathKnown);
  if (Match == nullptr) {
    PendingExchange->respond({PathKnown ? 405 : 404, "", "text/plain", {}});
    return;
  }
  Match->OnRequest(Request, [PendingExchange](const HttpResponse &Response) {
    PendingExchange->respond(Response);
  });
}

HttpServer::HttpServer(EventLoop &Loop, Duration IdleTimeout)
    : PImpl(std::make_unique<Impl>(Loop, IdleTimeout)) {}
HttpServer::~HttpServer() = default;

std::error_code HttpServer::open(Endpoint Address) {
  const std::string Text = toString(Address);
  const std::string Host = Text.substr(0, Text.find(':'));
  evhttp_bound_socket *Socket =
      evhttp_bind_socket_with_handle(PImpl->Http, Host.c_str(), Address.Port);
  if (Socket == nullptr)
    return {errno, std::generic_category()};
  sockaddr_in LocalAddress{};
  socklen_t Size = sizeof(LocalAddress);
  if (getsockname(evhttp_bound_socket_get_fd(Socket),
                  reinterpret_cast<sockaddr *>(&LocalAddress), &Size) != 0)
    return {errno, std::generic_category()};
  PImpl->BoundAddress = toEndpoint(LocalAddress);
  return {};
}

Endpoint HttpServer::address() const { return PImpl->BoundAddress; }

void HttpServer::route(const std::string &Method, const std::string &Path,
                       Handler OnRequest) {
  // A body that no handler takes would fill the memory of the process.
  if (Method == "POST" || Method == "PUT")
    evhttp_set_max_body_size(PImpl->Http, MaxBodyBytes);
  PImpl->Routes.push_back({Method, Path, std::move(OnRequest)});
}

} // namespace indigopoint
