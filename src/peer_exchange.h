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

/// Exchanges what instances know of the store and of each other over HTTP.
class PeerExchange {
public:
  /// How long ago the store confirmed what is known here.
  using AgeHook = std::function<Duration()>;
  using AnswerHook = std::function<void(StoreResult)>;

  PeerExchange(EventLoop &Loop, HttpClient &Http, PeerInfo Self,
               PeerTable &Peers, const StoreMirror &Mirror, AgeHook Age);

  /// Listens for questions. Does nothing if the own address has no port.
  std::error_code open();

  /// Asks \p Peer. The hook gets a failed result if there is no answer.
  void ask(Endpoint Peer, uint64_t AfterRevision, Duration Wait,
           Duration Timeout, AnswerHook OnAnswer);

  /// Answers the questions that wait: the store confirmed or changed
  /// something.
  void notify();

private:
  struct Waiting {
    PeerRequest Asked;
    HttpServer::Respond Answer;
    LoopEvent Limit;
  };

  /// What has changed since a revision, ready to be sent.
  struct PackedChanges {
    bool Complete = false;
    PackedItems Items;
  };

  const PackedChanges &changesSince(uint64_t Revision);
  void onRequest(const HttpRequest &Request, const HttpServer::Respond &Answer);
  void answer(const PeerRequest &Asked, const HttpServer::Respond &Answer);
  void onAnswer(Endpoint Peer, const HttpResult &Result,
                const AnswerHook &OnAnswer);

  EventLoop &Loop;
  HttpClient &Http;
  HttpServer Server;
  PeerInfo Self;
  PeerTable &Peers;
  const StoreMirror &Mirror;
  AgeHook Age;
  std::list<Waiting> PendingRequests;
  /// What was packed at NewsRevision, by the revision that the asker knew.
  std::map<uint64_t, PackedChanges> Packed;
  uint64_t NewsRevision = 0;
};

} // namespace indigopoint
