#include "libgateway/shutdown_policy.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

/// A host that shuts down serves for at least this long, because callers cache its address.
constexpr Duration kMinShutdownTime = std::chrono::milliseconds(2500);
/// Fraction of the grace period after which a host that shuts down exits in any case.
constexpr double kMaxShutdownFraction = 0.9;
/// With a short grace period, fraction of the time until the exit in which all requests are
/// accepted.
constexpr double kMaxServingFraction = 0.7;

Duration FractionOf(Duration whole, double fraction) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(whole.count()) * fraction));
}

}  // namespace

ShutdownPolicy::ShutdownPolicy(TimePoint started, Duration grace) {
  const Duration longest = FractionOf(grace, kMaxShutdownFraction);
  exit_at_ = started + longest;
  min_end_ = started + std::min(kMinShutdownTime, FractionOf(longest, kMaxServingFraction));
}

ShutdownStep ShutdownPolicy::Next(std::size_t pending_requests, Duration longest_request,
                                  TimePoint now) const {
  if (now >= exit_at_) return ShutdownStep::kExit;
  if (now < min_end_) return ShutdownStep::kServe;
  // A busy host is never without pending requests while callers can still reach it.
  const bool can_answer_all = now + longest_request <= exit_at_;
  return pending_requests > 0 && can_answer_all ? ShutdownStep::kServe : ShutdownStep::kCloseIdle;
}

bool ShutdownPolicy::Accepts(TimePoint latest_answer, TimePoint now) const {
  return now < min_end_ || latest_answer <= exit_at_;
}

}  // namespace mulberry::gateway
