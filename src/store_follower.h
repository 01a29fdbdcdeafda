#pragma once

#include <functional>
#include <memory>
#include <string>

#include "event_log.h"
#include "forwarder_settings.h"
#include "http_client.h"
#include "peer_exchange.h"
#include "random_source.h"
#include "steady_clock.h"
#include "store_mirror.h"
#include "store_sync.h"

namespace indigopoint {

class EventLoop;

/// Encodes calls to the store and decodes their answers.
struct StoreProtocol {
  std::function<HttpCall(const StoreQuery &)> EncodeQuery;
  std::function<StoreResult(const StoreQuery &, const HttpResult &)>
      DecodeResult;
  /// Reduces the value of an item of another instance to what is kept of it.
  /// DecodeResult has done so with its items.
  std::function<void(StoreItem &)> LimitKeptValue = [](StoreItem &) {};
};

/// Follows the changes of the store, directly or through other instances, and
/// forwards them to instances that request them.
class StoreFollower {
public:
  struct Hooks {
    std::function<void(const StoreSync::Update &)> OnUpdate;
    /// Returns the version of the configuration in force.
    std::function<ConfigVersion()> Configuration;
    StoreMirror::SupersedesHook Supersedes;
    /// Returns how late timers of the process fired lately.
    std::function<Duration()> Lateness = [] { return Duration(); };
    LostVersionHooks LostVersions{};
  };

  StoreFollower(EventLoop &Loop, const ForwarderSettings &Settings,
                StoreProtocol Protocol, EventClock &TimeSource, EventLog &Log,
                Hooks StateHooks);
  ~StoreFollower();

  /// Listens for peers and starts to follow the store. Returns an error
  /// message, or an empty string on success.
  std::string start();

  /// Applies changed settings, except listening addresses.
  void reload(const ForwarderSettings &Settings);

  /// Has the current data confirmed at once, after a pause of the process. A
  /// call that was pending may not be answered any more.
  void confirmNow();

  /// Answers instances that wait for changes, before this one stops.
  void stop();

  const StoreSync &sync() const;

  /// Returns the number of other instances that were recently heard from.
  size_t peerCount() const;

  /// Returns the peer addresses of the other instances of the own zone that
  /// were recently heard from.
  std::vector<Endpoint> recentPeersInZone() const;

  /// See PeerTable::membersOf.
  std::vector<Endpoint> membersOf(const std::string &Zone) const;

  /// See SyncPlanner::maxUsualAge.
  Duration maxUsualAge() const;

  /// Returns how long ago the store confirmed the current data.
  Duration dataAge() const;

  /// Numbers of calls by target and result.
  struct Calls {
    uint64_t Store = 0;
    uint64_t StoreFailed = 0;
    uint64_t Peer = 0;
    uint64_t PeerFailed = 0;
  };
  const Calls &calls() const;

  /// Returns how often the store was restored from an older copy since the
  /// start.
  uint64_t restorations() const;

  /// Returns the position and the age of the current data, for the log.
  EventLog::Fields storeStateFields() const;

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace indigopoint
