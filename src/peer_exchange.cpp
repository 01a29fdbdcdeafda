#include "peer_exchange.h"

namespace indigopoint {

namespace {

// Maximum number of entries of other instances in one answer.
constexpr size_t MaxPeerEntries = 64;

// Maximum number of pending requests; more are answered immediately.
constexpr size_t MaxPendingRequests = 512;

// Maximum number of cached answers. Peers have different revisions only for a
// short time after a change.
constexpr size_t MaxCachedChanges = 8;

} // namespace

PeerExchange::PeerExchange(EventLoop &Loop, HttpClient &Http, PeerInfo Self,
                           PeerTable &Peers, const StoreMirror &Mirror,
                           EventClock &TimeSource, Hooks StateHooks)
    : Loop(Loop), Http(Http), Server(Loop), Self(std::move(Self)), Peers(Peers),
      Mirror(Mirror), TimeSource(TimeSource),
      StateHooks(std::move(StateHooks)) {}

std::error_code PeerExchange::open() {
  if (Self.Address.Port == 0)
    return {};
  Server.route(
      "GET", PeerPath,
      [this](const HttpRequest &Call, const HttpServer::Respond &Respond) {
        onRequest(Call, Respond);
      });
  return Server.open(Self.Address);
}

void PeerExchange::onRequest(const HttpRequest &Call,
                             const HttpServer::Respond &Respond) {
  TimeSource.refresh();
  const auto Request = decodePeerRequest(Call.Query);
  if (!Request) {
    Respond(
        {400,
         "the parameters era, after, configuration, wait_ms, from, zone and "
         "link_mbps are needed",
         "text/plain"});
    return;
  }
  Peers.update(Request->Sender);
  if (IsClosing) {
    Respond({503, "this instance is stopping; ask another one", "text/plain"});
    return;
  }
  if (!Mirror.isLoaded()) {
    Respond({503, "nothing is known of the store yet", "text/plain"});
    return;
  }
  const bool HasChanges = Mirror.position() > Request->After;
  if (HasChanges || Request->Wait == Duration() ||
      PendingRequests.size() >= MaxPendingRequests) {
    answer(*Request, Respond);
    return;
  }
  PendingRequests.push_front({*Request, Respond, {}});
  PendingRequests.front().TimeoutTimer = LoopEvent::after(
      Loop, Request->Wait, [this, It = PendingRequests.begin()] {
        TimeSource.refresh();
        const PendingRequest ExpiredRequest = std::move(*It);
        PendingRequests.erase(It);
        answer(ExpiredRequest.Request, ExpiredRequest.Respond);
      });
}

// Most peers have the same revision, so the changes packed for one peer are
// reused for the others.
const PeerExchange::CompressedChanges &
PeerExchange::changesSince(StorePosition Position) {
  if (CachedPosition != Mirror.position() ||
      CachedChanges.size() >= MaxCachedChanges)
    CachedChanges.clear();
  CachedPosition = Mirror.position();
  const auto [It, Inserted] = CachedChanges.try_emplace(Position);
  if (Inserted) {
    const auto Items = Mirror.since(Position);
    It->second = {!Items, packItems(Items ? *Items : Mirror.all())};
  }
  return It->second;
}

void PeerExchange::answer(const PeerRequest &Request,
                          const HttpServer::Respond &Respond) {
  const CompressedChanges &Changes = changesSince(Request.After);
  PeerAnswer Answer;
  Answer.Changes.Position = Mirror.position();
  Answer.Changes.Age = StateHooks.DataAge();
  Answer.Changes.Complete = Changes.Complete;
  if (Request.Configuration < StateHooks.Configuration())
    Answer.Changes.Retained = Mirror.retained();
  // An instance of another era may count what was written since as lost.
  if (Request.UndecidedVersion && Request.After.Era == Mirror.position().Era)
    Answer.Changes.Lost =
        StateHooks.LostVersions.Find(*Request.UndecidedVersion);
  Answer.Peers = Peers.recentPeers(Request.Sender.Zone, MaxPeerEntries);
  Answer.Peers.push_back(Self);
  Respond({200, encodePeerAnswer(Answer, Changes.Items),
           "application/octet-stream"});
}

void PeerExchange::close() {
  IsClosing = true;
  answerPendingRequests();
}

void PeerExchange::answerPendingRequests() {
  std::list<PendingRequest> RequestsToAnswer;
  RequestsToAnswer.swap(PendingRequests);
  for (const PendingRequest &Pending : RequestsToAnswer)
    answer(Pending.Request, Pending.Respond);
}

void PeerExchange::ask(Endpoint Peer, StorePosition After, Duration Wait,
                       Timeouts Limits, AnswerHook OnAnswer) {
  HttpCall Call;
  Call.To = Peer;
  Call.Target = encodePeerRequest({After, StateHooks.Configuration(), Wait,
                                   Self, StateHooks.LostVersions.Undecided()});
  Call.IdleTimeout = Limits.Idle;
  Call.Timeout = Limits.Total;
  Http.call(Call, [this, Peer,
                   OnAnswer = std::move(OnAnswer)](const HttpResult &Result) {
    onAnswer(Peer, Result, OnAnswer);
  });
}

void PeerExchange::onAnswer(Endpoint Peer, const HttpResult &Result,
                            const AnswerHook &OnAnswer) {
  TimeSource.refresh();
  auto Answer =
      Result.Status == 200 ? decodePeerAnswer(Result.Body) : std::nullopt;
  if (!Answer) {
    Peers.recordFailure(Peer);
    OnAnswer({});
    return;
  }
  for (const PeerInfo &Entry : Answer->Peers)
    Peers.update(Entry);
  for (auto *Items : {&Answer->Changes.Items, &Answer->Changes.Retained})
    for (StoreItem &Item : *Items)
      StateHooks.LimitKeptValue(Item);
  StateHooks.LostVersions.Record(Answer->Changes.Lost);
  Answer->Changes.Age += TimeSource.now() - Result.ArrivedAt;
  OnAnswer(Answer->Changes);
}

} // namespace indigopoint
