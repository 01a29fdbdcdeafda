#include "config_follower.h"

#include <utility>

#include "blackboard.h"

namespace indigopoint {

namespace {

constexpr std::string_view Component = "configuration";
constexpr std::chrono::seconds WatchWait(10);
// Minimum time between two watches, in case the store answers a watch
// immediately although nothing changed.
constexpr std::chrono::seconds MinWatchInterval(1);
// With the jitter of retries, calls during an outage are 10 s to 30 s apart.
constexpr RetryDelays Retries{std::chrono::milliseconds(500),
                              std::chrono::seconds(20)};

} // namespace

ConfigFollower::ConfigFollower(Blackboard &Board)
    : Board(Board), Assembler(Board.Settings.StorePrefix) {}

void ConfigFollower::onTick(ActionSink &Sink) {
  if (IsCallPending && Board.now() >= GiveUpAt)
    endCall({}, Sink);
  if (IsCallPending)
    return;
  if (CurrentRole == Role::None) {
    // The items of a large configuration take several megabytes.
    Sync.reset();
    Mirror = StoreMirror();
  } else if (Board.now() >= NextCallAt) {
    startCall(Sink);
  }
}

void ConfigFollower::startCall(ActionSink &Sink) {
  if (!Sync)
    Sync.emplace(Board.TimeSource, Board.Random, Duration(), Retries);
  if (!Sync->isDue())
    return;
  const Duration Wait = CurrentRole == Role::Follow ? WatchWait : Duration();
  StoreQuery Query = Sync->start({std::nullopt, Wait});
  IsCallPending = true;
  CalledAt = Board.now();
  GiveUpAt = CalledAt + Query.Timeout;
  Sink.call({StoreCallId(++LastCallId), std::move(Query)});
}

void ConfigFollower::onAnswer(const StoreAnswer &Answer, ActionSink &Sink) {
  // An answer that arrives after the timeout of its call is ignored.
  if (IsCallPending && Answer.Call.value() == LastCallId)
    endCall(Answer.Result, Sink);
}

void ConfigFollower::endCall(StoreResult Result, ActionSink &Sink) {
  IsCallPending = false;
  std::string Reason = "the store failed to answer";
  if (isOutdated(Result)) {
    Reason = "rejected revision " + std::to_string(Result.Position.Revision) +
             " of the store, revision " +
             std::to_string(Sync->position().Revision) + " was read before";
    Result = {};
  } else if (!Result.Problem.empty()) {
    Reason += ": " + Result.Problem;
  }
  const auto Update = Sync->onResult(std::move(Result));
  if (Sync->failures() > 0)
    return logFailure(Reason, Sink);
  if (!Update) {
    NextCallAt = CalledAt + MinWatchInterval;
    return;
  }
  Mirror.apply(*Update, Sync->position());
  HasUnreadItems = Mirror.isLoaded();
  if (CurrentRole == Role::ReadOnce && Sync->isSnapshotLoaded())
    CurrentRole = Role::None;
}

bool ConfigFollower::isOutdated(const StoreResult &Result) const {
  const StorePosition Known = Sync->position();
  return Result.ResultStatus == StoreResult::Status::Answered &&
         Result.Position.Era == Known.Era &&
         Result.Position.Revision < Known.Revision;
}

void ConfigFollower::logFailure(const std::string &Reason,
                                ActionSink &Sink) const {
  Sink.log(
      LogLevel::Warning, Component,
      Reason + "; next call in " +
          std::to_string(millisecondsOf(Sync->nextCallAt() - Board.now())) +
          " ms");
}

std::optional<NewerConfig> ConfigFollower::nextConfig(ActionSink &Sink) {
  const ConfigVersion Current = Board.Config.Version;
  if (!Mirror.isLoaded() || (!HasUnreadItems && Current == LastReadVersion))
    return std::nullopt;
  // A new instance needs the snapshot. All others first look for the next
  // change, and for a snapshot only if there is no next change.
  const bool IsNew = Current == ConfigVersion();
  for (const bool FromSnapshot : {IsNew, !IsNew}) {
    if (FromSnapshot)
      Assembler.startWithSnapshot();
    else
      Assembler.startWithNextChange();
    if (auto Config = assemble(Sink))
      return Config;
  }
  HasUnreadItems = false;
  LastReadVersion = Current;
  return std::nullopt;
}

std::optional<NewerConfig> ConfigFollower::assemble(ActionSink &Sink) {
  using Result = ConfigAssembler::Result;
  const ConfigVersion Current = Board.Config.Version;
  Result Read;
  std::string Key;
  while (Read.ResultKind == Result::Kind::Incomplete) {
    Key = Assembler.nextKey(Current);
    const StoreItem *Item = Mirror.find(Key);
    Read = Item == nullptr ? Assembler.onMissing()
                           : Assembler.onFound(Item->Value, Current);
  }
  if (Read.ResultKind == Result::Kind::Malformed)
    reject(Key, Read.Problem, Sink);
  return std::move(Read.Config);
}

void ConfigFollower::reject(const std::string &Key, const std::string &Reason,
                            ActionSink &Sink) {
  std::string Text = "rejected " + Key + ": " + Reason;
  if (Text == LastRejection)
    return;
  LastRejection = Text;
  Sink.log(LogLevel::Warning, Component, std::move(Text));
}

} // namespace indigopoint
