#include "store_follower.h"

#include <algorithm>

#include "event_loop.h"
#include "peer_exchange.h"
#include "store_mirror.h"
#include "sync_planner.h"

namespace indigopoint {

namespace {

// How often an instance exchanges news with another one. It starts quickly, so
// that instances of a zone soon share one reader of the store.
constexpr Duration FirstContactPeriod = std::chrono::milliseconds(50);
constexpr Duration LongestContactPeriod = std::chrono::seconds(2);
constexpr Duration ContactTimeout = std::chrono::milliseconds(500);

PeerNews newsOf(const ForwarderSettings &Settings) {
  return {Settings.PeerAddress, Settings.Zone, Duration(), Settings.LinkMbps};
}

} // namespace

struct StoreFollower::State {
  State(EventLoop &Loop, const ForwarderSettings &Settings,
        StoreProtocol Protocol, EventClock &Time, EventLog &Log,
        UpdateHook OnUpdate);

  void advance();
  void schedule();
  void askStore(const StoreQuery &Query);
  void onResult(const StoreQuery &Query, StoreResult Result);
  void logStore(uint32_t FailuresBefore, StoreResult::Status Status);
  void contactPeer();
  void scheduleContact();
  Duration age() const { return Time.now() - Sync.confirmedAt(); }

  EventLoop &Loop;
  Endpoint Store;
  StoreProtocol Protocol;
  EventClock &Time;
  EventLog &Log;
  UpdateHook OnUpdate;
  RandomSource Random{randomBits()};
  HttpClient Http;
  PeerTable Peers;
  StoreSync Sync;
  SyncPlanner Planner;
  StoreMirror Mirror;
  PeerExchange Exchange;
  LoopEvent CallTimer;
  LoopEvent ContactTimer;
  Duration ContactPeriod = FirstContactPeriod;
  Calls Made;
};

StoreFollower::State::State(EventLoop &Loop, const ForwarderSettings &Settings,
                            StoreProtocol Protocol, EventClock &Time,
                            EventLog &Log, UpdateHook OnUpdate)
    : Loop(Loop), Store(Settings.Store), Protocol(std::move(Protocol)),
      Time(Time), Log(Log), OnUpdate(std::move(OnUpdate)), Http(Loop),
      Peers(newsOf(Settings), Settings.Seeds, Time, Random), Sync(Time, Random),
      Planner(
          {Settings.PeerAddress, Settings.MaxStoreAge, Settings.ChangeBound},
          Time, Peers),
      Exchange(Loop, Http, newsOf(Settings), Peers, Mirror,
               [this] { return age(); }) {}

void StoreFollower::State::advance() {
  Time.refresh();
  if (!Sync.isDue())
    return;
  const StoreQuery Query = Sync.start(Planner.next(Sync));
  if (!Query.Peer) {
    askStore(Query);
    return;
  }
  const uint64_t Known =
      Query.What == StoreQuery::Kind::Watch ? Query.AfterRevision : 0;
  Exchange.ask(*Query.Peer, Known, Query.Wait, Query.Timeout,
               [this, Query](StoreResult Result) {
                 onResult(Query, std::move(Result));
               });
}

void StoreFollower::State::askStore(const StoreQuery &Query) {
  HttpCall Call = Protocol.EncodeQuery(Query);
  Call.To = Store;
  Call.Timeout = Query.Timeout;
  Http.call(Call, [this, Query](const HttpResult &Answer) {
    onResult(Query, Protocol.DecodeResult(Query, Answer));
  });
}

void StoreFollower::State::onResult(const StoreQuery &Query,
                                    StoreResult Result) {
  Time.refresh();
  const uint32_t FailuresBefore = Sync.failures();
  const TimePoint ConfirmedBefore = Sync.confirmedAt();
  const StoreResult::Status Status = Result.What;
  const bool Answered = Status == StoreResult::Status::Answered;
  ++(Query.Peer ? (Answered ? Made.Peer : Made.PeerFailed)
                : (Answered ? Made.Store : Made.StoreFailed));
  const auto Update = Sync.onResult(std::move(Result));
  if (!Query.Peer)
    logStore(FailuresBefore, Status);
  if (Update) {
    Mirror.apply(*Update, Sync.revision());
    if (Update->endsSnapshot())
      Log.write(LogEvent::SnapshotTaken, [&] {
        return EventLog::Fields{
            {"items", Mirror.size()},
            {"revision", Sync.revision()},
            {"source", Query.Peer ? toString(*Query.Peer) : "store"}};
      });
    OnUpdate(*Update);
  }
  if (Sync.confirmedAt() > ConfirmedBefore)
    Exchange.notify();
  schedule();
}

void StoreFollower::State::schedule() {
  const Duration Delay = std::max(Duration(), Sync.wakeAt() - Time.now());
  if (Delay == Duration())
    advance();
  else
    CallTimer = LoopEvent::after(Loop, Delay, [this] { advance(); });
}

void StoreFollower::State::logStore(uint32_t FailuresBefore,
                                    StoreResult::Status Status) {
  const bool Lost = FailuresBefore == 0 && Sync.failures() == 1;
  const bool Regained = FailuresBefore > 0 && Sync.failures() == 0;
  if (Lost || Regained)
    Log.write(Lost ? LogEvent::StoreLost : LogEvent::StoreRegained, [&] {
      return EventLog::Fields{{"result", nameOf(Status)},
                              {"failures", FailuresBefore},
                              {"revision", Sync.revision()},
                              {"storeAgeMs", millisecondsOf(age())}};
    });
}

void StoreFollower::State::contactPeer() {
  Time.refresh();
  if (const auto Peer = Peers.nextContact())
    Exchange.ask(*Peer, Sync.revision(), Duration(), ContactTimeout,
                 [](const StoreResult &) {});
  // A call whose timer was missed is made here at the latest.
  advance();
  scheduleContact();
}

void StoreFollower::State::scheduleContact() {
  const Duration Delay =
      ContactPeriod / 2 + Duration(Random.below(ContactPeriod.count()));
  ContactPeriod = std::min(ContactPeriod * 2, LongestContactPeriod);
  ContactTimer = LoopEvent::after(Loop, Delay, [this] { contactPeer(); });
}

StoreFollower::StoreFollower(EventLoop &Loop, const ForwarderSettings &Settings,
                             StoreProtocol Protocol, EventClock &Time,
                             EventLog &Log, UpdateHook OnUpdate)
    : S(std::make_unique<State>(Loop, Settings, std::move(Protocol), Time, Log,
                                std::move(OnUpdate))) {}

StoreFollower::~StoreFollower() = default;

std::string StoreFollower::start() {
  if (const auto Error = S->Exchange.open())
    return "cannot listen for peers: " + Error.message() +
           "; free the address or change /peerAddress";
  S->advance();
  S->scheduleContact();
  return {};
}

void StoreFollower::reload(const ForwarderSettings &Settings) {
  S->Store = Settings.Store;
  S->Peers.setSeeds(Settings.Seeds);
}

const StoreSync &StoreFollower::sync() const { return S->Sync; }

Duration StoreFollower::age() const { return S->age(); }

const StoreFollower::Calls &StoreFollower::calls() const { return S->Made; }

size_t StoreFollower::peers() const { return S->Peers.size(); }

EventLog::Fields StoreFollower::beliefs() const {
  return {{"revision", S->Sync.revision()},
          {"storeAgeMs", millisecondsOf(S->age())}};
}

} // namespace indigopoint
