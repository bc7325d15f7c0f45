#include "libgateway/memory_budget.h"

#include <doctest/doctest.h>

#include <utility>

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
