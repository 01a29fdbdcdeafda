#include "store_mirror.h"

#include <algorithm>

namespace indigopoint {

namespace {

// Maximum number of deleted keys that are kept. An instance that missed more of
// them needs a complete snapshot.
constexpr size_t MaxDeletions = 512;

} // namespace

void StoreMirror::apply(const StoreSync::Update &Update, uint64_t NewRevision) {
  if (Update.startsSnapshot())
    SnapshotKeys.clear();
  for (const StoreItem &Item : Update.Items) {
    Items[Item.Key] = Item;
    if (Update.isSnapshotOrPage())
      SnapshotKeys.insert(Item.Key);
  }
  if (Update.endsSnapshot())
    finishSnapshot(NewRevision);
  else if (Update.isSnapshotOrPage())
    return;
  Revision = std::max(Revision, NewRevision);
  expireDeletions();
}

void StoreMirror::finishSnapshot(uint64_t NewRevision) {
  std::erase_if(Items, [this](const auto &Entry) {
    return SnapshotKeys.count(Entry.first) == 0;
  });
  SnapshotKeys.clear();
  BaseRevision = NewRevision;
  Loaded = true;
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

std::optional<std::vector<StoreItem>> StoreMirror::since(uint64_t After) const {
  if (!Loaded || After < BaseRevision)
    return std::nullopt;
  std::vector<StoreItem> Out;
  for (const auto &[Key, Item] : Items)
    if (Item.Revision > After)
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
