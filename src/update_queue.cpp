#include "update_queue.h"

#include <algorithm>
#include <bit>

namespace indigopoint {

namespace {

// Field headers, address, state and incarnation in Thrift's compact protocol.
constexpr size_t FixedBytes = 40;

// Gossip reaches all n members after a multiple of log2(n) rounds. With a
// factor of 3, fewer than one in a thousand members miss an update.
constexpr uint32_t SendFactor = 3;

} // namespace

size_t estimatedBytes(const MemberUpdate &Update) {
  return FixedBytes + Update.Name.size() + Update.Zone.size();
}

void UpdateQueue::add(const MemberUpdate &Update) {
  for (Entry &QueuedEntry : Entries)
    if (QueuedEntry.Update.Name == Update.Name) {
      QueuedEntry = {Update, 0};
      return;
    }
  Entries.push_back({Update, 0});
}

void UpdateQueue::appendTo(size_t Bytes, size_t Members,
                           std::vector<MemberUpdate> &Out) {
  size_t Used = 0;
  for (const MemberUpdate &Update : Out)
    Used += estimatedBytes(Update);
  std::stable_sort(
      Entries.begin(), Entries.end(),
      [](const Entry &A, const Entry &B) { return A.SendCount < B.SendCount; });
  for (Entry &QueuedEntry : Entries) {
    Used += estimatedBytes(QueuedEntry.Update);
    if (Used > Bytes)
      break;
    Out.push_back(QueuedEntry.Update);
    ++QueuedEntry.SendCount;
  }
  const auto Limit =
      SendFactor * static_cast<uint32_t>(std::bit_width(Members));
  std::erase_if(Entries, [Limit](const Entry &QueuedEntry) {
    return QueuedEntry.SendCount >= Limit;
  });
}

} // namespace indigopoint
