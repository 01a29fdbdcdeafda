#include "store_reader.h"

#include <algorithm>
#include <utility>

#include "blackboard.h"
#include "config_codec.h"

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
// A value with a higher number of parts is malformed: at 900 KB per part, this
// number exceeds any configuration that the instances accept.
constexpr uint32_t MaxParts = 64;

} // namespace

void StoreReader::setRole(Role NewRole) {
  if (NewRole == CurrentRole)
    return;
  // The step of a pending call must not change: the answer is processed
  // according to it.
  if (CurrentRole == Role::None && !IsCallPending)
    restart();
  CurrentRole = NewRole;
}

// A watch is answered immediately if the change already exists. In the role
// ReadOnce, the reader must not wait for a further change.
StoreReader::Step StoreReader::nextStep() const {
  return CurrentRole == Role::Follow && HasReadHeader ? Step::Watch
                                                      : Step::NextChange;
}

void StoreReader::restart() {
  // A new instance needs the snapshot. All other instances first look for the
  // next change, and for a snapshot only if there is no next change.
  HasReadHeader = false;
  WatchesWithoutChange = 0;
  CurrentStep = Board.Config.Version == ConfigVersion() ? Step::SnapshotHeader
                                                        : Step::NextChange;
}

void StoreReader::onTick(ActionSink &Sink) {
  if (IsCallPending && Board.now() >= GiveUpAt) {
    IsCallPending = false;
    fail("no answer from the store for " + Key, Sink);
  }
  if (!IsCallPending && CurrentRole != Role::None && Board.now() >= NextCallAt)
    startStep(Sink);
}

void StoreReader::startStep(ActionSink &Sink) {
  const std::string &Prefix = Board.Settings.StorePrefix;
  const ConfigVersion NextVersion(Board.Config.Version.value() + 1);
  switch (CurrentStep) {
  case Step::NextChange:
    return call(StoreCallKind::Get, changeKey(Prefix, NextVersion), {}, Sink);
  case Step::ChangePart:
    return call(StoreCallKind::Get,
                changePartKey(Prefix, Change.ChangeId, PartIndex), {}, Sink);
  case Step::SnapshotHeader:
    return call(StoreCallKind::Get, snapshotLatestKey(Prefix), {}, Sink);
  case Step::SnapshotPart:
    return call(StoreCallKind::Get,
                snapshotPartKey(Prefix, Header.Version, PartIndex), {}, Sink);
  case Step::Watch:
    if (CurrentRole == Role::ReadOnce)
      CurrentRole = Role::None;
    else
      call(StoreCallKind::Watch, changeKey(Prefix, NextVersion), WatchWait,
           Sink);
  }
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

std::optional<StoreReader::NewerConfig>
StoreReader::onAnswer(const StoreAnswer &Answer, ActionSink &Sink) {
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
  onNothingNewer(Sink);
  return std::nullopt;
}

bool StoreReader::rejectOldRevision(const StoreAnswer &Answer,
                                    ActionSink &Sink) {
  uint64_t *LastRevision = nullptr;
  if (CurrentStep == Step::SnapshotHeader) {
    LastRevision = &HeaderRevision;
  } else if (CurrentStep == Step::NextChange || CurrentStep == Step::Watch) {
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

std::optional<StoreReader::NewerConfig>
StoreReader::onFound(const StoreAnswer &Answer, ActionSink &Sink) {
  switch (CurrentStep) {
  case Step::NextChange:
  case Step::Watch:
    return onChange(Answer, Sink);
  case Step::ChangePart:
    return onChangePart(Answer, Sink);
  case Step::SnapshotHeader:
    onSnapshotHeader(Answer, Sink);
    return std::nullopt;
  case Step::SnapshotPart:
    return onSnapshotPart(Answer, Sink);
  }
  return std::nullopt;
}

void StoreReader::onNothingNewer(ActionSink &Sink) {
  if (CurrentStep == Step::ChangePart || CurrentStep == Step::SnapshotPart)
    return fail(Key + " is missing in the store", Sink);
  Failures = 0;
  if (CurrentStep == Step::NextChange) {
    CurrentStep = HasReadHeader ? Step::Watch : Step::SnapshotHeader;
  } else if (CurrentStep == Step::SnapshotHeader) {
    HasReadHeader = true;
    WatchesWithoutChange = 0;
    CurrentStep = nextStep();
  } else {
    NextCallAt = std::max(NextCallAt, CalledAt + MinWatchInterval);
    if (++WatchesWithoutChange >= WatchesPerSnapshotCheck)
      CurrentStep = Step::SnapshotHeader;
  }
}

std::optional<StoreReader::NewerConfig>
StoreReader::onChange(const StoreAnswer &Answer, ActionSink &Sink) {
  ConfigChange DecodedChange;
  if (const std::error_code Error = decodeChange(Answer.Value, DecodedChange)) {
    fail(Key + " is malformed: " + Error.message(), Sink);
    return std::nullopt;
  }
  // A peer may have delivered this version before the store answered.
  const ConfigVersion CurrentVersion = Board.Config.Version;
  if (DecodedChange.Version <= CurrentVersion &&
      Key == changeKey(Board.Settings.StorePrefix, DecodedChange.Version)) {
    Failures = 0;
    return std::nullopt;
  }
  // A change with too many parts is rejected with the same message.
  if (DecodedChange.Version.value() != CurrentVersion.value() + 1 ||
      DecodedChange.Parts > MaxParts) {
    fail("rejected " + Key + ": it holds version " +
             std::to_string(DecodedChange.Version.value()) +
             ", but the version in force is " +
             std::to_string(CurrentVersion.value()),
         Sink);
    return std::nullopt;
  }
  Change = std::move(DecodedChange);
  if (Change.Parts == 0)
    return finishChange();
  PartIndex = 0;
  CurrentStep = Step::ChangePart;
  return std::nullopt;
}

std::optional<StoreReader::NewerConfig>
StoreReader::onChangePart(const StoreAnswer &Answer, ActionSink &Sink) {
  if (const std::error_code Error = addChangePart(Answer.Value, Change)) {
    fail(Key + " is malformed: " + Error.message(), Sink);
    return std::nullopt;
  }
  if (++PartIndex < Change.Parts)
    return std::nullopt;
  return finishChange();
}

std::optional<StoreReader::NewerConfig> StoreReader::finishChange() {
  Failures = 0;
  Change.Parts = 0;
  CurrentStep = nextStep();
  return std::exchange(Change, {});
}

void StoreReader::onSnapshotHeader(const StoreAnswer &Answer,
                                   ActionSink &Sink) {
  if (const std::error_code Error = decodeSnapshotHeader(Answer.Value, Header))
    return fail(Key + " is malformed: " + Error.message(), Sink);
  if (Header.Version <= Board.Config.Version)
    return onNothingNewer(Sink);
  if (Header.Parts == 0 || Header.Parts > MaxParts)
    return fail(Key + " refers to " + std::to_string(Header.Parts) +
                    " parts; the allowed number is 1 to " +
                    std::to_string(MaxParts),
                Sink);
  HasReadHeader = true;
  Snapshot = Configuration();
  Snapshot.Version = Header.Version;
  PartIndex = 0;
  CurrentStep = Step::SnapshotPart;
}

std::optional<StoreReader::NewerConfig>
StoreReader::onSnapshotPart(const StoreAnswer &Answer, ActionSink &Sink) {
  if (const std::error_code Error = addSnapshotPart(Answer.Value, Snapshot)) {
    fail(Key + " is malformed: " + Error.message(), Sink);
    return std::nullopt;
  }
  if (++PartIndex < Header.Parts)
    return std::nullopt;
  Failures = 0;
  CurrentStep = nextStep();
  return std::exchange(Snapshot, {});
}

} // namespace indigopoint
