#include "libadmission/wait_policy.h"

#include <algorithm>
#include <cmath>

namespace mulberry::admission {
namespace {

/// Fraction of the time between target and deadline for which a queued request still waits after it
/// can no longer meet its target: a late answer is better than none.
constexpr double kLateWaitFraction = 0.2;
/// Fraction of the usual answer time that must remain to meet the target.
constexpr double kMinServiceFraction = 0.8;
/// Bounds of the Retry-After value.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

/// Fraction of the time left that callers are willing to wait, with some margin for the way back.
constexpr double kHonouredFraction = 0.3;

Duration Scale(Duration duration, double factor) {
  return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

}  // namespace

Duration ExpectedWait(const QueuePosition& position) {
  const double rate = std::max(position.rate, 1e-3);
  const auto wait = std::chrono::duration<double>((static_cast<double>(position.ahead) + 1) / rate);
  return std::chrono::duration_cast<Duration>(wait);
}

bool CanMeetTarget(TimePoint target_time, Duration service_time, TimePoint now) {
  return now + Scale(service_time, kMinServiceFraction) <= target_time;
}

TimePoint LastStart(TimePoint deadline, Duration service_time) {
  return deadline - Scale(service_time, kMinServiceFraction);
}

bool ShouldQueue(const QueuePosition& position, TimePoint now) {
  const TimePoint start = now + ExpectedWait(position);
  return CanMeetTarget(position.target_time, position.service_time, start);
}

TimePoint QueueDeadline(const QueuePosition& position) {
  const Duration late_time = position.deadline > position.target_time
                                 ? position.deadline - position.target_time
                                 : Duration::zero();
  return std::min(position.deadline, position.target_time + Scale(late_time, kLateWaitFraction)) -
         Scale(position.service_time, kMinServiceFraction);
}

Duration RetryAfter(const QueuePosition& position, double random) {
  const Duration wait = Scale(ExpectedWait(position), 0.5 + random);
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

Duration RetryAfterWithin(const QueuePosition& position, double random, TimePoint now) {
  const Duration longest =
      std::clamp(Scale(position.deadline - now, kHonouredFraction), kMinRetryAfter, kMaxRetryAfter);
  const Duration half_wait = std::max(kMinRetryAfter, Scale(ExpectedWait(position), 0.5));
  const Duration shortest = std::min(half_wait, Scale(longest, 0.5));
  return shortest + Scale(longest - shortest, random);
}

}  // namespace mulberry::admission
