#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "store_sync.h"

namespace indigopoint {

/// Keeps a copy of the items in the store, to send them to other instances.
class StoreMirror {
public:
  /// Returns whether a known item stays in force although the restored store
  /// has \p Restored in its place, or no item if that is null.
  using SupersedesHook =
      std::function<bool(const StoreItem &Known, const StoreItem *Restored)>;

  explicit StoreMirror(SupersedesHook Supersedes =
                           [](const StoreItem &, const StoreItem *) {
                             return false;
                           })
      : Supersedes(std::move(Supersedes)) {}

  /// Applies an update that ends at \p Position. The items and the position do
  /// not change until the last page of a snapshot has been applied.
  void apply(const StoreSync::Update &Update, StorePosition Position);

  bool isLoaded() const { return Loaded; }
  StorePosition position() const { return Position; }

  /// Returns an item, or null if the key does not exist.
  const StoreItem *find(const std::string &Key) const;

  /// Returns the changes after \p After in the order of their keys. Returns
  /// nothing if some of the changes are no longer available.
  std::optional<std::vector<StoreItem>> since(StorePosition After) const;

  /// Returns all items that are not deleted.
  std::vector<StoreItem> all() const;

  /// Returns items of an earlier era that stay in force although the restored
  /// store has older ones.
  std::vector<StoreItem> retained() const;

  /// Returns the number of items, including deleted ones.
  size_t size() const { return Items.size(); }

private:
  using ItemMap = std::map<std::string, StoreItem>;

  void finishSnapshot(bool IsFromRestoredStore, StorePosition NewPosition);
  void eraseOutdatedRetainedItems();
  /// Whether a retained item stays in force beside the store's one.
  bool isSuperseding(const StoreItem &Retained) const;
  void expireDeletions();

  SupersedesHook Supersedes;
  bool Loaded = false;
  StorePosition Position;
  /// Deletions up to this revision are not available.
  uint64_t BaseRevision = 0;
  /// Includes deleted items.
  ItemMap Items;
  /// The items of the snapshot that is being read.
  ItemMap SnapshotItems;
  ItemMap RetainedItems;
};

} // namespace indigopoint
