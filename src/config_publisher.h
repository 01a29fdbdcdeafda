#pragma once

#include <functional>
#include <string>

#include "configuration.h"
#include "key_value_store.h"
#include "store_format.h"

namespace indigopoint {

enum class PublishStatus : uint8_t {
  /// The change is accepted, or what was read is complete.
  Done,
  /// Nothing differs from what is in force.
  Unchanged,
  /// Another operator's change took the version.
  LostRace,
  /// The store did not answer before anything was accepted.
  Unreachable,
  /// The store stopped answering when the change may have been accepted.
  Unclear,
  /// One service exceeds the size of a value.
  TooLarge,
  /// The store holds something that cannot be read.
  Malformed
};

std::string_view nameOf(PublishStatus Status);

/// Reads the configuration in force from the store and writes changes to it.
class ConfigPublisher {
public:
  /// Waits between two attempts.
  using WaitHook = std::function<void(Duration)>;

  ConfigPublisher(KeyValueStore &Store, std::string Prefix, WaitHook Wait);

  /// Reads the newest snapshot and the changes after it.
  PublishStatus readCurrent(Configuration &Out);

  /// Writes \p Change under its version, if no other change has it.
  PublishStatus publish(const ConfigChange &Change);

  /// Writes a snapshot if 100 changes were accepted since the last, and removes
  /// changes older than the one before. Returns false if the store did not let
  /// it finish; the next change makes up for it.
  bool writeSnapshotIfDue(const Configuration &InForce);

  /// The key and the cause of the last failure.
  const std::string &detail() const { return Detail; }

private:
  PublishStatus fail(PublishStatus Status, const std::string &Key,
                     const std::string &Cause);
  StoreReply readKey(const std::string &Key);
  PublishStatus readSnapshot(Configuration &Out);
  PublishStatus readChange(Configuration &Out, bool &AtEnd);
  PublishStatus writeParts(const ConfigChange &Change,
                           const StoredChange &Stored);
  PublishStatus writeChange(const ConfigChange &Change,
                            const StoredChange &Stored);
  PublishStatus judgeHolder(const std::string &Value,
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
