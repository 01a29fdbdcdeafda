#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "store_sync.h"

namespace indigopoint {

/// Keeps what the store said, so that other instances can learn it from here.
class StoreMirror {
public:
  /// Pages of a snapshot do not count before its last one: until then the
  /// revision stays as it was.
  void apply(const StoreSync::Update &Update, uint64_t Revision);

  bool isLoaded() const { return Loaded; }
  uint64_t revision() const { return Revision; }

  /// The changes after \p After, oldest keys first. Nothing if they are not
  /// all known any more.
  std::optional<std::vector<StoreItem>> since(uint64_t After) const;

  /// All items that exist.
  std::vector<StoreItem> all() const;

  /// How many items are kept, with those whose deletion is remembered.
  size_t size() const { return Items.size(); }

private:
  void finishSnapshot(uint64_t AtRevision);
  void forgetDeletions();

  bool Loaded = false;
  uint64_t Revision = 0;
  /// Deletions up to this revision are not known.
  uint64_t BaseRevision = 0;
  /// Includes deleted items.
  std::map<std::string, StoreItem> Items;
  /// The keys of the snapshot that is under way.
  std::set<std::string> Named;
};

} // namespace indigopoint
