#include "libbase/memory_budget.h"

#include <bit>
#include <iterator>
#include <utility>

namespace mulberry {
namespace {

/// Parts of the limit, in percent: what is used by the time that a request or a large response
/// takes more, and what a response of unknown length takes.
constexpr std::size_t kRequestPercent = 70;
constexpr std::size_t kLargeResponsePercent = 85;
constexpr std::size_t kUnboundedResponsePercent = 50;
/// Responses up to this size may use the whole limit; most are smaller.
constexpr std::size_t kSmallResponseBytes = 64 * 1024;
constexpr std::uint64_t kAllBlocks = ~std::uint64_t{0};
static_assert(MemoryBudget::kSlabBlocks == 64, "a bit for each block");

}  // namespace

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryReservation& MemoryReservation::operator=(MemoryReservation&& other) noexcept {
  if (this == &other) return *this;
  Release();
  budget_ = std::exchange(other.budget_, nullptr);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

MemoryReservation::~MemoryReservation() { Release(); }

void MemoryReservation::Release() {
  if (budget_ != nullptr) budget_->used_ -= bytes_;
  budget_ = nullptr;
  bytes_ = 0;
}

char* MemoryBudget::Block::data() const {
  return reinterpret_cast<char*>(slab->bytes.get()) + index * kBlockBytes;
}

bool MemoryBudget::Allows(std::size_t added, std::size_t total, Use use) const {
  std::size_t available = limit_;
  if (use == Use::kRequest) {
    available = limit_ / 100 * kRequestPercent;
  } else if (total > kSmallResponseBytes) {
    available = limit_ / 100 * kLargeResponsePercent;
  }
  return used_ + added <= available;
}

std::size_t MemoryBudget::MaxUnboundedResponse() const {
  return limit_ / 100 * kUnboundedResponsePercent;
}

MemoryBudget::Block MemoryBudget::Take() {
  if (open_slabs_.empty()) {
    // Not initialised, so that pages that are never written stay unmapped.
    open_slabs_.push_back({std::unique_ptr<std::byte[]>(new std::byte[kSlabBytes]), kAllBlocks});
  }
  const auto slab = open_slabs_.begin();
  const auto index = static_cast<std::uint32_t>(std::countr_zero(slab->free_blocks));
  slab->free_blocks &= slab->free_blocks - 1;
  if (slab->free_blocks == 0) full_slabs_.splice(full_slabs_.begin(), open_slabs_, slab);
  used_ += kBlockBytes;
  return {slab, index};
}

void MemoryBudget::Return(const Block& block) {
  used_ -= kBlockBytes;
  const auto slab = block.slab;
  if (slab->free_blocks == 0) open_slabs_.splice(open_slabs_.begin(), full_slabs_, slab);
  slab->free_blocks |= std::uint64_t{1} << block.index;
  // One slab is kept, so that a single request does not allocate one.
  if (slab->free_blocks == kAllBlocks && open_slabs_.size() > 1) open_slabs_.erase(slab);
}

bool MemoryBudget::TryGrow(MemoryReservation& reservation, std::size_t bytes, Use use) {
  if (bytes <= reservation.bytes_) return true;
  const std::size_t added = bytes - reservation.bytes_;
  if (!Allows(added, bytes, use)) return false;
  used_ += added;
  reservation.budget_ = this;
  reservation.bytes_ = bytes;
  return true;
}

MemoryReservation MemoryBudget::Reserve(std::size_t bytes) {
  MemoryReservation reservation;
  used_ += bytes;
  reservation.budget_ = this;
  reservation.bytes_ = bytes;
  return reservation;
}

}  // namespace mulberry
