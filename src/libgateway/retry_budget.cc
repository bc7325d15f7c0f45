#include "libgateway/retry_budget.h"

namespace mulberry::gateway {
namespace {

/// Part of the share that is used; the rest covers requests that are counted in another window
/// by those who check than here.
constexpr double kUsedPart = 0.85;
/// Part of the allowance that hedges may use.
constexpr double kHedgePart = 0.7;

}  // namespace

void RetryBudget::OnRequest(TimePoint now) {
  Expire(now);
  requests_.push_back(now);
}

bool RetryBudget::TryConsume(bool hedge, TimePoint now) {
  Expire(now);
  double allowed = kUsedPart * (limits_.ratio * static_cast<double>(requests_.size()) +
                                limits_.slack * slack_part_);
  if (hedge) allowed *= kHedgePart;
  if (static_cast<double>(extra_.size()) + 1 > allowed) return false;
  extra_.push_back(now);
  return true;
}

void RetryBudget::Expire(TimePoint now) {
  const TimePoint from = now - limits_.window;
  while (!requests_.empty() && requests_.front() <= from) requests_.pop_front();
  while (!extra_.empty() && extra_.front() <= from) extra_.pop_front();
}

}  // namespace mulberry::gateway
