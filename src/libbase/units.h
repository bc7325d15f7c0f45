#pragma once

#include <chrono>
#include <cstdint>

namespace mulberry {

/// Length of time in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock (CLOCK_MONOTONIC) that continues while the process is suspended. Only programs
/// call now(); libraries receive the time as a parameter.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;

  /// Returns the current time. Thread safety: any thread.
  static time_point now() {
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
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
