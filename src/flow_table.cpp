#include "flow_table.h"

#include "placement.h"

namespace indigopoint {

namespace {

constexpr size_t InitialSlots = 1024;
constexpr size_t NoSlot = ~size_t(0);

// Flow keys are chosen by callers and may be unevenly distributed, so they are
// hashed before use.
uint32_t hashOf(FlowKey Flow, ServiceId Service) {
  return static_cast<uint32_t>(rendezvousScore(Flow.value(), Service.value()));
}

} // namespace

FlowTable::FlowTable() : Index(InitialSlots), Heads(FlowBuckets, None) {}

size_t FlowTable::findSlot(FlowKey Flow, ServiceId Service, uint32_t Hash) {
  const size_t Mask = Index.size() - 1;
  for (size_t Slot = Hash & Mask; Index[Slot].Position != 0;
       Slot = (Slot + 1) & Mask) {
    if (Index[Slot].Hash != Hash)
      continue;
    const OpenFlow &Entry = node(Index[Slot].Position - 1).Entry;
    if (Entry.Flow == Flow && Entry.Service == Service)
      return Slot;
  }
  return NoSlot;
}

OpenFlow *FlowTable::find(FlowKey Flow, ServiceId Service) {
  const size_t Slot = findSlot(Flow, Service, hashOf(Flow, Service));
  return Slot == NoSlot ? nullptr : &node(Index[Slot].Position - 1).Entry;
}

OpenFlow &FlowTable::insert(FlowKey Flow, ServiceId Service) {
  // Linear probe sequences stay short below a load factor of 3/4.
  if ((Count + 1) * 4 > Index.size() * 3)
    grow();
  const uint32_t Position = allocate();
  Node &NewNode = node(Position);
  NewNode.Entry = OpenFlow();
  NewNode.Entry.Flow = Flow;
  NewNode.Entry.Service = Service;
  NewNode.IsOccupied = 1;
  uint32_t &Head = Heads[bucketOf(Flow)];
  NewNode.Next = Head;
  NewNode.Prev = None;
  if (Head != None)
    // None has all 31 bits of Prev set, so the mask keeps the position
    // and only tells the compiler that it fits.
    node(Head).Prev = Position & None;
  Head = Position;
  addToIndex(Position, hashOf(Flow, Service));
  ++Count;
  return NewNode.Entry;
}

void FlowTable::erase(OpenFlow &Entry) {
  const size_t Slot =
      findSlot(Entry.Flow, Entry.Service, hashOf(Entry.Flow, Entry.Service));
  if (Slot == NoSlot)
    return;
  const uint32_t Position = Index[Slot].Position - 1;
  removeFromIndex(Slot);
  Node &RemovedNode = node(Position);
  if (RemovedNode.Prev == None)
    Heads[bucketOf(Entry.Flow)] = RemovedNode.Next;
  else
    node(RemovedNode.Prev).Next = RemovedNode.Next;
  if (RemovedNode.Next != None)
    node(RemovedNode.Next).Prev = RemovedNode.Prev;
  RemovedNode.IsOccupied = 0;
  RemovedNode.Next = FirstFree;
  FirstFree = Position;
  --Count;
}

void FlowTable::clear() { *this = FlowTable(); }

size_t FlowTable::memoryBytes() const {
  return sizeof(*this) + Chunks.capacity() * sizeof(Chunks[0]) +
         Chunks.size() * sizeof(Chunk) + Index.capacity() * sizeof(IndexSlot) +
         Heads.capacity() * sizeof(uint32_t);
}

uint32_t FlowTable::allocate() {
  if (FirstFree == None) {
    const auto First = static_cast<uint32_t>(positionCount());
    Chunks.push_back(std::make_unique<Chunk>());
    for (uint32_t Offset = ChunkSize; Offset-- > 0;) {
      node(First + Offset).Next = FirstFree;
      FirstFree = First + Offset;
    }
  }
  const uint32_t Position = FirstFree;
  FirstFree = node(Position).Next;
  return Position;
}

void FlowTable::grow() {
  std::vector<IndexSlot> OldIndex(Index.size() * 2);
  OldIndex.swap(Index);
  for (const IndexSlot &Slot : OldIndex)
    if (Slot.Position != 0)
      addToIndex(Slot.Position - 1, Slot.Hash);
}

void FlowTable::addToIndex(uint32_t Position, uint32_t Hash) {
  const size_t Mask = Index.size() - 1;
  size_t Slot = Hash & Mask;
  while (Index[Slot].Position != 0)
    Slot = (Slot + 1) & Mask;
  Index[Slot] = {Position + 1, Hash};
}

// Moves later entries of the probe sequence back into the free slot, so that no
// tombstones of erased entries accumulate.
void FlowTable::removeFromIndex(size_t Slot) {
  const size_t Mask = Index.size() - 1;
  size_t Hole = Slot;
  for (size_t Probe = (Slot + 1) & Mask; Index[Probe].Position != 0;
       Probe = (Probe + 1) & Mask) {
    const size_t PreferredSlot = Index[Probe].Hash & Mask;
    if (((Probe - PreferredSlot) & Mask) < ((Probe - Hole) & Mask))
      continue;
    Index[Hole] = Index[Probe];
    Hole = Probe;
  }
  Index[Hole] = {};
}

} // namespace indigopoint
