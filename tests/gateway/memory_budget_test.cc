#include "libbase/memory_budget.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

namespace mulberry::gateway {

using Use = MemoryBudget::Use;

TEST_CASE("requests leave part of the memory to responses") {
  MemoryBudget budget(1000);
  MemoryReservation request;
  CHECK(budget.TryGrow(request, 700, Use::kRequest));
  MemoryReservation next;
  CHECK_FALSE(budget.TryGrow(next, 1, Use::kRequest));
  CHECK(next.bytes() == 0);
  CHECK(budget.TryGrow(next, 300, Use::kResponse));
  CHECK_FALSE(budget.TryGrow(next, 301, Use::kResponse));
  CHECK(next.bytes() == 300);
  CHECK(budget.used() == 1000);
}

TEST_CASE("large responses leave part of the memory to small ones") {
  constexpr std::size_t kMegabyte = 1 << 20;
  MemoryBudget budget(10 * kMegabyte);
  MemoryReservation large;
  CHECK_FALSE(budget.TryGrow(large, 9 * kMegabyte, Use::kResponse));
  CHECK(budget.TryGrow(large, 8 * kMegabyte, Use::kResponse));
  MemoryReservation another;
  CHECK_FALSE(budget.TryGrow(another, kMegabyte, Use::kResponse));
  std::vector<MemoryReservation> small(32);
  for (MemoryReservation& response : small) {
    CHECK(budget.TryGrow(response, 64 << 10, Use::kResponse));
  }
  CHECK(budget.used() == 10 * kMegabyte);
}

TEST_CASE("blocks are used again before memory is allocated") {
  constexpr std::size_t kBlocks = 10 * MemoryBudget::kSlabBlocks;
  MemoryBudget budget(kBlocks * MemoryBudget::kBlockBytes);
  std::vector<MemoryBudget::Block> blocks;
  for (int round = 0; round < 3; ++round) {
    while (budget.Allows(MemoryBudget::kBlockBytes, MemoryBudget::kBlockBytes, Use::kResponse)) {
      blocks.push_back(budget.Take());
      blocks.back().data()[0] = 'x';
    }
    CHECK(blocks.size() == kBlocks);
    CHECK(budget.allocated() == budget.used());
    // One block of each slab stays in use.
    for (std::size_t i = 0; i < blocks.size(); ++i) {
      if (i % MemoryBudget::kSlabBlocks != 0) budget.Return(blocks[i]);
    }
    for (std::size_t i = 0; i < kBlocks / MemoryBudget::kSlabBlocks; ++i) {
      blocks[i] = blocks[i * MemoryBudget::kSlabBlocks];
    }
    blocks.resize(kBlocks / MemoryBudget::kSlabBlocks);
    CHECK(budget.used() == blocks.size() * MemoryBudget::kBlockBytes);
  }
  for (const MemoryBudget::Block& block : blocks) budget.Return(block);
  CHECK(budget.used() == 0);
  CHECK(budget.allocated() == MemoryBudget::kSlabBytes);
}

TEST_CASE("a reservation moves and returns its bytes once") {
  MemoryBudget budget(1000);
  {
    MemoryReservation first;
    CHECK(budget.TryGrow(first, 100, Use::kResponse));
    CHECK(budget.TryGrow(first, 200, Use::kResponse));
    CHECK(budget.TryGrow(first, 50, Use::kResponse));
    CHECK(budget.used() == 200);
    MemoryReservation second = std::move(first);
    CHECK(second.bytes() == 200);
    MemoryReservation third = budget.Reserve(5000);
    CHECK(budget.used() == 5200);
    third = std::move(second);
    CHECK(budget.used() == 200);
    third.Release();
    third.Release();
    CHECK(budget.used() == 0);
  }
  CHECK(budget.used() == 0);
}

TEST_CASE("a lower limit keeps what is reserved and denies more") {
  MemoryBudget budget(1000);
  MemoryReservation reservation;
  CHECK(budget.TryGrow(reservation, 600, Use::kResponse));
  budget.SetLimit(500);
  CHECK(budget.used() == 600);
  CHECK_FALSE(budget.TryGrow(reservation, 601, Use::kResponse));
  reservation.Release();
  CHECK(budget.TryGrow(reservation, 500, Use::kResponse));
}

}  // namespace mulberry::gateway
