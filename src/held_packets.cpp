#include "held_packets.h"

#include <algorithm>

namespace indigopoint {

namespace {

// Clients repeat a packet after 200 ms.
constexpr Duration MaxHoldTime = std::chrono::milliseconds(200);

// About 80 KB. Packets are held while their order is restored or an instance
// answers, which takes milliseconds.
constexpr size_t MaxEntries = 64;

} // namespace

bool HeldPackets::add(const PacketHeader &Header, std::string_view Datagram,
                      TimePoint Now) {
  if (Entries.size() >= MaxEntries)
    return false;
  Entries.push_back({Header, std::string(Datagram), Now});
  return true;
}

std::vector<HeldPackets::Entry> HeldPackets::take(const FlowAddress &Flow) {
  const auto First = std::stable_partition(
      Entries.begin(), Entries.end(),
      [&Flow](const Entry &Held) { return Held.Header.Flow != Flow; });
  std::vector<Entry> Out(std::make_move_iterator(First),
                         std::make_move_iterator(Entries.end()));
  Entries.erase(First, Entries.end());
  return Out;
}

std::vector<HeldPackets::Entry> HeldPackets::takeExpired(TimePoint Now) {
  std::vector<Entry> Out;
  while (!Entries.empty() && Now - Entries.front().HeldAt >= MaxHoldTime) {
    Out.push_back(std::move(Entries.front()));
    Entries.pop_front();
  }
  return Out;
}

} // namespace indigopoint
