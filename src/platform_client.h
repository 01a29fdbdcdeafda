#pragma once

#include <functional>
#include <memory>
#include <string>

#include "engine_io.h"
#include "http_client.h"

namespace indigopoint {

/// Reads the key-value store and the list of instances of the hosting platform
/// over HTTP.
class PlatformClient {
public:
  using AnswerHook = std::function<void(StoreAnswer)>;
  using ListHook = std::function<void(InstanceListObserved)>;

  /// \p StorePrefix is the prefix of all keys that are read.
  PlatformClient(EventLoop &Loop, Endpoint Platform, std::string StorePrefix);

  /// Makes a store call. The hook is always called; if the platform does not
  /// answer, it gets a failed answer.
  void call(const StoreCall &Call, AnswerHook OnAnswer);

  /// Reads the list of instances. The hook is not called if the read fails.
  void listInstances(ListHook OnList);

private:
  Endpoint Platform;
  std::string StorePrefix;
  HttpClient Http;
};

/// Converts the platform's answer to a store call.
StoreResult toStoreResult(const HttpResult &Answer);

/// Parses the platform's list of instances. Returns false if it is malformed.
bool parseInstanceList(const std::string &Text, InstanceListObserved &Out);

} // namespace indigopoint
