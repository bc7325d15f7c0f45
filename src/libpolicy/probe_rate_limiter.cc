#include "libpolicy/probe_rate_limiter.h"

#include <cmath>

namespace mulberry {
namespace {

constexpr double kMicrosPerSecond = 1e6;

Duration Interval(double rate) {
  return Duration(static_cast<std::int64_t>(std::ceil(kMicrosPerSecond / rate)));
}

}  // namespace

void ProbeRateLimiter::Restart(TimePoint now) {
  next_token_at_ = probes_per_second_ > 0 ? now + Interval(probes_per_second_) : TimePoint::max();
}

void ProbeRateLimiter::SetRate(double probes_per_second, TimePoint now) {
  if (probes_per_second == probes_per_second_) return;
  probes_per_second_ = probes_per_second;
  Restart(now);
}

bool ProbeRateLimiter::TryTake(TimePoint now) {
  if (now < next_token_at_) return false;
  next_token_at_ = now + Interval(probes_per_second_);
  return true;
}

TimePoint ProbeRateLimiter::NextTime() const { return next_token_at_; }

}  // namespace mulberry
