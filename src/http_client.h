#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "types.h"

namespace indigopoint {

class EventLoop;

/// The parameters of an HTTP call.
struct HttpCall {
  Endpoint To;
  /// GET, POST, PUT or DELETE.
  std::string Method = "GET";
  /// Path and query, percent-encoded.
  std::string Target;
  std::string Body;
  /// Covers the whole call, including connecting.
  Duration Timeout = std::chrono::seconds(2);
  /// The call also fails when no byte was transferred for this time. 0 means
  /// that only \c Timeout applies. What arrived in time counts for both, even
  /// if the process was stalled and reads it later.
  Duration IdleTimeout{};
  /// The call fails if the body of the response is larger. The default is
  /// larger than any response of the store that lists keys.
  size_t MaxBodyBytes = size_t{8} * 1024 * 1024;
};

struct HttpResult {
  /// 0 if the call failed or timed out.
  int Status = 0;
  std::string Body;
  /// Keyed by lower-case name.
  std::map<std::string, std::string> Headers;
  /// Whether the call failed because the response was larger than the client
  /// accepts. The same call would fail again.
  bool IsTooLarge = false;
  /// When the last bytes arrived, by SteadyClock. A stalled process reads them
  /// later.
  TimePoint ArrivedAt{};
  /// Bytes that arrived, also if the call failed.
  size_t ReceivedBytes = 0;
};

/// Makes HTTP calls on an event loop. Hooks are called from the loop, never
/// from within \c call, and not after the client is destroyed.
class HttpClient {
public:
  using ResultHook = std::function<void(HttpResult)>;

  explicit HttpClient(EventLoop &Loop);
  ~HttpClient();

  void call(const HttpCall &Call, ResultHook OnResult);

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

/// Percent-encodes all characters of \p Text except letters, digits and
/// "-._~/".
std::string encodePath(std::string_view Text);

} // namespace indigopoint
