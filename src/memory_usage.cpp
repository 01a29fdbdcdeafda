#include "memory_usage.h"

#include <malloc.h>
#include <sys/resource.h>

namespace indigopoint {

MemoryUsage memoryUsage() {
  constexpr size_t BytesPerKilobyte = 1024;
  MemoryUsage Out;
  const auto Heap = mallinfo2();
  Out.HeapUsed = Heap.uordblks + Heap.hblkhd;
  Out.HeapFree = Heap.fordblks;
  rusage Usage{};
  if (getrusage(RUSAGE_SELF, &Usage) == 0)
    Out.ResidentPeak = static_cast<size_t>(Usage.ru_maxrss) * BytesPerKilobyte;
  return Out;
}

void releaseFreeMemory() { malloc_trim(0); }

} // namespace indigopoint
