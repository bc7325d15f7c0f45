#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

namespace mulberry {

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

/// Limits the memory for the requests and responses that this process holds at the same time, and
/// hands it out in blocks of one size. A returned block is used again before memory is allocated,
/// so the process holds no more for blocks than the limit, whatever the allocator keeps. Requests
/// may use only part of the limit, so that the responses to accepted requests still fit, and so may
/// large responses, so that one without an end does not cost other requests theirs. Must outlive
/// its blocks and reservations. Not thread safe.
class MemoryBudget {
 public:
  enum class Use { kRequest, kResponse };

  static constexpr std::size_t kBlockBytes = 4 * 1024;
  /// Blocks are allocated together in slabs.
  static constexpr std::size_t kSlabBlocks = 64;
  static constexpr std::size_t kSlabBytes = kSlabBlocks * kBlockBytes;

  struct Slab {
    std::unique_ptr<std::byte[]> bytes;
    std::uint64_t free_blocks = 0;  ///< A bit for each block that is not in use.
  };
  /// Part of a slab.
  struct Block {
    std::list<Slab>::iterator slab;
    std::uint32_t index = 0;
    char* data() const;
  };

  /// `limit` in bytes.
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  void SetLimit(std::size_t limit) { limit_ = limit; }
  /// Bytes of the blocks in use and of the reservations.
  std::size_t used() const { return used_; }
  /// Bytes that are allocated for blocks, in use or not.
  std::size_t allocated() const { return (full_slabs_.size() + open_slabs_.size()) * kSlabBytes; }

  /// True when `added` bytes may be taken or reserved for a message that then has `total`.
  bool Allows(std::size_t added, std::size_t total, Use use) const;
  /// The most that a response whose length is not known may take.
  std::size_t MaxUnboundedResponse() const;
  /// Precondition: Allows(kBlockBytes) for the message of the block. Give it back with Return.
  Block Take();
  void Return(const Block& block);

  /// Enlarges a reservation, which must be empty or of this budget, to `bytes` in total. Returns
  /// false, without a change, if the budget does not suffice.
  bool TryGrow(MemoryReservation& reservation, std::size_t bytes, Use use);

  /// Reserves `bytes` even beyond the limit, for a response that is ready and will be delivered.
  MemoryReservation Reserve(std::size_t bytes);

 private:
  friend class MemoryReservation;
  std::size_t limit_;
  std::size_t used_ = 0;
  std::list<Slab> open_slabs_;  ///< With blocks that are not in use.
  std::list<Slab> full_slabs_;
};

}  // namespace mulberry
