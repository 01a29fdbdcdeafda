#include "config_publisher.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "config_assembler.h"
#include "config_codec.h"

namespace indigopoint {

namespace {

using Status = StoreReply::Status;

constexpr uint64_t ChangesPerSnapshot = 100;
// With the waits below, a call is abandoned after about 3 s plus its own
// timeouts, so that operators soon see a result and can run the command again.
constexpr int Attempts = 5;
constexpr std::chrono::milliseconds FirstWait(200);
// Reading is retried, because changes may be removed after a new snapshot while
// they are being read.
constexpr int ReadAttempts = 3;

constexpr std::array<std::string_view, 7> StatusNames = {
    "done",    "unchanged", "lost-race", "unreachable",
    "unclear", "too-large", "malformed"};

// Returns the number that follows the prefix in a key, such as 12 for "12/0".
std::optional<ConfigVersion> versionOf(const std::string &Key,
                                       const std::string &Prefix) {
  uint64_t Version = 0;
  if (!Key.starts_with(Prefix) ||
      std::from_chars(Key.data() + Prefix.size(), Key.data() + Key.size(),
                      Version)
              .ec != std::errc())
    return std::nullopt;
  return ConfigVersion(Version);
}

// The assembler has checked that a change follows the current version.
void adopt(NewerConfig Newer, Configuration &Out) {
  if (auto *Snapshot = std::get_if<Configuration>(&Newer))
    Out = std::move(*Snapshot);
  else
    applyChange(std::get<ConfigChange>(Newer), Out);
}

} // namespace

std::string_view nameOf(PublishStatus Value) {
  const auto Index = static_cast<size_t>(Value);
  return Index < StatusNames.size() ? StatusNames[Index] : "invalid";
}

ConfigPublisher::ConfigPublisher(KeyValueStore &Store, std::string Prefix,
                                 WaitHook Wait)
    : Store(Store), Prefix(std::move(Prefix)), Wait(std::move(Wait)) {}

PublishStatus ConfigPublisher::fail(PublishStatus Result,
                                    const std::string &Key,
                                    const std::string &Cause) {
  Detail = Key + ": " + Cause;
  return Result;
}

StoreReply ConfigPublisher::readKey(const std::string &Key) {
  StoreReply Reply;
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    if (Attempt > 0)
      Wait(FirstWait * (1 << (Attempt - 1)));
    Reply = Store.get(Key);
    if (Reply.Result != Status::NoAnswer)
      break;
  }
  return Reply;
}

// Reading.

PublishStatus ConfigPublisher::readCurrent(Configuration &Out) {
  PublishStatus Result = PublishStatus::Malformed;
  for (int Attempt = 0;
       Attempt < ReadAttempts && Result == PublishStatus::Malformed; ++Attempt)
    Result = readOnce(Out);
  return Result;
}

PublishStatus ConfigPublisher::readOnce(Configuration &Out) {
  Configuration Config;
  ConfigAssembler Assembler(Prefix);
  while (true) {
    const bool IsLastStep =
        Assembler.step() == ConfigAssembler::Step::NextChange;
    const std::string Key = Assembler.nextKey(Config.Version);
    const StoreReply Reply = readKey(Key);
    if (Reply.Result != Status::Done && Reply.Result != Status::Absent)
      return fail(PublishStatus::Unreachable, Key, Reply.Detail);
    ConfigAssembler::Result Read =
        Reply.Result == Status::Done
            ? Assembler.onFound(Reply.Value, Config.Version)
            : Assembler.onMissing();
    if (Read.ResultKind == ConfigAssembler::Result::Kind::Malformed)
      return fail(PublishStatus::Malformed, Key, Read.Problem);
    if (Read.Config)
      adopt(std::move(*Read.Config), Config);
    else if (IsLastStep && Reply.Result == Status::Absent)
      break;
  }
  Out = std::move(Config);
  return PublishStatus::Done;
}

// Writing.

PublishStatus ConfigPublisher::publish(const ConfigChange &Change) {
  StoredChange Stored;
  if (encodeStoredChange(Change, Stored))
    return fail(PublishStatus::TooLarge, changeKey(Prefix, Change.Version),
                "one service exceeds " + std::to_string(MaxStoreValueBytes) +
                    " bytes");
  PublishStatus Result = writeParts(Change, Stored);
  if (Result == PublishStatus::Done)
    Result = writeChange(Change, Stored);
  // If the outcome is unknown, the change may be in force and needs its parts.
  if (Result == PublishStatus::LostRace || Result == PublishStatus::TooLarge)
    removeParts(Change.ChangeId, Stored.Parts.size());
  return Result;
}

// The key of a part contains the change id, so a conflict means that an earlier
// attempt took effect.
PublishStatus ConfigPublisher::writeParts(const ConfigChange &Change,
                                          const StoredChange &Stored) {
  for (size_t Part = 0; Part < Stored.Parts.size(); ++Part) {
    const std::string Key = changePartKey(Prefix, Change.ChangeId, Part);
    StoreReply Reply;
    for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
      if (Attempt > 0)
        Wait(FirstWait * (1 << (Attempt - 1)));
      Reply = Store.put(Key, Stored.Parts[Part], 0);
      if (Reply.Result != Status::NoAnswer)
        break;
    }
    if (Reply.Result == Status::TooLarge)
      return fail(PublishStatus::TooLarge, Key,
                  "the store rejects a value of this size");
    if (Reply.Result != Status::Done && Reply.Result != Status::Conflict)
      return fail(PublishStatus::Unreachable, Key, Reply.Detail);
  }
  return PublishStatus::Done;
}

PublishStatus ConfigPublisher::writeChange(const ConfigChange &Change,
                                           const StoredChange &Stored) {
  const std::string Key = changeKey(Prefix, Change.Version);
  StoreReply Reply;
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    if (Attempt > 0)
      Wait(FirstWait * (1 << (Attempt - 1)));
    Reply = Store.put(Key, Stored.Value, 0);
    if (Reply.Result == Status::Done)
      return PublishStatus::Done;
    if (Reply.Result == Status::Conflict)
      return checkStoredChange(Reply.Value, Change);
    if (Reply.Result == Status::TooLarge)
      return fail(PublishStatus::TooLarge, Key,
                  "the store rejects a value of this size");
    // The write may have taken effect. If it did not, writing again is safe,
    // because the key is created only once.
    const StoreReply ReadReply = Store.get(Key);
    if (ReadReply.Result == Status::Done)
      return checkStoredChange(ReadReply.Value, Change);
  }
  return fail(PublishStatus::Unclear, Key, Reply.Detail);
}

PublishStatus ConfigPublisher::checkStoredChange(const std::string &Value,
                                                 const ConfigChange &Change) {
  ConfigChange AcceptedChange;
  const std::string Key = changeKey(Prefix, Change.Version);
  if (const auto Error = decodeChange(Value, AcceptedChange))
    return fail(PublishStatus::Malformed, Key, Error.message());
  if (AcceptedChange.ChangeId == Change.ChangeId)
    return PublishStatus::Done;
  return fail(PublishStatus::LostRace, Key,
              "version " + std::to_string(AcceptedChange.Version.value()) +
                  " was accepted from " + AcceptedChange.Author);
}

void ConfigPublisher::removeParts(const std::string &ChangeId, size_t Count) {
  for (size_t Part = 0; Part < Count; ++Part)
    Store.remove(changePartKey(Prefix, ChangeId, Part));
}

// Snapshots.

bool ConfigPublisher::writeSnapshotIfDue(const Configuration &Current) {
  const std::string Key = snapshotLatestKey(Prefix);
  const StoreReply HeaderReply = readKey(Key);
  SnapshotHeader Previous;
  if (HeaderReply.Result == Status::NoAnswer ||
      (HeaderReply.Result == Status::Done &&
       decodeSnapshotHeader(HeaderReply.Value, Previous)))
    return false;
  if (Current.Version.value() < Previous.Version.value() + ChangesPerSnapshot)
    return true;
  std::vector<std::string> Parts;
  if (encodeSnapshotParts(Current, Parts))
    return false;
  for (size_t Part = 0; Part < Parts.size(); ++Part) {
    const StoreReply Reply = Store.put(
        snapshotPartKey(Prefix, Current.Version, Part), Parts[Part], 0);
    if (Reply.Result != Status::Done && Reply.Result != Status::Conflict)
      return false;
  }
  const SnapshotHeader Header{Current.Version,
                              static_cast<uint32_t>(Parts.size())};
  const StoreReply WriteReply =
      Store.put(Key, encodeSnapshotHeader(Header), HeaderReply.Revision);
  // On a conflict, another operator wrote a snapshot and removes old changes.
  if (WriteReply.Result != Status::Done)
    return WriteReply.Result == Status::Conflict;
  return removeOldChanges(Previous.Version) &&
         removeOldSnapshots(Previous.Version);
}

bool ConfigPublisher::removeOldChanges(ConfigVersion Previous) {
  const std::string KeyPrefix = Prefix + "change/";
  const StoreReply ListReply = Store.list(KeyPrefix);
  if (ListReply.Result != Status::Done)
    return false;
  for (const std::string &Key : ListReply.Keys) {
    const auto Version = versionOf(Key, KeyPrefix);
    if (Version && *Version <= Previous && !removeChange(*Version))
      return false;
  }
  return true;
}

bool ConfigPublisher::removeChange(ConfigVersion Version) {
  const std::string Key = changeKey(Prefix, Version);
  const StoreReply StoredReply = Store.get(Key);
  if (StoredReply.Result == Status::NoAnswer)
    return false;
  ConfigChange Change;
  if (StoredReply.Result == Status::Done &&
      !decodeChange(StoredReply.Value, Change))
    removeParts(Change.ChangeId, Change.Parts);
  return Store.remove(Key).Result != Status::NoAnswer;
}

// The previous snapshot is kept for instances that are reading it.
bool ConfigPublisher::removeOldSnapshots(ConfigVersion Previous) {
  const std::string KeyPrefix = Prefix + "snapshot/";
  const StoreReply ListReply = Store.list(KeyPrefix);
  if (ListReply.Result != Status::Done)
    return false;
  for (const std::string &Key : ListReply.Keys) {
    const auto Version = versionOf(Key, KeyPrefix);
    if (Version && *Version < Previous &&
        Store.remove(Key).Result == Status::NoAnswer)
      return false;
  }
  return true;
}

} // namespace indigopoint
