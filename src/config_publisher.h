#pragma once

#include <functional>
#include <string>

#include "configuration.h"
#include "key_value_store.h"
#include "store_format.h"

namespace indigopoint {

enum class PublishStatus : uint8_t {
  /// The change was accepted, or the read was complete.
  Done,
  /// The change does not differ from the current configuration.
  Unchanged,
  /// Another operator's change was accepted under the same version.
  LostRace,
  /// The store did not answer, and nothing was accepted.
  Unreachable,
  /// The store stopped answering after the write was sent, so the change may
  /// have been accepted.
  Unclear,
  /// One service exceeds the maximum size of a value.
  TooLarge,
  /// The store holds a value that cannot be decoded.
  Malformed
};

std::string_view nameOf(PublishStatus Status);

/// Reads the current configuration from the store and writes changes to the
/// store.
class ConfigPublisher {
public:
  /// Sleeps between two attempts.
  using WaitHook = std::function<void(Duration)>;

  ConfigPublisher(KeyValueStore &Store, std::string Prefix, WaitHook Wait);

  /// Reads the newest snapshot and the changes that follow it.
  PublishStatus readCurrent(Configuration &Out);

  /// Writes \p Change under its version, if no other change has this version.
  PublishStatus publish(const ConfigChange &Change);

  /// Writes a snapshot if 100 changes were accepted since the last one, and
  /// removes the changes up to the previous snapshot. Returns false if a store
  /// call failed; the call after the next change retries.
  bool writeSnapshotIfDue(const Configuration &Current);

  /// Returns the key and the cause of the last failure.
  const std::string &detail() const { return Detail; }

private:
  PublishStatus fail(PublishStatus Status, const std::string &Key,
                     const std::string &Cause);
  StoreReply readKey(const std::string &Key);
  PublishStatus readOnce(Configuration &Out);
  PublishStatus writeParts(const ConfigChange &Change,
                           const StoredChange &Stored);
  PublishStatus writeChange(const ConfigChange &Change,
                            const StoredChange &Stored);
  PublishStatus checkStoredChange(const std::string &Value,
                                  const ConfigChange &Change);
  void removeParts(const std::string &ChangeId, size_t Count);
  bool removeOldChanges(ConfigVersion Previous);
  bool removeChange(ConfigVersion Version);
  bool removeOldSnapshots(ConfigVersion Previous);

  KeyValueStore &Store;
  std::string Prefix;
  WaitHook Wait;
  std::string Detail;
};

} // namespace indigopoint
