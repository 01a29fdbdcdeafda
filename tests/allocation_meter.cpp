#include "allocation_meter.h"

#include <atomic>
#include <cstdlib>
#include <new>

#include <malloc.h>

namespace {

std::atomic<size_t> Allocated = 0;
std::atomic<size_t> Peak = 0;

} // namespace

void *operator new(size_t Size) {
  void *Block = std::malloc(Size);
  if (Block == nullptr)
    throw std::bad_alloc();
  const size_t Total = Allocated += malloc_usable_size(Block);
  if (Total > Peak)
    Peak = Total;
  return Block;
}

void operator delete(void *Block) noexcept {
  if (Block == nullptr)
    return;
  Allocated -= malloc_usable_size(Block);
  std::free(Block);
}

void operator delete(void *Block, size_t) noexcept { operator delete(Block); }

namespace indigopoint {

AllocationMeter::AllocationMeter() : Before(Allocated) { Peak = Before; }

size_t AllocationMeter::peak() const { return Peak - Before; }

size_t AllocationMeter::kept() const {
  return Allocated > Before ? Allocated - Before : 0;
}

} // namespace indigopoint
