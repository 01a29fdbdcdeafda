#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "types.h"

struct evhttp;
struct evhttp_request;

namespace indigopoint::standin {

class TimerLoop;

struct HttpRequest {
  /// "GET", "PUT", "POST" or "DELETE".
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::string Body;

  bool has(const std::string &Name) const { return Query.count(Name) > 0; }
  /// The numeric parameter \p Name, or \p Default if there is none. Throws
  /// std::invalid_argument if it is not a number.
  uint64_t number(const std::string &Name, uint64_t Default = 0) const;
};

/// The answer to one request, which may be sent later.
class HttpReply {
public:
  HttpReply(TimerLoop &Loop, evhttp_request *Request);

  void send(int Status, const nlohmann::json &Body = nullptr);
  /// Closes the connection without an answer.
  void drop();

private:
  TimerLoop &Loop;
  evhttp_request *Request;
};

using HttpReplyPtr = std::shared_ptr<HttpReply>;

/// An HTTP server on 127.0.0.1 with a port chosen by the kernel.
class HttpService {
public:
  using Handler = std::function<void(const HttpRequest &, HttpReplyPtr)>;

  HttpService(TimerLoop &Loop, Handler OnRequest);
  ~HttpService();
  HttpService(const HttpService &) = delete;
  HttpService &operator=(const HttpService &) = delete;

  Endpoint address() const { return BoundAddress; }

private:
  void handle(evhttp_request *Request);

  TimerLoop &Loop;
  Handler OnRequest;
  evhttp *Server;
  Endpoint BoundAddress;
};

} // namespace indigopoint::standin
