#pragma once

#include <functional>
#include <memory>

#include "engine_io.h"
#include "http_client.h"

namespace indigopoint {

/// Reads the key-value store and the list of instances of the hosting platform
/// over HTTP.
class PlatformClient {
public:
  using AnswerHook = std::function<void(StoreAnswer)>;
  using ListHook = std::function<void(InstanceListObserved)>;

  PlatformClient(EventLoop &Loop, Endpoint Platform);

  /// Makes a store call. The hook is always called; if the platform does not
  /// answer, it gets a failed answer.
  void call(const StoreCall &Call, AnswerHook OnAnswer);

  /// Reads the list of instances. The hook is not called if the read fails.
  void listInstances(ListHook OnList);

private:
  Endpoint Platform;
  HttpClient Http;
};

/// Converts the platform's answer to a store call into a StoreAnswer.
StoreAnswer toStoreAnswer(StoreCallId Call, const HttpResult &Result);

/// Parses the platform's list of instances. Returns false if it is malformed.
bool parseInstanceList(const std::string &Text, InstanceListObserved &Out);

} // namespace indigopoint
