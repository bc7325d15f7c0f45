#pragma once

#include <cstddef>

namespace mulberry::gateway {

class MemoryBudget;

/// Bytes of a MemoryBudget that are returned when the reservation is destroyed. Not thread safe.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  MemoryReservation(MemoryReservation&& other) noexcept;
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  ~MemoryReservation();

  std::size_t bytes() const { return bytes_; }
  /// Returns all bytes to the budget.
  void Release();

 private:
  friend class MemoryBudget;
  MemoryBudget* budget_ = nullptr;
  std::size_t bytes_ = 0;
};

/// Limits the memory for the bodies of requests and responses that this process holds at the same
/// time. Requests may use only part of it, so that the responses to accepted requests still fit.
/// Must outlive its reservations. Not thread safe.
class MemoryBudget {
 public:
  enum class Use { kRequest, kResponse };

  /// `limit` in bytes.
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  void SetLimit(std::size_t limit) { limit_ = limit; }
  std::size_t used() const { return used_; }

  /// Enlarges a reservation, which must be empty or of this budget, to `bytes` in total. Returns
  /// false, without a change, if the budget does not suffice.
  bool TryGrow(MemoryReservation& reservation, std::size_t bytes, Use use);

  /// Reserves `bytes` even beyond the limit, for a response that is ready and will be delivered.
  MemoryReservation Reserve(std::size_t bytes);

 private:
  friend class MemoryReservation;
  std::size_t limit_;
  std::size_t used_ = 0;
};

}  // namespace mulberry::gateway
