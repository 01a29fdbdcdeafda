#pragma once

#include <functional>
#include <list>
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

  PeerExchange(EventLoop &Loop, HttpClient &Http, PeerNews Self,
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
    PeerQuestion Asked;
    HttpServer::Respond Answer;
    LoopEvent Limit;
  };

  void onQuestion(const HttpRequest &Request,
                  const HttpServer::Respond &Answer);
  void answer(const PeerQuestion &Asked, const HttpServer::Respond &Answer);
  void onAnswer(Endpoint Peer, const HttpResult &Result,
                const AnswerHook &OnAnswer);

  EventLoop &Loop;
  HttpClient &Http;
  HttpServer Server;
  PeerNews Self;
  PeerTable &Peers;
  const StoreMirror &Mirror;
  AgeHook Age;
  std::list<Waiting> Questions;
};

} // namespace indigopoint
