#include "kv_store.h"

namespace indigopoint::standin {

std::optional<KvEntry> KvStore::find(const std::string &Key) const {
  const auto It = StoredKeys.find(Key);
  return It == StoredKeys.end() ? std::nullopt : It->second.Current;
}

std::optional<KvEntry> KvStore::findPrevious(const std::string &Key) const {
  const auto It = StoredKeys.find(Key);
  return It == StoredKeys.end() ? std::nullopt : It->second.Previous;
}

std::vector<std::string> KvStore::keys(const std::string &Prefix) const {
  std::vector<std::string> Keys;
  for (auto It = StoredKeys.lower_bound(Prefix);
       It != StoredKeys.end() && It->first.starts_with(Prefix); ++It)
    if (It->second.Current)
      Keys.push_back(It->first);
  return Keys;
}

std::vector<KvChange> KvStore::changesAfter(uint64_t Revision,
                                            const std::string &Prefix) const {
  std::vector<KvChange> Changes;
  for (auto It = StoredKeys.lower_bound(Prefix);
       It != StoredKeys.end() && It->first.starts_with(Prefix); ++It) {
    const auto &[Key, Entry] = *It;
    if (Entry.ChangedRevision <= Revision)
      continue;
    Changes.push_back({Key, std::nullopt, Entry.ChangedRevision});
    if (Entry.Current)
      Changes.back().Value = Entry.Current->Value;
  }
  return Changes;
}

bool KvStore::matches(const StoredKey &Entry,
                      std::optional<uint64_t> Expected) const {
  const uint64_t Revision = Entry.Current ? Entry.Current->Revision : 0;
  return !Expected || *Expected == Revision;
}

void KvStore::change(const std::string &Key, std::optional<KvEntry> NewEntry,
                     uint64_t Lease) {
  StoredKey &Entry = StoredKeys[Key];
  Entry.Previous = std::move(Entry.Current);
  Entry.Current = std::move(NewEntry);
  Entry.ChangedRevision = LastRevision;
  Entry.Lease = Lease;
  OnChange(Key);
}

KvStore::WriteResult KvStore::put(const std::string &Key, std::string Value,
                                  std::optional<uint64_t> Expected,
                                  uint64_t Lease) {
  if (Value.size() > MaxValueBytes)
    return {WriteStatus::TooLarge, {}};
  if (Lease != 0 && Leases.count(Lease) == 0)
    return {WriteStatus::NoLease, {}};
  const StoredKey &Entry = StoredKeys[Key];
  if (!matches(Entry, Expected))
    return {WriteStatus::Conflict, Entry.Current.value_or(KvEntry())};
  const KvEntry NewEntry{std::move(Value), ++LastRevision};
  change(Key, NewEntry, Lease);
  return {WriteStatus::Written, NewEntry};
}

KvStore::WriteResult KvStore::remove(const std::string &Key,
                                     std::optional<uint64_t> Expected) {
  const StoredKey &Entry = StoredKeys[Key];
  if (!matches(Entry, Expected))
    return {WriteStatus::Conflict, Entry.Current.value_or(KvEntry())};
  ++LastRevision;
  change(Key, std::nullopt, 0);
  return {WriteStatus::Written, {"", LastRevision}};
}

uint64_t KvStore::grantLease(TimePoint Now, Duration TimeToLive) {
  Leases[++LastLease] = {TimeToLive, Now + TimeToLive};
  return LastLease;
}

bool KvStore::renewLease(uint64_t Id, TimePoint Now) {
  expireLeases(Now);
  const auto It = Leases.find(Id);
  if (It == Leases.end())
    return false;
  It->second.Expires = Now + It->second.TimeToLive;
  return true;
}

void KvStore::expireLeases(TimePoint Now) {
  std::vector<std::string> Expired;
  for (const auto &[Key, Entry] : StoredKeys) {
    const auto It = Leases.find(Entry.Lease);
    if (It != Leases.end() && It->second.Expires <= Now)
      Expired.push_back(Key);
  }
  std::erase_if(Leases,
                [Now](const auto &It) { return It.second.Expires <= Now; });
  for (const std::string &Key : Expired)
    remove(Key, std::nullopt);
}

} // namespace indigopoint::standin
