#pragma once

#include <atomic>
#include <functional>
#include <thread>

#include "event_loop.h"
#include "http_server.h"
#include "udp_endpoint.h"
#include "wire_codec.h"

namespace indigopoint {

constexpr Endpoint AnyPort{0x7f000001, 0};

/// Runs an event loop on a dedicated thread.
class LoopThread {
public:
  /// Calls \p Start on the thread before the loop runs. The returned object is
  /// kept alive until the loop has ended.
  explicit LoopThread(std::function<std::shared_ptr<void>(EventLoop &)> Start);
  ~LoopThread();

  /// CPU time of the thread, at most 10 ms old.
  Duration cpuTime() const { return Duration(CpuMicroseconds.load()); }

private:
  void run(const std::function<std::shared_ptr<void>(EventLoop &)> &Start);

  std::atomic<bool> Stopping = false;
  std::atomic<bool> Started = false;
  std::atomic<int64_t> CpuMicroseconds = 0;
  std::thread Thread;
};

/// An upstream that echoes the payload of each Dispatch, and of each Request
/// that arrives through a bare forwarder.
class AnsweringUpstream {
public:
  explicit AnsweringUpstream(EventLoop &Loop);
  Endpoint address() const { return Socket.address(); }

private:
  void answer(Endpoint From, std::string_view Bytes);

  UdpEndpoint Socket{MaxDatagramBytes};
};

/// Forwards datagrams between one caller and one upstream without decoding
/// them. It uses the same batched socket as an instance, so that only the
/// processing of the datagrams differs.
class BareForwarder {
public:
  BareForwarder(EventLoop &Loop, Endpoint Upstream);
  Endpoint address() const { return Socket.address(); }

private:
  void forward(Endpoint From, std::string_view Bytes);

  UdpEndpoint Socket{MaxDatagramBytes};
  Endpoint Upstream;
  Endpoint Caller;
};

/// Answers an instance's store calls with a configuration of one service and
/// one upstream without a queue limit.
class OneServicePlatform {
public:
  OneServicePlatform(EventLoop &Loop, Endpoint Upstream);
  Endpoint address() const { return Http.address(); }

private:
  HttpServer Http;
  std::vector<HttpServer::Respond> WaitingReplies;
};

} // namespace indigopoint
