#include "allocation_meter.h"

#include <atomic>
#include <cstdlib>
#include <new>

#include <malloc.h>

namespace {

std::atomic<size_t> Allocated = 0;
std::atomic<size_t> Peak = 0;

} // namespace

// All forms are replaced, so that a block is allocated and freed by the same
// functions under the address sanitizer as well.
void *operator new(size_t Size, const std::nothrow_t &) noexcept {
  void *Block = std::malloc(Size);
  if (Block == nullptr)
    return nullptr;
  const size_t Total = Allocated += malloc_usable_size(Block);
  if (Total > Peak)
    Peak = Total;
  return Block;
}

void *operator new(size_t Size) {
  void *Block = operator new(Size, std::nothrow);
  if (Block == nullptr)
    throw std::bad_alloc();
  return Block;
}

void *operator new[](size_t Size) { return operator new(Size); }

void *operator new[](size_t Size, const std::nothrow_t &) noexcept {
  return operator new(Size, std::nothrow);
}

void operator delete(void *Block) noexcept {
  if (Block == nullptr)
    return;
  Allocated -= malloc_usable_size(Block);
  std::free(Block);
}

void operator delete(void *Block, size_t) noexcept { operator delete(Block); }
void operator delete[](void *Block) noexcept { operator delete(Block); }
void operator delete[](void *Block, size_t) noexcept { operator delete(Block); }

namespace indigopoint {

AllocationMeter::AllocationMeter() : Before(Allocated) { Peak = Before; }

size_t AllocationMeter::peak() const { return Peak - Before; }

size_t AllocationMeter::kept() const {
  return Allocated > Before ? Allocated - Before : 0;
}

} // namespace indigopoint
