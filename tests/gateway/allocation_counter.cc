#include "allocation_counter.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> held_bytes{0};
std::atomic<std::size_t> peak_bytes{0};

void* Allocate(std::size_t bytes) {
  void* block = std::malloc(bytes);
  if (block == nullptr) throw std::bad_alloc();
  held_bytes += malloc_usable_size(block);
  peak_bytes = std::max(peak_bytes.load(), held_bytes.load());
  return block;
}

void Free(void* block) noexcept {
  if (block != nullptr) held_bytes -= malloc_usable_size(block);
  std::free(block);
}

}  // namespace

void* operator new(std::size_t bytes) { return Allocate(bytes); }
void* operator new[](std::size_t bytes) { return Allocate(bytes); }
void operator delete(void* block) noexcept { Free(block); }
void operator delete[](void* block) noexcept { Free(block); }
void operator delete(void* block, std::size_t) noexcept { Free(block); }
void operator delete[](void* block, std::size_t) noexcept { Free(block); }

namespace mulberry::gateway {

AllocationCounter::AllocationCounter() : before_(held_bytes) { peak_bytes = held_bytes.load(); }

std::size_t AllocationCounter::held() const {
  return std::max(held_bytes.load(), before_) - before_;
}

std::size_t AllocationCounter::peak() const {
  return std::max(peak_bytes.load(), before_) - before_;
}

}  // namespace mulberry::gateway
