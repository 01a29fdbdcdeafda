#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace indigopoint::standin {

constexpr size_t MaxValueBytes = 1 << 20;

struct KvEntry {
  std::string Value;
  uint64_t Revision = 0;
};

/// The last change of a key.
struct KvChange {
  std::string Key;
  /// Not set if the key was deleted.
  std::optional<std::string> Value;
  uint64_t Revision = 0;
};

enum class WriteStatus : uint8_t { Written, Conflict, TooLarge, NoLease };

/// A key-value store with compare-and-swap and leases. Revisions are global
/// and rise with every write and deletion.
class KvStore {
public:
  /// Called after each change of a key.
  using ChangeHook = std::function<void(const std::string &Key)>;

  struct WriteResult {
    WriteStatus Status = WriteStatus::Written;
    /// The new entry, or the current one on a conflict.
    KvEntry Entry;
  };

  explicit KvStore(ChangeHook OnChange) : OnChange(std::move(OnChange)) {}

  std::optional<KvEntry> find(const std::string &Key) const;
  /// The entry of \p Key before its last change.
  std::optional<KvEntry> findPrevious(const std::string &Key) const;
  std::vector<std::string> keys(const std::string &Prefix) const;
  /// The last change of each key that was changed after \p Revision, in the
  /// order of the keys.
  std::vector<KvChange> changesAfter(uint64_t Revision,
                                     const std::string &Prefix) const;
  /// The revision of the last change of any key.
  uint64_t revision() const { return LastRevision; }

  /// Writes a key. With \p Expected, writes only if the key has this revision;
  /// 0 stands for an absent key. A \p Lease of 0 means no lease.
  WriteResult put(const std::string &Key, std::string Value,
                  std::optional<uint64_t> Expected, uint64_t Lease);
  WriteResult remove(const std::string &Key, std::optional<uint64_t> Expected);

  uint64_t grantLease(TimePoint Now, Duration TimeToLive);
  /// Returns false if the lease has expired.
  bool renewLease(uint64_t Id, TimePoint Now);
  /// Removes the expired leases and deletes their keys.
  void expireLeases(TimePoint Now);

private:
  struct StoredKey {
    std::optional<KvEntry> Current;
    std::optional<KvEntry> Previous;
    uint64_t ChangedRevision = 0;
    uint64_t Lease = 0;
  };
  struct Lease {
    Duration TimeToLive;
    TimePoint Expires;
  };

  bool matches(const StoredKey &Entry, std::optional<uint64_t> Expected) const;
  void change(const std::string &Key, std::optional<KvEntry> NewEntry,
              uint64_t Lease);

  ChangeHook OnChange;
  std::map<std::string, StoredKey> StoredKeys;
  std::map<uint64_t, Lease> Leases;
  uint64_t LastRevision = 0;
  uint64_t LastLease = 0;
};

} // namespace indigopoint::standin
