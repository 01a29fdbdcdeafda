#include "store_reader.h"

#include <algorithm>
#include <utility>

#include "blackboard.h"
#include "config_codec.h"

namespace indigopoint {

namespace {

constexpr std::string_view Component = "configuration";
constexpr std::chrono::seconds WatchWait(10);
// How much later than its wait a call may be answered.
constexpr std::chrono::seconds AnswerLimit(5);
constexpr std::chrono::milliseconds FirstBackOff(500);
constexpr std::chrono::seconds LastBackOff(30);
// Keeps a store that answers a watch at once without a change from being
// called in a loop.
constexpr std::chrono::seconds MinQuietInterval(1);
// The next change may have been deleted after a snapshot, in which case a watch
// on it stays quiet forever. This checks for a snapshot once a minute.
constexpr uint32_t QuietWatchesPerCheck = 6;
// A value that names more parts than this is malformed: at 900 KB each they
// exceed any configuration that the instances accept.
constexpr uint32_t MaxParts = 64;

} // namespace

void StoreReader::setRole(Role Wanted) {
  if (Wanted == Current)
    return;
  // A call that is still open goes on where it was.
  if (Current == Role::None && !Waiting)
    restart();
  Current = Wanted;
}

// A watch answers at once if the change exists already; one that only reads up
// to the newest version must not wait for the next.
StoreReader::Step StoreReader::followUp() const {
  return Current == Role::Follow && LatestSeen ? Step::Watch : Step::NextChange;
}

void StoreReader::restart() {
  // A fresh instance needs the snapshot; all others first look for the change
  // that follows, and for a snapshot only if there is none.
  LatestSeen = false;
  QuietWatches = 0;
  At =
      Board.Config.Version == ConfigVersion() ? Step::Latest : Step::NextChange;
}

void StoreReader::onTick(ActionSink &Sink) {
  if (Waiting && Board.now() >= GiveUpAt) {
    Waiting = false;
    fail("no answer from the store for " + Key, Sink);
  }
  if (!Waiting && Current != Role::None && Board.now() >= NextCallAt)
    startStep(Sink);
}

void StoreReader::startStep(ActionSink &Sink) {
  const std::string &Prefix = Board.Settings.StorePrefix;
  const ConfigVersion Next(Board.Config.Version.value() + 1);
  switch (At) {
  case Step::NextChange:
    return call(StoreCallKind::Get, changeKey(Prefix, Next), {}, Sink);
  case Step::ChangePart:
    return call(StoreCallKind::Get,
                changePartKey(Prefix, Change.ChangeId, PartIndex), {}, Sink);
  case Step::Latest:
    return call(StoreCallKind::Get, snapshotLatestKey(Prefix), {}, Sink);
  case Step::SnapshotPart:
    return call(StoreCallKind::Get,
                snapshotPartKey(Prefix, Header.Version, PartIndex), {}, Sink);
  case Step::Watch:
    if (Current == Role::Once)
      Current = Role::None;
    else
      call(StoreCallKind::Watch, changeKey(Prefix, Next), WatchWait, Sink);
  }
}

void StoreReader::call(StoreCallKind Kind, std::string GivenKey, Duration Wait,
                       ActionSink &Sink) {
  Waiting = true;
  Key = std::move(GivenKey);
  CalledAt = Board.now();
  GiveUpAt = CalledAt + Wait + AnswerLimit;
  Sink.call({StoreCallId(++LastCall), Kind, Key, 0, Wait});
}

void StoreReader::fail(const std::string &Reason, ActionSink &Sink) {
  // The jitter keeps readers from calling together when the store returns.
  const Duration Base = Failures < 5 ? Duration(FirstBackOff * (1U << Failures))
                                     : LastBackOff / 2;
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
  // An answer that comes after the call was given up is ignored.
  if (!Waiting || Answer.Call.value() != LastCall)
    return std::nullopt;
  Waiting = false;
  Answered = true;
  if (Answer.Status == StoreStatus::Failed) {
    fail("the store failed to answer for " + Key, Sink);
    return std::nullopt;
  }
  if (Answer.Status == StoreStatus::Found) {
    if (isRevisionOld(Answer, Sink))
      return std::nullopt;
    return onFound(Answer, Sink);
  }
  onAbsent(Sink);
  return std::nullopt;
}

bool StoreReader::isRevisionOld(const StoreAnswer &Answer, ActionSink &Sink) {
  uint64_t *Seen = nullptr;
  if (At == Step::Latest) {
    Seen = &LatestRevision;
  } else if (At == Step::NextChange || At == Step::Watch) {
    if (Key != ChangeKeySeen)
      ChangeRevision = 0;
    ChangeKeySeen = Key;
    Seen = &ChangeRevision;
  }
  if (Seen == nullptr || Answer.Revision >= *Seen) {
    if (Seen != nullptr)
      *Seen = Answer.Revision;
    return false;
  }
  fail("rejected revision " + std::to_string(Answer.Revision) + " of " + Key +
           ", revision " + std::to_string(*Seen) + " was read before",
       Sink);
  return true;
}

std::optional<StoreReader::NewerConfig>
StoreReader::onFound(const StoreAnswer &Answer, ActionSink &Sink) {
  switch (At) {
  case Step::NextChange:
  case Step::Watch:
    return onChange(Answer, Sink);
  case Step::ChangePart:
    return onChangePart(Answer, Sink);
  case Step::Latest:
    onLatest(Answer, Sink);
    return std::nullopt;
  case Step::SnapshotPart:
    return onSnapshotPart(Answer, Sink);
  }
  return std::nullopt;
}

void StoreReader::onAbsent(ActionSink &Sink) {
  if (At == Step::ChangePart || At == Step::SnapshotPart)
    return fail(Key + " is missing in the store", Sink);
  Failures = 0;
  if (At == Step::NextChange) {
    At = LatestSeen ? Step::Watch : Step::Latest;
  } else if (At == Step::Latest) {
    LatestSeen = true;
    QuietWatches = 0;
    At = followUp();
  } else {
    NextCallAt = std::max(NextCallAt, CalledAt + MinQuietInterval);
    if (++QuietWatches >= QuietWatchesPerCheck)
      At = Step::Latest;
  }
}

std::optional<StoreReader::NewerConfig>
StoreReader::onChange(const StoreAnswer &Answer, ActionSink &Sink) {
  ConfigChange Read;
  if (const std::error_code Error = decodeChange(Answer.Value, Read)) {
    fail(Key + " is malformed: " + Error.message(), Sink);
    return std::nullopt;
  }
  // A key of an older version is answered when a peer was faster.
  const ConfigVersion InForce = Board.Config.Version;
  if (Read.Version <= InForce &&
      Key == changeKey(Board.Settings.StorePrefix, Read.Version)) {
    Failures = 0;
    return std::nullopt;
  }
  if (Read.Version.value() != InForce.value() + 1 || Read.Parts > MaxParts) {
    fail("rejected " + Key + ": it holds version " +
             std::to_string(Read.Version.value()) + ", in force is " +
             std::to_string(InForce.value()),
         Sink);
    return std::nullopt;
  }
  Change = std::move(Read);
  if (Change.Parts == 0)
    return finishChange();
  PartIndex = 0;
  At = Step::ChangePart;
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
  At = followUp();
  return std::exchange(Change, {});
}

void StoreReader::onLatest(const StoreAnswer &Answer, ActionSink &Sink) {
  if (const std::error_code Error = decodeSnapshotHeader(Answer.Value, Header))
    return fail(Key + " is malformed: " + Error.message(), Sink);
  if (Header.Version <= Board.Config.Version)
    return onAbsent(Sink);
  if (Header.Parts == 0 || Header.Parts > MaxParts)
    return fail(Key + " names " + std::to_string(Header.Parts) +
                    " parts, allowed are 1 to " + std::to_string(MaxParts),
                Sink);
  LatestSeen = true;
  Snapshot = Configuration();
  Snapshot.Version = Header.Version;
  PartIndex = 0;
  At = Step::SnapshotPart;
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
  At = followUp();
  return std::exchange(Snapshot, {});
}

} // namespace indigopoint
