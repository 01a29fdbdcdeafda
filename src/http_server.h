#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

#include "types.h"

namespace indigopoint {

class EventLoop;

struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::string Body;
};

struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers = {};
};

/// An HTTP server on an event loop.
class HttpServer {
public:
  /// Sends the response to a request. May be called later, but only once. If
  /// the last copy is destroyed without a call, the response has status 500.
  using Respond = std::function<void(const HttpResponse &)>;
  using Handler = std::function<void(const HttpRequest &, Respond)>;

  /// Closes connections that are idle for \p IdleTimeout, also in the middle of
  /// a request or a response. A response that takes longer is lost.
  explicit HttpServer(EventLoop &Loop,
                      Duration IdleTimeout = std::chrono::minutes(1));
  ~HttpServer();

  /// Listens on \p Address; port 0 lets the system choose.
  std::error_code open(Endpoint Address);

  /// The bound address.
  Endpoint address() const;

  /// Handles requests of \p Method for \p Path. A path that ends in "/" also
  /// matches all paths below it. Bodies are refused until a POST or PUT is
  /// handled.
  void route(const std::string &Method, const std::string &Path,
             Handler OnRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
