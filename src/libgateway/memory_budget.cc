#include "libgateway/memory_budget.h"

#include <utility>

namespace mulberry::gateway {
namespace {

/// Part of the limit that requests may use, in percent.
constexpr std::size_t kRequestPercent = 70;

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

bool MemoryBudget::TryGrow(MemoryReservation& reservation, std::size_t bytes, Use use) {
  if (bytes <= reservation.bytes_) return true;
  const std::size_t available = use == Use::kRequest ? limit_ / 100 * kRequestPercent : limit_;
  const std::size_t used = used_ + bytes - reservation.bytes_;
  if (used > available) return false;
  used_ = used;
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

}  // namespace mulberry::gateway
