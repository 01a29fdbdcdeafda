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

/// Answers HTTP requests on an event loop.
class HttpServer {
public:
  /// Answers a request; may be called later, once. If it is dropped without a
  /// call, the request is answered with status 500.
  using Respond = std::function<void(const HttpResponse &)>;
  using Handler = std::function<void(const HttpRequest &, Respond)>;

  /// A connection that carries nothing for \p IdleTimeout is closed, also in
  /// the middle of a request or an answer. Answers that wait longer are lost.
  explicit HttpServer(EventLoop &Loop,
                      Duration IdleTimeout = std::chrono::minutes(1));
  ~HttpServer();

  /// Listens on \p Address; port 0 lets the system choose.
  std::error_code open(Endpoint Address);

  /// The bound address.
  Endpoint address() const;

  /// Handles requests of \p Method for \p Path. A path that ends in "/" also
  /// stands for all paths below it.
  void route(const std::string &Method, const std::string &Path,
             Handler Handle);

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
