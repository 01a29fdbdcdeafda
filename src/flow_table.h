#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "types.h"

namespace indigopoint {

/// One open flow of a service and the upstream it is pinned to.
struct OpenFlow {
  FlowKey Flow;
  UpstreamId Upstream;
  ServiceId Service;
  /// Time of the last request, in seconds on the engine's clock.
  uint32_t LastUsed = 0;
  /// Number of requests whose outcome is not decided yet.
  uint16_t InProgress = 0;
  /// Whether an owner has admitted the flow. An established flow is not
  /// redirected.
  bool Established : 1 = false;
  /// Whether the flow is pinned to another upstream than its default. Only such
  /// pins are replicated to the backup instance.
  bool HasNonDefaultPin : 1 = false;
  /// Whether the caller closed the flow while requests were in progress.
  bool Closing : 1 = false;
};

/// The open flows of the buckets that this instance serves, indexed by flow and
/// service and listed by bucket. References stay valid until erase.
class FlowTable {
public:
  FlowTable();

  /// Null if the flow is not open.
  OpenFlow *find(FlowKey Flow, ServiceId Service);

  /// Adds a flow that is not in the table yet.
  OpenFlow &insert(FlowKey Flow, ServiceId Service);

  void erase(OpenFlow &Entry);
  void clear();

  size_t size() const { return Count; }

  /// All memory of the table, including unused capacity.
  size_t memoryBytes() const;

  /// Calls \p Visit for each flow of \p Bucket. \p Visit may erase that flow.
  template <typename Visitor>
  void forEachInBucket(uint32_t Bucket, Visitor Visit) {
    for (uint32_t Position = Heads[Bucket]; Position != None;) {
      Node &CurrentNode = node(Position);
      Position = CurrentNode.Next;
      Visit(CurrentNode.Entry);
    }
  }

  /// Number of positions for visitRange, including unoccupied ones.
  size_t positionCount() const { return Chunks.size() * ChunkSize; }

  /// Calls \p Visit for the flows at positions [\p First, \p Last). \p Visit
  /// may erase the flow that it is called for.
  template <typename Visitor>
  void visitRange(size_t First, size_t Last, Visitor Visit) {
    for (size_t Position = First; Position < Last && Position < positionCount();
         ++Position) {
      Node &CurrentNode = node(static_cast<uint32_t>(Position));
      if (CurrentNode.IsOccupied)
        Visit(CurrentNode.Entry);
    }
  }

private:
  struct Node {
    OpenFlow Entry;
    uint32_t Next = 0;
    uint32_t Prev : 31 = 0;
    uint32_t IsOccupied : 1 = 0;
  };
  struct IndexSlot {
    /// Position of the node + 1; 0 if the slot is free.
    uint32_t Position = 0;
    uint32_t Hash = 0;
  };
  static constexpr size_t ChunkSize = 512;
  static constexpr uint32_t None = 0x7fffffff;
  using Chunk = std::array<Node, ChunkSize>;

  Node &node(uint32_t Position) {
    return (*Chunks[Position / ChunkSize])[Position % ChunkSize];
  }
  size_t findSlot(FlowKey Flow, ServiceId Service, uint32_t Hash);
  uint32_t allocate();
  void grow();
  void addToIndex(uint32_t Position, uint32_t Hash);
  void removeFromIndex(size_t Slot);

  std::vector<std::unique_ptr<Chunk>> Chunks;
  std::vector<IndexSlot> Index;
  std::vector<uint32_t> Heads;
  uint32_t FirstFree = None;
  size_t Count = 0;
};

} // namespace indigopoint
