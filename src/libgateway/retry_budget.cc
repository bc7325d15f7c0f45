#include "libgateway/retry_budget.h"

namespace mulberry::gateway {
namespace {

/// Fraction of the limit that is used. The rest covers requests that an external check counts in a
/// different window than this host.
constexpr double kUsableFraction = 0.85;
/// Fraction of the limit that hedges may use.
constexpr double kHedgeFraction = 0.7;

}  // namespace

void RetryBudget::OnRequest(TimePoint now) {
  RemoveExpired(now);
  requests_.push_back(now);
}

bool RetryBudget::TryConsume(bool hedge, TimePoint now) {
  RemoveExpired(now);
  double allowed = kUsableFraction * (limits_.ratio * static_cast<double>(requests_.size()) +
                                      limits_.slack * slack_share_);
  if (hedge) allowed *= kHedgeFraction;
  if (static_cast<double>(retries_.size()) + 1 > allowed) return false;
  retries_.push_back(now);
  return true;
}

void RetryBudget::RemoveExpired(TimePoint now) {
  const TimePoint from = now - limits_.window;
  while (!requests_.empty() && requests_.front() <= from) requests_.pop_front();
  while (!retries_.empty() && retries_.front() <= from) retries_.pop_front();
}

}  // namespace mulberry::gateway
