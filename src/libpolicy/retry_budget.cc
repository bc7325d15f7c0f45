#include "libpolicy/retry_budget.h"

#include <algorithm>

namespace mulberry {
namespace {

constexpr double kTokensReservedForRetries = 1.0;

}  // namespace

void RetryBudget::Deposit() { tokens_ = std::min(kBurst, tokens_ + ratio_); }

bool RetryBudget::TakeRetry() {
  if (ratio_ <= 0 || tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

bool RetryBudget::TakeHedge() { return tokens_ >= 1 + kTokensReservedForRetries && TakeRetry(); }

}  // namespace mulberry
