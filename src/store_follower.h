#pragma once

#include <functional>
#include <memory>
#include <string>

#include "event_log.h"
#include "forwarder_settings.h"
#include "http_client.h"
#include "random_source.h"
#include "steady_clock.h"
#include "store_sync.h"

namespace indigopoint {

class EventLoop;

/// How calls to the store look on the wire.
struct StoreProtocol {
  std::function<HttpCall(const StoreQuery &)> EncodeQuery;
  std::function<StoreResult(const StoreQuery &, const HttpResult &)>
      DecodeResult;
};

/// Follows the store, directly or through other instances, and lets other
/// instances follow it through this one.
class StoreFollower {
public:
  using UpdateHook = std::function<void(const StoreSync::Update &)>;

  StoreFollower(EventLoop &Loop, const ForwarderSettings &Settings,
                StoreProtocol Protocol, EventClock &TimeSource, EventLog &Log,
                UpdateHook OnUpdate);
  ~StoreFollower();

  /// Listens for peers and starts to follow. Returns what failed; empty if
  /// nothing did.
  std::string start();

  /// Puts changed settings in force; addresses of sockets stay.
  void reload(const ForwarderSettings &Settings);

  const StoreSync &sync() const;

  /// Other instances that were heard of lately.
  size_t peerCount() const;

  /// How long ago the store confirmed what is known.
  Duration age() const;

  /// Calls by target and result.
  struct Calls {
    uint64_t Store = 0;
    uint64_t StoreFailed = 0;
    uint64_t Peer = 0;
    uint64_t PeerFailed = 0;
  };
  const Calls &calls() const;

  /// Revision and age of what is known, for the log.
  EventLog::Fields storeStateFields() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
