#include "store_mirror.h"

#include <algorithm>
#include <utility>

namespace indigopoint {

namespace {

// Maximum number of deleted keys that are kept. An instance that missed more of
// them needs a complete snapshot.
constexpr size_t MaxDeletions = 512;

} // namespace

void StoreMirror::apply(const StoreSync::Update &Update,
                        StorePosition NewPosition) {
  if (Update.startsSnapshot())
    SnapshotItems.clear();
  ItemMap &Target = Update.ContentKind == StoreSync::Update::Content::Retained
                        ? RetainedItems
                        : (Update.isSnapshotOrPage() ? SnapshotItems : Items);
  for (const StoreItem &Item : Update.Items)
    Target[Item.Key] = Item;
  if (Update.endsSnapshot())
    finishSnapshot(Update.IsFromRestoredStore, NewPosition);
  if (Update.ContentKind != StoreSync::Update::Content::Changes)
    return;
  for (const StoreItem &Item : Update.Items)
    if (const auto It = RetainedItems.find(Item.Key);
        It != RetainedItems.end() && !isSuperseding(It->second))
      RetainedItems.erase(It);
  Position = std::max(Position, NewPosition);
  expireDeletions();
}

// Another instance must not get items of the new era as changes of the previous
// one, so all items are replaced at once.
void StoreMirror::finishSnapshot(bool IsFromRestoredStore,
                                 StorePosition NewPosition) {
  ItemMap KnownItems = std::exchange(Items, std::exchange(SnapshotItems, {}));
  if (IsFromRestoredStore) {
    // An item that was retained already and still is in force is later than the
    // one that the store had.
    eraseOutdatedRetainedItems();
    RetainedItems.merge(KnownItems);
    eraseOutdatedRetainedItems();
  }
  // The snapshot may contain fewer changes than this instance has already seen.
  if (NewPosition > Position)
    Position = NewPosition;
  BaseRevision = NewPosition.Revision;
  Loaded = true;
}

void StoreMirror::eraseOutdatedRetainedItems() {
  std::erase_if(RetainedItems, [this](const auto &Entry) {
    return Entry.second.Deleted || !isSuperseding(Entry.second);
  });
}

bool StoreMirror::isSuperseding(const StoreItem &Retained) const {
  return Supersedes(Retained, find(Retained.Key));
}

void StoreMirror::expireDeletions() {
  std::vector<uint64_t> Deletions;
  for (const auto &[Key, Item] : Items)
    if (Item.Deleted)
      Deletions.push_back(Item.Revision);
  if (Deletions.size() <= MaxDeletions)
    return;
  // Remove the older half.
  const auto Middle = Deletions.begin() + MaxDeletions / 2;
  std::nth_element(Deletions.begin(), Middle, Deletions.end());
  BaseRevision = std::max(BaseRevision, *Middle);
  std::erase_if(Items, [this](const auto &Entry) {
    return Entry.second.Deleted && Entry.second.Revision <= BaseRevision;
  });
}

const StoreItem *StoreMirror::find(const std::string &Key) const {
  const auto It = Items.find(Key);
  return It == Items.end() || It->second.Deleted ? nullptr : &It->second;
}

std::optional<std::vector<StoreItem>>
StoreMirror::since(StorePosition After) const {
  if (!Loaded || After.Era != Position.Era || After.Revision < BaseRevision)
    return std::nullopt;
  std::vector<StoreItem> Out;
  for (const auto &[Key, Item] : Items)
    if (Item.Revision > After.Revision)
      Out.push_back(Item);
  return Out;
}

std::vector<StoreItem> StoreMirror::retained() const {
  std::vector<StoreItem> Out;
  for (const auto &[Key, Item] : RetainedItems)
    if (isSuperseding(Item))
      Out.push_back(Item);
  return Out;
}

std::vector<StoreItem> StoreMirror::all() const {
  std::vector<StoreItem> Out;
  for (const auto &[Key, Item] : Items)
    if (!Item.Deleted)
      Out.push_back(Item);
  return Out;
}

} // namespace indigopoint
