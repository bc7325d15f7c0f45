#include "libgateway/shutdown_policy.h"

#include <algorithm>

namespace mulberry::gateway {
namespace {

/// A host that shuts down serves for this long, because callers cache its address.
constexpr Duration kServingTime = std::chrono::milliseconds(2500);
/// Fraction of the grace period after which a host that shuts down answers what is unfinished.
constexpr double kMaxShutdownFraction = 0.9;
/// Fraction of the grace period for which it may write responses; the process needs the rest to
/// end.
constexpr double kMaxWritingFraction = 0.97;
/// With a short grace period, fraction of the time until the exit in which all requests are
/// accepted.
constexpr double kMaxServingFraction = 0.7;

Duration FractionOf(Duration whole, double fraction) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(whole.count()) * fraction));
}

}  // namespace

ShutdownPolicy::ShutdownPolicy(TimePoint signalled, Duration grace, TimePoint handled) {
  exit_at_ = std::max(handled, signalled + FractionOf(grace, kMaxShutdownFraction));
  write_until_ = std::max(exit_at_, signalled + FractionOf(grace, kMaxWritingFraction));
  const Duration longest = exit_at_ - handled;
  accepts_all_until_ = handled + std::min(kServingTime, FractionOf(longest, kMaxServingFraction));
}

ShutdownStep ShutdownPolicy::StepAt(TimePoint now) const {
  if (now >= exit_at_) return ShutdownStep::kExit;
  return now < accepts_all_until_ ? ShutdownStep::kServe : ShutdownStep::kCloseIdle;
}

bool ShutdownPolicy::Accepts(TimePoint latest_answer, TimePoint now) const {
  return now < accepts_all_until_ || latest_answer <= exit_at_;
}

}  // namespace mulberry::gateway
