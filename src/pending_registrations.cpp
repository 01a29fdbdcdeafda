#include "pending_registrations.h"

#include <algorithm>
#include <utility>

namespace indigopoint {

void PendingRegistrations::put(KeyedRegistration Entry) {
  std::string Key = Entry.Key;
  Entries.insert_or_assign(std::move(Key), State{std::move(Entry)});
}

void PendingRegistrations::startSnapshot() {
  for (auto &[Key, Pending] : Entries)
    Pending.IsInSnapshot = false;
}

void PendingRegistrations::finishSnapshot() {
  std::erase_if(Entries,
                [](const auto &Item) { return !Item.second.IsInSnapshot; });
}

std::vector<KeyedRegistration> PendingRegistrations::entries() const {
  std::vector<KeyedRegistration> Out;
  for (const auto &[Key, Pending] : Entries)
    Out.push_back(Pending.Entry);
  std::sort(Out.begin(), Out.end(),
            [](const KeyedRegistration &A, const KeyedRegistration &B) {
              return A.CreatedRevision < B.CreatedRevision;
            });
  return Out;
}

} // namespace indigopoint
