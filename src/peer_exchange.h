#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>

#include "event_loop.h"
#include "http_client.h"
#include "http_server.h"
#include "peer_codec.h"
#include "steady_clock.h"
#include "store_mirror.h"

namespace indigopoint {

/// How instances tell each other what they knew of a configuration version
/// before the store was restored.
struct LostVersionHooks {
  /// Returns the version that other instances are asked for, if any.
  std::function<std::optional<ConfigVersion>()> Undecided = [] {
    return std::nullopt;
  };
  /// Returns what this instance knew.
  std::function<std::vector<LostConfiguration>(ConfigVersion)> Find =
      [](ConfigVersion) { return std::vector<LostConfiguration>(); };
  /// Called with what another instance knew.
  std::function<void(const std::vector<LostConfiguration> &)> Record =
      [](const std::vector<LostConfiguration> &) {};
};

/// Exchanges changes of the store and information about instances with peers
/// over HTTP.
class PeerExchange {
public:
  using AnswerHook = std::function<void(StoreResult)>;

  struct Hooks {
    /// Returns how long ago the store confirmed the data of this instance.
    std::function<Duration()> DataAge;
    /// Returns the version of the configuration in force.
    std::function<ConfigVersion()> Configuration;
    LostVersionHooks LostVersions;
    /// See StoreProtocol::LimitKeptValue. An earlier version of the program
    /// sends values as they are in the store.
    std::function<void(StoreItem &)> LimitKeptValue = [](StoreItem &) {};
  };

  PeerExchange(EventLoop &Loop, HttpClient &Http, PeerInfo Self,
               PeerTable &Peers, const StoreMirror &Mirror,
               EventClock &TimeSource, Hooks StateHooks);

  /// Listens for requests of peers. Does nothing if the own address has port 0.
  std::error_code open();

  /// The timeouts of a request; see HttpCall.
  struct Timeouts {
    Duration Total{};
    Duration Idle{};
  };

  /// Sends a request to \p Peer. The hook gets a failed result if there is no
  /// answer.
  void ask(Endpoint Peer, StorePosition After, Duration Wait, Timeouts Limits,
           AnswerHook OnAnswer);

  /// Answers all pending requests and rejects new ones, before this instance
  /// stops.
  void close();

  /// Answers all pending requests. Called when an answer confirms the data at a
  /// later time than before (see StoreSync::confirmedAt).
  void answerPendingRequests();

private:
  struct PendingRequest {
    PeerRequest Request;
    HttpServer::Respond Respond;
    LoopEvent TimeoutTimer;
  };

  /// The compressed changes since a revision.
  struct CompressedChanges {
    bool Complete = false;
    PackedItems Items;
  };

  const CompressedChanges &changesSince(StorePosition Position);
  void onRequest(const HttpRequest &Call, const HttpServer::Respond &Respond);
  void answer(const PeerRequest &Request, const HttpServer::Respond &Respond);
  void onAnswer(Endpoint Peer, const HttpResult &Result,
                const AnswerHook &OnAnswer);

  EventLoop &Loop;
  HttpClient &Http;
  HttpServer Server;
  PeerInfo Self;
  PeerTable &Peers;
  const StoreMirror &Mirror;
  EventClock &TimeSource;
  Hooks StateHooks;
  std::list<PendingRequest> PendingRequests;
  /// Changes up to CachedPosition. The key is the position that the peer has.
  std::map<StorePosition, CompressedChanges> CachedChanges;
  StorePosition CachedPosition;
  bool IsClosing = false;
};

} // namespace indigopoint
