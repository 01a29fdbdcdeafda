#include "peer_exchange.h"

namespace indigopoint {

namespace {

// Entries of other instances in one answer.
constexpr size_t MostNews = 64;

// Questions that wait at a time; more are answered at once.
constexpr size_t MostWaiting = 512;

// Packed news that are kept. Askers differ for a short time after a change.
constexpr size_t MostPacked = 8;

} // namespace

PeerExchange::PeerExchange(EventLoop &Loop, HttpClient &Http, PeerInfo Self,
                           PeerTable &Peers, const StoreMirror &Mirror,
                           AgeHook Age)
    : Loop(Loop), Http(Http), Server(Loop), Self(std::move(Self)), Peers(Peers),
      Mirror(Mirror), Age(std::move(Age)) {}

std::error_code PeerExchange::open() {
  if (Self.Address.Port == 0)
    return {};
  Server.route(
      "GET", PeerPath,
      [this](const HttpRequest &Request, const HttpServer::Respond &Answer) {
        onRequest(Request, Answer);
      });
  return Server.open(Self.Address);
}

void PeerExchange::onRequest(const HttpRequest &Request,
                             const HttpServer::Respond &Answer) {
  const auto Asked = decodePeerRequest(Request.Query);
  if (!Asked) {
    Answer({400, "the parameters after, wait_ms, from and zone are needed",
            "text/plain"});
    return;
  }
  Peers.update(Asked->Self);
  if (!Mirror.isLoaded()) {
    Answer({503, "nothing is known of the store yet", "text/plain"});
    return;
  }
  const bool HasNews = Mirror.revision() > Asked->AfterRevision;
  if (HasNews || Asked->Wait == Duration() ||
      PendingRequests.size() >= MostWaiting) {
    answer(*Asked, Answer);
    return;
  }
  PendingRequests.push_front({*Asked, Answer, {}});
  PendingRequests.front().Limit =
      LoopEvent::after(Loop, Asked->Wait, [this, At = PendingRequests.begin()] {
        const Waiting Over = std::move(*At);
        PendingRequests.erase(At);
        answer(Over.Asked, Over.Answer);
      });
}

// Most askers know the same revision, so what one is told serves the others.
const PeerExchange::PackedChanges &
PeerExchange::changesSince(uint64_t Revision) {
  if (NewsRevision != Mirror.revision() || Packed.size() >= MostPacked)
    Packed.clear();
  NewsRevision = Mirror.revision();
  const auto [At, Added] = Packed.try_emplace(Revision);
  if (Added) {
    const auto Changes = Mirror.since(Revision);
    At->second = {!Changes, packItems(Changes ? *Changes : Mirror.all())};
  }
  return At->second;
}

void PeerExchange::answer(const PeerRequest &Asked,
                          const HttpServer::Respond &Answer) {
  const PackedChanges &Known = changesSince(Asked.AfterRevision);
  PeerAnswer Told;
  Told.Changes.Revision = Mirror.revision();
  Told.Changes.Age = Age();
  Told.Changes.Complete = Known.Complete;
  Told.Peers = Peers.recentPeers(Asked.Self.Zone, MostNews);
  Told.Peers.push_back(Self);
  Answer(
      {200, encodePeerAnswer(Told, Known.Items), "application/octet-stream"});
}

void PeerExchange::notify() {
  std::list<Waiting> Ready;
  Ready.swap(PendingRequests);
  for (const Waiting &Each : Ready)
    answer(Each.Asked, Each.Answer);
}

void PeerExchange::ask(Endpoint Peer, uint64_t AfterRevision, Duration Wait,
                       Duration Timeout, AnswerHook OnAnswer) {
  HttpCall Call;
  Call.To = Peer;
  Call.Target = encodePeerRequest({AfterRevision, Wait, Self});
  Call.Timeout = Timeout;
  Http.call(Call, [this, Peer,
                   OnAnswer = std::move(OnAnswer)](const HttpResult &Result) {
    onAnswer(Peer, Result, OnAnswer);
  });
}

void PeerExchange::onAnswer(Endpoint Peer, const HttpResult &Result,
                            const AnswerHook &OnAnswer) {
  const auto Told =
      Result.Status == 200 ? decodePeerAnswer(Result.Body) : std::nullopt;
  if (!Told) {
    Peers.recordFailure(Peer);
    OnAnswer({});
    return;
  }
  for (const PeerInfo &Each : Told->Peers)
    Peers.update(Each);
  OnAnswer(Told->Changes);
}

} // namespace indigopoint
