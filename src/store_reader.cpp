#include "store_reader.h"

#include <algorithm>
#include <utility>

#include "blackboard.h"

namespace indigopoint {

namespace {

constexpr std::string_view Component = "configuration";
constexpr std::chrono::seconds WatchWait(10);
// A call times out this long after the end of its wait.
constexpr std::chrono::seconds AnswerTimeout(5);
constexpr std::chrono::milliseconds FirstBackOff(500);
constexpr std::chrono::seconds MaxBackOff(30);
// Minimum time between two watches, in case the store answers a watch
// immediately although nothing changed.
constexpr std::chrono::seconds MinWatchInterval(1);
// The next change may have been deleted after a snapshot. A watch on its key
// would then never return a change, so the snapshot is checked once a minute.
constexpr uint32_t WatchesPerSnapshotCheck = 6;

} // namespace

StoreReader::StoreReader(Blackboard &Board)
    : Board(Board), Assembler(Board.Settings.StorePrefix) {}

void StoreReader::setRole(Role NewRole) {
  if (NewRole == CurrentRole)
    return;
  // The step of a pending call must not change: the answer is processed
  // according to it.
  if (CurrentRole == Role::None && !IsCallPending)
    restart();
  CurrentRole = NewRole;
}

void StoreReader::restart() {
  // A new instance needs the snapshot. All other instances first look for the
  // next change, and for a snapshot only if there is no next change.
  HasReadHeader = false;
  IsWatching = false;
  WatchesWithoutChange = 0;
  if (Board.Config.Version == ConfigVersion())
    Assembler.startWithSnapshot();
  else
    Assembler.startWithNextChange();
}

void StoreReader::onTick(ActionSink &Sink) {
  if (IsCallPending && Board.now() >= GiveUpAt) {
    IsCallPending = false;
    fail("no answer from the store for " + Key, Sink);
  }
  if (!IsCallPending && CurrentRole != Role::None && Board.now() >= NextCallAt)
    startStep(Sink);
}

// A watch is answered immediately if the change already exists. In the role
// ReadOnce, the reader must not wait for a further change.
void StoreReader::startStep(ActionSink &Sink) {
  const std::string &NextKey = Assembler.nextKey(Board.Config.Version);
  if (!IsWatching)
    call(StoreCallKind::Get, NextKey, {}, Sink);
  else if (CurrentRole == Role::ReadOnce)
    CurrentRole = Role::None;
  else
    call(StoreCallKind::Watch, NextKey, WatchWait, Sink);
}

void StoreReader::call(StoreCallKind Kind, std::string NewKey, Duration Wait,
                       ActionSink &Sink) {
  IsCallPending = true;
  Key = std::move(NewKey);
  CalledAt = Board.now();
  GiveUpAt = CalledAt + Wait + AnswerTimeout;
  Sink.call({StoreCallId(++LastCallId), Kind, Key, 0, Wait});
}

void StoreReader::fail(const std::string &Reason, ActionSink &Sink) {
  // The jitter prevents all readers from calling at the same time when the
  // store is reachable again.
  const Duration Base =
      Failures < 5 ? Duration(FirstBackOff * (1U << Failures)) : MaxBackOff / 2;
  const Duration Delay(static_cast<int64_t>(static_cast<double>(Base.count()) *
                                            (1 + Board.Random.fraction())));
  ++Failures;
  NextCallAt = Board.now() + Delay;
  restart();
  Sink.log(LogLevel::Warning, Component,
           Reason + "; next call in " + std::to_string(Delay.count() / 1000) +
               " ms");
}

std::optional<NewerConfig> StoreReader::onAnswer(const StoreAnswer &Answer,
                                                 ActionSink &Sink) {
  // An answer that arrives after the timeout of its call is ignored.
  if (!IsCallPending || Answer.Call.value() != LastCallId)
    return std::nullopt;
  IsCallPending = false;
  Answered = true;
  if (Answer.Status == StoreStatus::Failed) {
    fail("the store failed to answer for " + Key, Sink);
    return std::nullopt;
  }
  if (Answer.Status == StoreStatus::Found) {
    if (rejectOldRevision(Answer, Sink))
      return std::nullopt;
    return onFound(Answer, Sink);
  }
  onMissing(Sink);
  return std::nullopt;
}

bool StoreReader::rejectOldRevision(const StoreAnswer &Answer,
                                    ActionSink &Sink) {
  uint64_t *LastRevision = nullptr;
  if (Assembler.step() == ConfigAssembler::Step::SnapshotHeader) {
    LastRevision = &HeaderRevision;
  } else if (Assembler.step() == ConfigAssembler::Step::NextChange) {
    if (Key != LastChangeKey)
      ChangeRevision = 0;
    LastChangeKey = Key;
    LastRevision = &ChangeRevision;
  }
  if (LastRevision == nullptr || Answer.Revision >= *LastRevision) {
    if (LastRevision != nullptr)
      *LastRevision = Answer.Revision;
    return false;
  }
  fail("rejected revision " + std::to_string(Answer.Revision) + " of " + Key +
           ", revision " + std::to_string(*LastRevision) + " was read before",
       Sink);
  return true;
}

std::optional<NewerConfig> StoreReader::onFound(const StoreAnswer &Answer,
                                                ActionSink &Sink) {
  const bool IsHeader =
      Assembler.step() == ConfigAssembler::Step::SnapshotHeader;
  ConfigAssembler::Result Read =
      Assembler.onFound(Answer.Value, Board.Config.Version);
  if (Read.ResultKind == ConfigAssembler::Result::Kind::Malformed) {
    fail("rejected " + Key + ": " + Read.Problem, Sink);
    return std::nullopt;
  }
  const bool IsIncomplete =
      Read.ResultKind == ConfigAssembler::Result::Kind::Incomplete;
  if (IsIncomplete)
    // A part exists before the key that refers to it, so it is not watched for.
    IsWatching = false;
  else
    Failures = 0;
  if (IsHeader && IsIncomplete)
    HasReadHeader = true;
  else if (IsHeader)
    onSnapshotRead();
  else if (Read.Config)
    IsWatching = mayWatch();
  return std::move(Read.Config);
}

void StoreReader::onSnapshotRead() {
  HasReadHeader = true;
  WatchesWithoutChange = 0;
  IsWatching = mayWatch();
}

void StoreReader::onMissing(ActionSink &Sink) {
  const bool IsHeader =
      Assembler.step() == ConfigAssembler::Step::SnapshotHeader;
  const ConfigAssembler::Result Read = Assembler.onMissing();
  if (Read.ResultKind == ConfigAssembler::Result::Kind::Malformed)
    return fail("rejected " + Key + ": " + Read.Problem, Sink);
  Failures = 0;
  if (IsHeader)
    return onSnapshotRead();
  if (!IsWatching) {
    IsWatching = HasReadHeader;
    if (!HasReadHeader)
      Assembler.startWithSnapshot();
    return;
  }
  NextCallAt = std::max(NextCallAt, CalledAt + MinWatchInterval);
  if (++WatchesWithoutChange < WatchesPerSnapshotCheck)
    return;
  IsWatching = false;
  Assembler.startWithSnapshot();
}

} // namespace indigopoint
