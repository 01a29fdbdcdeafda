#pragma once

#include <cstddef>

namespace indigopoint {

/// The memory of this process, in bytes.
struct MemoryUsage {
  /// Allocated blocks of the heap.
  size_t HeapUsed = 0;
  /// Freed blocks that the process keeps.
  size_t HeapFree = 0;
  /// The most physical memory that the process has had.
  size_t ResidentPeak = 0;
};

MemoryUsage memoryUsage();

/// Returns freed blocks of the heap to the system. Walks through the whole
/// heap, so it is for the time after a large allocation.
void releaseFreeMemory();

} // namespace indigopoint
