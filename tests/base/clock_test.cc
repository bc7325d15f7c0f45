#include <doctest/doctest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

#include "libbase/base.h"

namespace {

/// Time for which the machine seems to have been suspended.
std::time_t suspended_seconds = 0;

}  // namespace

/// Takes the place of the C library's function in this program: a suspended machine's boot time
/// goes on while its monotonic clock stands.
extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  if (clock == CLOCK_BOOTTIME) now->tv_sec += suspended_seconds;
  return result;
}

namespace mulberry {

TEST_CASE("the time in which the machine is suspended counts") {
  const TimePoint before = MonotonicClock::now();
  suspended_seconds = 9;
  const TimePoint after = MonotonicClock::now();
  suspended_seconds = 0;
  CHECK(after - before >= std::chrono::seconds(9));
  CHECK(after - before < std::chrono::seconds(10));
}

}  // namespace mulberry
