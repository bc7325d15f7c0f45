#include "libworkspace/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace mulberry::workspace {
namespace {

/// Tolerance for the rounding of sums of fractions.
constexpr double kRounding = 1e-9;

}  // namespace

TokenBucket::TokenBucket(const BucketLimits& limits, TimePoint now, TimePoint trusted_at)
    : limits_(limits),
      content_(std::min(limits.restart_content, limits.capacity)),
      trusted_content_(limits.capacity),
      trusted_at_(trusted_at),
      refilled_at_(now) {}

void TokenBucket::Refill(TimePoint now) {
  if (now > refilled_at_) {
    const double added =
        limits_.rate_per_s * std::chrono::duration<double>(now - refilled_at_).count();
    content_ = std::min(limits_.capacity, content_ + added);
    trusted_content_ = std::min(limits_.capacity, trusted_content_ + added);
    refilled_at_ = now;
  }
  if (now >= trusted_at_) content_ = trusted_content_;
}

void TokenBucket::SetLimits(const BucketLimits& limits, TimePoint now) {
  Refill(now);
  limits_ = limits;
  content_ = std::min(content_, limits.capacity);
  trusted_content_ = std::min(trusted_content_, limits.capacity);
}

std::uint32_t TokenBucket::Take(std::uint32_t wanted, TimePoint now) {
  const std::uint32_t taken = std::min(wanted, Available(now));
  content_ -= taken;
  trusted_content_ -= taken;
  return taken;
}

std::uint32_t TokenBucket::Available(TimePoint now) {
  return static_cast<std::uint32_t>(std::max(0.0, Content(now)) + kRounding);
}

double TokenBucket::Content(TimePoint now) {
  Refill(now);
  return content_;
}

Duration TokenBucket::TimeUntilToken(TimePoint now) {
  if (Available(now) > 0) return Duration::zero();
  if (limits_.capacity < 1 || limits_.rate_per_s <= 0) return Duration::max();
  const double seconds = (1 - content_) / limits_.rate_per_s;
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace mulberry::workspace
