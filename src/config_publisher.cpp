#include "config_publisher.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "config_codec.h"

namespace indigopoint {

namespace {

using Status = StoreReply::Status;

constexpr uint64_t ChangesPerSnapshot = 100;
// With the waits below, a call is given up after about 3 s besides its own
// timeouts. Operators see an answer soon and may run the command again.
constexpr int Attempts = 5;
constexpr std::chrono::milliseconds FirstWait(200);
// Changes may be removed after a new snapshot while they are being read.
constexpr int ReadAttempts = 3;

constexpr std::array<std::string_view, 7> StatusNames = {
    "done",    "unchanged", "lost-race", "unreachable",
    "unclear", "too-large", "malformed"};

// The number at the start of a key's rest, such as 12 of "12/0".
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
  for (int Attempt = 0; Attempt < ReadAttempts; ++Attempt) {
    Configuration Read;
    Result = readSnapshot(Read);
    bool AtEnd = false;
    while (Result == PublishStatus::Done && !AtEnd)
      Result = readChange(Read, AtEnd);
    if (Result == PublishStatus::Done)
      Out = std::move(Read);
    if (Result != PublishStatus::Malformed)
      break;
  }
  return Result;
}

PublishStatus ConfigPublisher::readSnapshot(Configuration &Out) {
  const std::string Key = snapshotLatestKey(Prefix);
  const StoreReply Latest = readKey(Key);
  if (Latest.Result == Status::Absent)
    return PublishStatus::Done;
  if (Latest.Result != Status::Done)
    return fail(PublishStatus::Unreachable, Key, Latest.Detail);
  SnapshotHeader Header;
  if (const auto Error = decodeSnapshotHeader(Latest.Value, Header))
    return fail(PublishStatus::Malformed, Key, Error.message());
  Out.Version = Header.Version;
  for (uint32_t Part = 0; Part < Header.Parts; ++Part) {
    const std::string PartKey = snapshotPartKey(Prefix, Header.Version, Part);
    const StoreReply Reply = readKey(PartKey);
    if (Reply.Result == Status::NoAnswer)
      return fail(PublishStatus::Unreachable, PartKey, Reply.Detail);
    if (const auto Error = addSnapshotPart(Reply.Value, Out))
      return fail(PublishStatus::Malformed, PartKey, Error.message());
  }
  return PublishStatus::Done;
}

PublishStatus ConfigPublisher::readChange(Configuration &Out, bool &AtEnd) {
  const ConfigVersion Next(Out.Version.value() + 1);
  const std::string Key = changeKey(Prefix, Next);
  const StoreReply Reply = readKey(Key);
  AtEnd = Reply.Result == Status::Absent;
  if (AtEnd)
    return PublishStatus::Done;
  if (Reply.Result != Status::Done)
    return fail(PublishStatus::Unreachable, Key, Reply.Detail);
  ConfigChange Change;
  if (const auto Error = decodeChange(Reply.Value, Change))
    return fail(PublishStatus::Malformed, Key, Error.message());
  for (uint32_t Part = 0; Part < Change.Parts; ++Part) {
    const std::string PartKey = changePartKey(Prefix, Change.ChangeId, Part);
    const StoreReply Content = readKey(PartKey);
    if (Content.Result == Status::NoAnswer)
      return fail(PublishStatus::Unreachable, PartKey, Content.Detail);
    if (const auto Error = addChangePart(Content.Value, Change))
      return fail(PublishStatus::Malformed, PartKey, Error.message());
  }
  if (!applyChange(Change, Out))
    return fail(PublishStatus::Malformed, Key,
                "it holds version " + std::to_string(Change.Version.value()));
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
  // After an unclear end the change may be in force and needs its parts.
  if (Result == PublishStatus::LostRace || Result == PublishStatus::TooLarge)
    removeParts(Change.ChangeId, Stored.Parts.size());
  return Result;
}

// A part's key holds the change id, so a conflict means that an earlier attempt
// took effect.
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
      return fail(PublishStatus::TooLarge, Key, "the store refuses its size");
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
      return judgeHolder(Reply.Value, Change);
    if (Reply.Result == Status::TooLarge)
      return fail(PublishStatus::TooLarge, Key, "the store refuses its size");
    // The write may have taken effect. If it did not, writing again is safe,
    // since the key is only created once.
    const StoreReply Holder = Store.get(Key);
    if (Holder.Result == Status::Done)
      return judgeHolder(Holder.Value, Change);
  }
  return fail(PublishStatus::Unclear, Key, Reply.Detail);
}

PublishStatus ConfigPublisher::judgeHolder(const std::string &Value,
                                           const ConfigChange &Change) {
  ConfigChange Holder;
  const std::string Key = changeKey(Prefix, Change.Version);
  if (const auto Error = decodeChange(Value, Holder))
    return fail(PublishStatus::Malformed, Key, Error.message());
  if (Holder.ChangeId == Change.ChangeId)
    return PublishStatus::Done;
  return fail(PublishStatus::LostRace, Key,
              "version " + std::to_string(Holder.Version.value()) +
                  " was accepted from " + Holder.Author);
}

void ConfigPublisher::removeParts(const std::string &ChangeId, size_t Count) {
  for (size_t Part = 0; Part < Count; ++Part)
    Store.remove(changePartKey(Prefix, ChangeId, Part));
}

// Snapshots.

bool ConfigPublisher::writeSnapshotIfDue(const Configuration &InForce) {
  const std::string Key = snapshotLatestKey(Prefix);
  const StoreReply Latest = readKey(Key);
  SnapshotHeader Previous;
  if (Latest.Result == Status::NoAnswer ||
      (Latest.Result == Status::Done &&
       decodeSnapshotHeader(Latest.Value, Previous)))
    return false;
  if (InForce.Version.value() < Previous.Version.value() + ChangesPerSnapshot)
    return true;
  std::vector<std::string> Parts;
  if (encodeSnapshotParts(InForce, Parts))
    return false;
  for (size_t Part = 0; Part < Parts.size(); ++Part) {
    const StoreReply Reply = Store.put(
        snapshotPartKey(Prefix, InForce.Version, Part), Parts[Part], 0);
    if (Reply.Result != Status::Done && Reply.Result != Status::Conflict)
      return false;
  }
  const SnapshotHeader Header{InForce.Version,
                              static_cast<uint32_t>(Parts.size())};
  const StoreReply Written =
      Store.put(Key, encodeSnapshotHeader(Header), Latest.Revision);
  // On a conflict another operator wrote a snapshot and removes old changes.
  if (Written.Result != Status::Done)
    return Written.Result == Status::Conflict;
  return removeOldChanges(Previous.Version) &&
         removeOldSnapshots(Previous.Version);
}

bool ConfigPublisher::removeOldChanges(ConfigVersion Previous) {
  const std::string Folder = Prefix + "change/";
  const StoreReply Listed = Store.list(Folder);
  if (Listed.Result != Status::Done)
    return false;
  for (const std::string &Key : Listed.Keys) {
    const auto Version = versionOf(Key, Folder);
    if (Version && *Version <= Previous && !removeChange(*Version))
      return false;
  }
  return true;
}

bool ConfigPublisher::removeChange(ConfigVersion Version) {
  const std::string Key = changeKey(Prefix, Version);
  const StoreReply Old = Store.get(Key);
  if (Old.Result == Status::NoAnswer)
    return false;
  ConfigChange Change;
  if (Old.Result == Status::Done && !decodeChange(Old.Value, Change))
    removeParts(Change.ChangeId, Change.Parts);
  return Store.remove(Key).Result != Status::NoAnswer;
}

// The previous snapshot stays for instances that are reading it.
bool ConfigPublisher::removeOldSnapshots(ConfigVersion Previous) {
  const std::string Folder = Prefix + "snapshot/";
  const StoreReply Listed = Store.list(Folder);
  if (Listed.Result != Status::Done)
    return false;
  for (const std::string &Key : Listed.Keys) {
    const auto Version = versionOf(Key, Folder);
    if (Version && *Version < Previous &&
        Store.remove(Key).Result == Status::NoAnswer)
      return false;
  }
  return true;
}

} // namespace indigopoint
