#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>

#include "event_loop.h"
#include "http_client.h"
#include "http_server.h"
#include "peer_codec.h"
#include "store_mirror.h"

namespace indigopoint {

/// Exchanges changes of the store and entries of instances with peers over
/// HTTP.
class PeerExchange {
public:
  /// Returns how long ago the store confirmed the data of this instance.
  using AgeHook = std::function<Duration()>;
  using AnswerHook = std::function<void(StoreResult)>;

  PeerExchange(EventLoop &Loop, HttpClient &Http, PeerInfo Self,
               PeerTable &Peers, const StoreMirror &Mirror, AgeHook Age);

  /// Listens for requests of peers. Does nothing if the own address has port 0.
  std::error_code open();

  /// Sends a request to \p Peer. The hook gets a failed result if there is no
  /// answer.
  void ask(Endpoint Peer, uint64_t AfterRevision, Duration Wait,
           Duration Timeout, AnswerHook OnAnswer);

  /// Answers all pending requests. Called when the store confirmed or changed
  /// data.
  void answerPendingRequests();

private:
  struct PendingRequest {
    PeerRequest Request;
    HttpServer::Respond Respond;
    LoopEvent TimeoutTimer;
  };

  /// The compressed changes since a revision.
  struct PackedChanges {
    bool Complete = false;
    PackedItems Items;
  };

  const PackedChanges &changesSince(uint64_t Revision);
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
  AgeHook Age;
  std::list<PendingRequest> PendingRequests;
  /// Changes up to PackedRevision, by the revision after which they start.
  std::map<uint64_t, PackedChanges> CachedChanges;
  uint64_t PackedRevision = 0;
};

} // namespace indigopoint
