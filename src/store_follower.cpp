#include "store_follower.h"

#include <algorithm>
#include <cmath>

#include "event_loop.h"
#include "memory_usage.h"
#include "sync_planner.h"

namespace indigopoint {

namespace {

// How often an instance exchanges peer information with another one. The first
// exchanges follow each other quickly, so that the instances of a zone soon
// agree on one reader of the store.
constexpr Duration FirstContactPeriod = std::chrono::milliseconds(50);
constexpr Duration MaxContactPeriod = std::chrono::seconds(2);
constexpr Duration ContactTimeout = std::chrono::milliseconds(500);

// What such an answer takes while it is read is worth returning to the system.
// A page of 500 registrations is smaller.
constexpr size_t LargeAnswerBytes = size_t{512} * 1024;

Duration delayAfterChange(const ForwarderSettings &Settings) {
  return std::chrono::duration_cast<Duration>(
      Settings.ChangeBound *
      Settings.Policy.StoreSharing.DelayAfterChangeShare);
}

// Instances exchange whole numbers. A slow link must not become 0, which stands
// for an unknown rate.
PeerInfo ownPeerInfo(const ForwarderSettings &Settings) {
  return {Settings.PeerAddress, Settings.Zone, Duration(),
          static_cast<uint32_t>(std::ceil(Settings.LinkMbps))};
}

} // namespace

struct StoreFollower::Impl {
  Impl(EventLoop &Loop, const ForwarderSettings &Settings,
       StoreProtocol Protocol, EventClock &TimeSource, EventLog &Log,
       Hooks StateHooks);

  void startCallIfDue();
  void schedule();
  void askStore(const StoreQuery &Query);
  void onResult(const StoreQuery &Query, uint64_t CallNumber,
                StoreResult Result);
  void applyUpdate(const StoreSync::Update &Update);
  void applyRetained(const StoreResult &Result);
  void logRestoration(StorePosition PositionBefore);
  /// How the last call ended, for the log.
  struct CallOutcome {
    StoreResult::Status Status;
    std::string Problem;
    Duration Time;
    size_t ReceivedBytes;
  };
  void logReachability(uint32_t FailuresBefore, const CallOutcome &Outcome);
  void contactPeer();
  void scheduleContact();
  Duration dataAge() const { return TimeSource.now() - Sync.confirmedAt(); }

  EventLoop &Loop;
  const std::string Zone;
  Endpoint Store;
  StoreProtocol Protocol;
  EventClock &TimeSource;
  EventLog &Log;
  Hooks StateHooks;
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
  Calls CallCounts;
  /// Number of the last call. Results of earlier calls are ignored.
  uint64_t LastCall = 0;
  TimePoint LastCallStart{};
  uint64_t Restorations = 0;
};

StoreFollower::Impl::Impl(EventLoop &Loop, const ForwarderSettings &Settings,
                          StoreProtocol Protocol, EventClock &TimeSource,
                          EventLog &Log, Hooks StateHooks)
    : Loop(Loop), Zone(Settings.Zone), Store(Settings.Store),
      Protocol(std::move(Protocol)), TimeSource(TimeSource), Log(Log),
      StateHooks(std::move(StateHooks)), Http(Loop),
      Peers(ownPeerInfo(Settings), Settings.Seeds, TimeSource, Random),
      Sync(TimeSource, Random, delayAfterChange(Settings)),
      Planner({Settings.PeerAddress, Settings.MaxStoreAge, Settings.ChangeBound,
               Settings.Policy.StoreSharing},
              TimeSource, Peers),
      Mirror(this->StateHooks.Supersedes),
      Exchange(Loop, Http, ownPeerInfo(Settings), Peers, Mirror, TimeSource,
               {[this] { return dataAge(); },
                [this] { return this->StateHooks.Configuration(); },
                this->StateHooks.LostVersions, this->Protocol.LimitKeptValue}) {
}

void StoreFollower::Impl::startCallIfDue() {
  TimeSource.refresh();
  if (Sync.isCallPending())
    return;
  // A timer counts from the begin of the loop's iteration, so it fires too
  // early by the time that the decoding of a large answer took.
  if (!Sync.isDue()) {
    schedule();
    return;
  }
  LastCallStart = TimeSource.now();
  const StoreQuery Query = Sync.start(Planner.next(Sync));
  if (!Query.Peer) {
    askStore(Query);
    return;
  }
  const StorePosition After{Sync.position().Era, Query.AfterRevision};
  Exchange.ask(*Query.Peer, After, Query.Wait,
               {Query.Timeout, Query.IdleTimeout},
               [this, Query, Call = ++LastCall](StoreResult Result) {
                 onResult(Query, Call, std::move(Result));
               });
}

void StoreFollower::Impl::askStore(const StoreQuery &Query) {
  HttpCall Call = Protocol.EncodeQuery(Query);
  Call.To = Store;
  Call.IdleTimeout = Query.IdleTimeout;
  Call.Timeout = Query.Timeout;
  Http.call(Call, [this, Query, CallNumber = ++LastCall](HttpResult Answer) {
    StoreResult Result = Protocol.DecodeResult(Query, Answer);
    // The items have what is used of it.
    Answer.Body = std::string();
    TimeSource.refresh();
    Result.Age = TimeSource.now() - Answer.ArrivedAt;
    Result.ReceivedBytes = Answer.ReceivedBytes;
    onResult(Query, CallNumber, std::move(Result));
    if (Answer.ReceivedBytes >= LargeAnswerBytes)
      releaseFreeMemory();
  });
}

void StoreFollower::Impl::onResult(const StoreQuery &Query, uint64_t CallNumber,
                                   StoreResult Result) {
  if (CallNumber != LastCall)
    return;
  TimeSource.refresh();
  const uint32_t FailuresBefore = Sync.failures();
  const TimePoint ConfirmedBefore = Sync.confirmedAt();
  const StorePosition PositionBefore = Sync.position();
  const StoreResult::Status Status = Result.ResultStatus;
  const bool Answered = Status == StoreResult::Status::Answered;
  ++(Query.Peer ? (Answered ? CallCounts.Peer : CallCounts.PeerFailed)
                : (Answered ? CallCounts.Store : CallCounts.StoreFailed));
  StoreResult RetainedItems;
  RetainedItems.Position = Result.Position;
  RetainedItems.Retained = std::move(Result.Retained);
  const CallOutcome Outcome{Status, Result.Problem,
                            TimeSource.now() - LastCallStart,
                            Result.ReceivedBytes};
  const auto Update = Sync.onResult(std::move(Result));
  logReachability(FailuresBefore, Outcome);
  logRestoration(PositionBefore);
  if (Update) {
    applyUpdate(*Update);
    if (Update->endsSnapshot())
      Log.write(LogEvent::SnapshotTaken, [&] {
        return EventLog::Fields{
            {"items", Mirror.size()},
            {"era", Sync.position().Era},
            {"revision", Sync.position().Revision},
            {"source", Query.Peer ? toString(*Query.Peer) : "store"}};
      });
  }
  applyRetained(RetainedItems);
  if (Sync.confirmedAt() > ConfirmedBefore)
    Exchange.answerPendingRequests();
  schedule();
}

void StoreFollower::Impl::applyUpdate(const StoreSync::Update &Update) {
  const auto UndecidedBefore = StateHooks.LostVersions.Undecided();
  Mirror.apply(Update, Sync.position());
  StateHooks.OnUpdate(Update);
  const auto Undecided = StateHooks.LostVersions.Undecided();
  if (!Undecided || Undecided == UndecidedBefore)
    return;
  // The others are asked at once.
  ContactPeriod = FirstContactPeriod;
  scheduleContact();
}

void StoreFollower::Impl::applyRetained(const StoreResult &Result) {
  if (!Result.Retained.empty() && Result.Position.Era == Sync.position().Era)
    applyUpdate({StoreSync::Update::Content::Retained, Result.Retained});
}

// The first era after the start is no restoration.
void StoreFollower::Impl::logRestoration(StorePosition PositionBefore) {
  if (Sync.position().Era == PositionBefore.Era ||
      PositionBefore == StorePosition())
    return;
  ++Restorations;
  Log.write(LogEvent::StoreRestored, [&] {
    return EventLog::Fields{{"eraBefore", PositionBefore.Era},
                            {"revisionBefore", PositionBefore.Revision},
                            {"era", Sync.position().Era},
                            {"revision", Sync.position().Revision}};
  });
}

void StoreFollower::Impl::schedule() {
  const Duration Delay =
      std::max(Duration(), Sync.nextCallAt() - TimeSource.now());
  if (Delay == Duration())
    startCallIfDue();
  else
    CallTimer = LoopEvent::after(Loop, Delay, [this] { startCallIfDue(); });
}

void StoreFollower::Impl::logReachability(uint32_t FailuresBefore,
                                          const CallOutcome &Outcome) {
  const bool BecameUnreachable = FailuresBefore == 0 && Sync.failures() == 1;
  const bool BecameReachable = FailuresBefore > 0 && Sync.failures() == 0;
  if (BecameUnreachable || BecameReachable)
    Log.write(
        BecameUnreachable ? LogEvent::StoreLost : LogEvent::StoreRegained, [&] {
          EventLog::Fields Line = {{"result", nameOf(Outcome.Status)},
                                   {"failures", FailuresBefore},
                                   {"revision", Sync.position().Revision},
                                   {"storeAgeMs", millisecondsOf(dataAge())}};
          if (BecameUnreachable) {
            Line["callMs"] = millisecondsOf(Outcome.Time);
            Line["receivedBytes"] = Outcome.ReceivedBytes;
            Line["lateMs"] = millisecondsOf(StateHooks.Lateness());
          }
          if (!Outcome.Problem.empty())
            Line["problem"] = Outcome.Problem;
          return Line;
        });
}

void StoreFollower::Impl::contactPeer() {
  TimeSource.refresh();
  if (const auto Peer = Peers.nextContact())
    Exchange.ask(*Peer, Sync.position(), Duration(), {ContactTimeout},
                 [this](const StoreResult &Result) { applyRetained(Result); });
  // Makes a due call whose timer did not fire.
  startCallIfDue();
  scheduleContact();
}

void StoreFollower::Impl::scheduleContact() {
  const Duration Delay =
      ContactPeriod / 2 + Duration(Random.below(ContactPeriod.count()));
  ContactPeriod = std::min(ContactPeriod * 2, MaxContactPeriod);
  ContactTimer = LoopEvent::after(Loop, Delay, [this] { contactPeer(); });
}

StoreFollower::StoreFollower(EventLoop &Loop, const ForwarderSettings &Settings,
                             StoreProtocol Protocol, EventClock &TimeSource,
                             EventLog &Log, Hooks StateHooks)
    : PImpl(std::make_unique<Impl>(Loop, Settings, std::move(Protocol),
                                   TimeSource, Log, std::move(StateHooks))) {}

StoreFollower::~StoreFollower() = default;

std::string StoreFollower::start() {
  if (const auto Error = PImpl->Exchange.open())
    return "cannot listen for peers: " + Error.message() +
           "; free the address or change the setting "
           "/peerAddress";
  PImpl->startCallIfDue();
  PImpl->scheduleContact();
  return {};
}

void StoreFollower::reload(const ForwarderSettings &Settings) {
  PImpl->Store = Settings.Store;
  PImpl->Peers.setSeeds(Settings.Seeds);
}

void StoreFollower::confirmNow() {
  ++PImpl->LastCall;
  PImpl->Sync.abandonCall();
  PImpl->startCallIfDue();
}

void StoreFollower::stop() { PImpl->Exchange.close(); }

const StoreSync &StoreFollower::sync() const { return PImpl->Sync; }

Duration StoreFollower::dataAge() const { return PImpl->dataAge(); }

const StoreFollower::Calls &StoreFollower::calls() const {
  return PImpl->CallCounts;
}

uint64_t StoreFollower::restorations() const { return PImpl->Restorations; }

size_t StoreFollower::peerCount() const { return PImpl->Peers.size(); }

std::vector<Endpoint> StoreFollower::recentPeersInZone() const {
  std::vector<Endpoint> Out;
  for (const PeerInfo &Peer :
       PImpl->Peers.recentPeers(PImpl->Zone, PImpl->Peers.size()))
    if (Peer.Zone == PImpl->Zone)
      Out.push_back(Peer.Address);
  return Out;
}

Duration StoreFollower::maxUsualAge() const {
  return PImpl->Planner.maxUsualAge();
}

std::vector<Endpoint> StoreFollower::membersOf(const std::string &Zone) const {
  return PImpl->Peers.membersOf(Zone);
}

EventLog::Fields StoreFollower::storeStateFields() const {
  return {{"era", PImpl->Sync.position().Era},
          {"revision", PImpl->Sync.position().Revision},
          {"storeAgeMs", millisecondsOf(PImpl->dataAge())}};
}

} // namespace indigopoint
