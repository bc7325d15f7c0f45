#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace mulberry {

/// Length of time in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock that also counts the time in which the process or the whole machine is suspended
/// (CLOCK_BOOTTIME), so that a lease or a deadline that has passed meanwhile is seen to have
/// passed. Only programs call now(); libraries receive the time as a parameter.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;

  /// Returns the current time. Thread safety: any thread.
  static time_point now() {
    timespec now = {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto since_boot =
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since_boot));
  }
};

/// Monotonic time; not comparable between machines.
using TimePoint = MonotonicClock::time_point;

/// Wall-clock time in milliseconds since 1970, for messages between machines.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Returns a duration as whole milliseconds, rounded down.
constexpr std::int64_t ToMilliseconds(Duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

}  // namespace mulberry
