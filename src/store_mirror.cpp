#include "store_mirror.h"

#include <algorithm>

namespace indigopoint {

namespace {

// Deleted keys that are remembered. An instance that missed more of them takes
// a whole copy.
constexpr size_t MostDeletions = 512;

} // namespace

void StoreMirror::apply(const StoreSync::Update &Update, uint64_t AtRevision) {
  if (Update.startsSnapshot())
    Named.clear();
  for (const StoreItem &Item : Update.Items) {
    Items[Item.Key] = Item;
    if (Update.isSnapshot())
      Named.insert(Item.Key);
  }
  if (Update.endsSnapshot())
    finishSnapshot(AtRevision);
  else if (Update.isSnapshot())
    return;
  Revision = std::max(Revision, AtRevision);
  forgetDeletions();
}

void StoreMirror::finishSnapshot(uint64_t AtRevision) {
  std::erase_if(
      Items, [this](const auto &Each) { return Named.count(Each.first) == 0; });
  Named.clear();
  BaseRevision = AtRevision;
  Loaded = true;
}

void StoreMirror::forgetDeletions() {
  std::vector<uint64_t> Deletions;
  for (const auto &[Key, Item] : Items)
    if (Item.Deleted)
      Deletions.push_back(Item.Revision);
  if (Deletions.size() <= MostDeletions)
    return;
  // The older half goes.
  const auto Middle = Deletions.begin() + MostDeletions / 2;
  std::nth_element(Deletions.begin(), Middle, Deletions.end());
  BaseRevision = std::max(BaseRevision, *Middle);
  std::erase_if(Items, [this](const auto &Each) {
    return Each.second.Deleted && Each.second.Revision <= BaseRevision;
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
