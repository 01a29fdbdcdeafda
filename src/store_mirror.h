#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "store_sync.h"

namespace indigopoint {

/// Keeps a copy of the items in the store, to send them to other instances.
class StoreMirror {
public:
  /// Applies an update that ends at \p Revision. The revision does not change
  /// until the last page of a snapshot has been applied.
  void apply(const StoreSync::Update &Update, uint64_t Revision);

  bool isLoaded() const { return Loaded; }
  uint64_t revision() const { return Revision; }

  /// Returns the changes after revision \p After in the order of their keys.
  /// Returns nothing if some of the changes are no longer available.
  std::optional<std::vector<StoreItem>> since(uint64_t After) const;

  /// Returns all items that are not deleted.
  std::vector<StoreItem> all() const;

  /// Returns the number of items, including deleted ones.
  size_t size() const { return Items.size(); }

private:
  void finishSnapshot(uint64_t NewRevision);
  void expireDeletions();

  bool Loaded = false;
  uint64_t Revision = 0;
  /// Deletions up to this revision are not available.
  uint64_t BaseRevision = 0;
  /// Includes deleted items.
  std::map<std::string, StoreItem> Items;
  /// The keys of the snapshot that is being read.
  std::set<std::string> SnapshotKeys;
};

} // namespace indigopoint
