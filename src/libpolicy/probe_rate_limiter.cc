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
  next_ = rate_ > 0 ? now + Interval(rate_) : TimePoint::max();
}

void ProbeRateLimiter::SetRate(double probes_per_second, TimePoint now) {
  if (probes_per_second == rate_) return;
  rate_ = probes_per_second;
  Restart(now);
}

bool ProbeRateLimiter::Take(TimePoint now) {
  if (now < next_) return false;
  next_ = now + Interval(rate_);
  return true;
}

TimePoint ProbeRateLimiter::NextTime() const { return next_; }

}  // namespace mulberry
